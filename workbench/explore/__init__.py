"""State machines tried at scale and at random."""
