"""Fault-injection runs of real node processes on loopback addresses, their histories, and the checkers."""
