"""Experiments: variants x scenarios x seeds, run, stored, compared."""
