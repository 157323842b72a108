"""What processes of the node do together. Off where the configuration has no `fleet` section: a node without
one imports nothing of this package.

`host.py` alone knows both sides, these parts and `brackenladder.net`.
"""
