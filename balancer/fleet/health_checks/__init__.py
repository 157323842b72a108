"""Servers that are set aside are tried by one node a zone, which tells the others what came of it.

`decisions.py` says who tries and what is told, without sockets or clocks; `docs/leases.md` has the design.
"""
