"""Membership between instances: who is alive, and what others know.

`swim.py` decides, without sockets or clocks; `codec.py` makes datagrams of its messages.
"""
