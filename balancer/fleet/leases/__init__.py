"""Leases for work that one process may do at a time, granted by a majority of configured voters.

`voter.py` grants, `client.py` requests and holds; neither knows a socket or a clock. `service.py` joins the
two for one process and serves external lease holders; `component.py` is its place in the fleet runtime. A
disk is optional (`vote_store.py`). Design: `docs/leases.md`.
"""
