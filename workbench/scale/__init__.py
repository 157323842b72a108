"""The node at the size that is coming: measured cost slopes, the capacity model, the scale run."""
