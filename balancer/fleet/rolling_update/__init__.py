"""Rolling updates, which end the processes of a fleet one after another so that new ones replace them.

The process that holds the lease `replace` is the leader, which decides which process ends next.
`decisions.py` contains the state machine, without sockets or clocks; `docs/leases.md` describes the design.
"""
