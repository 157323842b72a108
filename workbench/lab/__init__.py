"""Several real processes of the node on loopback, the faults between them, and what came of it."""
