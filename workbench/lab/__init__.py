"""Real processes of the node on loopback with faults between them, a history, and its checkers."""
