"""Membership by zone: nodes of one zone use the SWIM protocol, and zones exchange summaries of themselves.

A summary is a short record of a zone's state. It is sent by the zone's gateways, a few of its members.

Modules, from data to protocol:

* `summaries.py`: the data model of a zone's summary; `errors.py`: the errors of invalid messages and facts.
* `messages.py`, `wire.py`, `batches.py`: messages, their encoding, and their split into datagrams.
* `records.py`: the summaries of the other zones that a node holds, with their ages.
* `gateways.py`, `gateway_selection.py`: the selection of a zone's gateways among its members.
* `local_summary.py`, `queries.py`, `exchanges.py`, `responses.py`: the own zone's summary, and the requests
  and responses of the protocol.
* `decisions.py`: the protocol as a state machine without sockets or clocks; `status.py`: its status page.
* `settings.py`: the configuration table and the protocol's timing.
* `component.py`: the state machine as a component of the fleet runtime.
"""
