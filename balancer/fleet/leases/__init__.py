"""Duties: what only one process may do at a time. Leases granted by a majority of configured voters, no disk.

`voter.py` grants, `client.py` asks and holds; neither knows a socket or a clock. Design: `docs/leases.md`.
"""
