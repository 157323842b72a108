"""The simulated environment of a load-balancer node: clients, servers, discovery, network and faults.

The model uses neither an event loop nor sockets: each component schedules its callbacks on a `Clock`.
"""
