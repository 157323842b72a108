"""Slots for minRTT recalculations, which limit the share of a tier's nodes that recalculate simultaneously.

A node holds a slot, a lease that one node at a time can have, while it recalculates minRTT, the latency at
low load. `decisions.py` contains the state machine, without sockets or clocks; `docs/leases.md` describes the
design.
"""
