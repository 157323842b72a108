"""Membership between instances: who is alive, and what others know.

`swim.py` decides, without sockets or clocks, on top of `view.py` (what is held true), `anti_entropy.py`
(comparing views), `suspicion.py`, `dissemination.py` and `timers.py`; `codec.py` makes datagrams of messages,
whose bodies `wire.py` packs.
"""
