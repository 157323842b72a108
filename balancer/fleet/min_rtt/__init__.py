"""Slots for minRTT recalculations, which limit the share of a tier's nodes that recalculate simultaneously.

`decisions.py` contains the state machine, without sockets or clocks; `docs/leases.md` describes the design.
"""
