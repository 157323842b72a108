"""Runs the model on a virtual clock, with the policies of all nodes in one process."""
