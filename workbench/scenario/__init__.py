"""Scenarios: the TOML format, its check, and the drawing of one day out of its ranges."""
