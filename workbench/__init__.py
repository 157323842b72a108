"""The workbench around the balancer node: a model of what it serves, experiments and reports."""

__version__ = "0.1.0"
