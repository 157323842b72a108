"""Group membership of the fleet: which instances are alive.

`swim.py` implements the protocol as a state machine without sockets or clocks, on top of `view.py` (the state
of all members), `failure_detector.py`, `anti_entropy.py` (comparison of views), `suspicion.py`,
`dissemination.py` and `timers.py`. `codec.py` encodes messages as authenticated datagrams, with payloads from
`wire.py` and keys from `keys.py`; `replay_guard.py` rejects replayed datagrams.
"""
