"""Which zones a node's calls go to, and how much to each.

`failure_evidence.py` says how each zone does, `router.py` what comes of it; `docs/zone-routing.md` has the
design.
"""
