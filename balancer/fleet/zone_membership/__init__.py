"""Membership by zone: SWIM within a zone, summaries of zones between zones.

Modules, from data to protocol:

* `summaries.py`: the data model of a zone's summary; `errors.py`: what may be wrong with it.
* `messages.py`, `wire.py`, `batches.py`: messages, their encoding, and their split into datagrams.
* `records.py`: the summaries that a node has of the other zones, with their ages.
* `gateways.py`, `gateway_selection.py`: which members are the gateways of their zone.
* `local_summary.py`, `queries.py`, `exchanges.py`, `responses.py`: the parts of the protocol.
* `decisions.py`: the protocol as a state machine without sockets or clocks; `status.py`: its status page.
* `settings.py`: the configuration table and the protocol's timing.
* `component.py`: the state machine as a component of the fleet runtime.
"""
