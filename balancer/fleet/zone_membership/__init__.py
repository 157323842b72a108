"""Membership by zone: SWIM within a zone, summaries of zones between zones.

`messages.py` has what goes over the wire, `gateways.py` who speaks for a zone, `records.py` what is held of
the other zones, `decisions.py` the protocol, without sockets or clocks; `settings.py` its figures.
"""
