"""Membership between instances: who is alive, and what others know. Off where the settings name no peers.

`swim.py` decides, without sockets or clocks; `codec.py` makes datagrams of its messages. Nothing of a node
in service imports this package yet.
"""
