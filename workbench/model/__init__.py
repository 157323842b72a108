"""The model that a load-balancer node serves: clients, servers, discovery, network and faults.

It uses neither an event loop nor sockets: every part takes a `Clock` and is called back by it.
"""
