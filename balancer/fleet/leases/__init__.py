"""Duties: what only one process may do at a time. Leases granted by a majority of configured voters, no disk.

`voter.py` grants, `asker.py` asks and holds; neither knows a socket or a clock. Design: `docs/duties.md`.
"""
