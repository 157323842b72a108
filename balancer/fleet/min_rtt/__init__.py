"""So many nodes of a tier at most are in a minRTT pass at once: a lease with places.

`decisions.py` says when a pass may begin; `docs/leases.md` has the design.
"""
