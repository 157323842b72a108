"""Rolling updates: the processes of a fleet are ended one after another, so that new ones take their places.

The process that holds the lease `replace` leads. `decisions.py` has the state machine, without sockets or
clocks; `docs/leases.md` has the design.
"""
