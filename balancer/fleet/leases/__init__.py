"""Leases for work that one process may do at a time, granted by a majority of configured voters.

Each lease has a token, a number that is higher for each new holder.

`voter.py` grants leases, and `client.py` requests and holds them; both are state machines without sockets or
clocks. `service.py` combines them for one process and serves external lease holders, and `component.py`
connects the service to the fleet runtime. Storing votes on disk is optional (`vote_store.py`). The design is
described in `docs/leases.md`.
"""
