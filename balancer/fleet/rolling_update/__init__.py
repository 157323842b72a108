"""A rolling replacement of a fleet's processes, led by whoever holds the lease `replace`.

`decisions.py` leads and follows, without sockets or clocks; `docs/leases.md` has the design.
"""
