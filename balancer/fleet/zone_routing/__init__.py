"""Which zones a node's calls go to, and how much to each.

`traffic.py` connects the policy's events with the parts: `failure_evidence.py` judges zones by the outcomes
of calls, `zone_states.py` takes zones out of service and back, `shares.py` divides the calls, `router.py`
joins these, and `directives.py` spreads operators' directives. The design is in `docs/zone-routing.md`.
"""
