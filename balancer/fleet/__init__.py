"""Coordination between the processes of a fleet.

Off where the configuration has no `fleet` section: a node without one imports nothing of this package.

`runtime.py` runs the components that `assembly.py` makes on a node's event loop; `component.py` is what each
of them implements.
"""
