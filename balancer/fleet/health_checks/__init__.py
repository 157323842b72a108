"""Health checks that the nodes of a zone share: one node probes an ejected server and announces the result.

`decisions.py` contains the state machine, without sockets or clocks; `docs/leases.md` describes the design.
"""
