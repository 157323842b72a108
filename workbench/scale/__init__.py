"""Capacity planning of the fleet: measured cost slopes, the capacity model and the scale run."""
