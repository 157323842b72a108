"""Scenarios: the TOML format, its validation, and the drawing of values from ranges."""
