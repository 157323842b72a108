"""Explorers that run the balancer's state machines on a virtual network under random or exhaustive faults."""
