"""Health checks that a zone's nodes share: one node probes an ejected server, the others take its result.

`decisions.py` has the state machine, without sockets or clocks; `docs/leases.md` has the design.
"""
