"""Which zones a node's calls go to, and how much to each.

`evidence.py` says how each zone does, `decisions.py` what comes of it; `docs/zones.md` has the design.
"""
