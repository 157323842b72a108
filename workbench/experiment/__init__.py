"""Experiments: plans of variants, scenarios and seeds, their runs, the result store and comparisons."""
