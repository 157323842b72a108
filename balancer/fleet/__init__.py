"""Coordination between the processes of a fleet.

A node whose configuration has no `fleet` section imports nothing of this package.

`runtime.py` runs the components that `assembly.py` builds on a node's event loop; `component.py` defines the
interface that each of them implements.
"""
