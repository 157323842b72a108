"""Zone routing: the share of a node's calls that each zone gets.

`traffic.py` connects the policy to this package. `failure_evidence.py` assesses zones by the outcomes
of calls, `zone_states.py` evacuates zones and returns them to service, `shares.py` divides the calls,
`router.py` combines these, and `directives.py` distributes operators' directives. The design is described in
`docs/zone-routing.md`.
"""
