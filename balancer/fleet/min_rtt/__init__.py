"""Slots for minRTT recalculations: a limited share of a tier's nodes recalculates at once.

`decisions.py` has the state machine, without sockets or clocks; `docs/leases.md` has the design.
"""
