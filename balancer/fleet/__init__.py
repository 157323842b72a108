"""Coordination between the processes of a fleet, a group of processes that decide some things together.

A node whose configuration has no `fleet` section imports nothing of this package.

A component implements one function of the fleet, such as leases. `assembly.py` builds the components,
`runtime.py` runs them on a node's event loop, and `component.py` defines the interface that they implement.
"""
