"""The workbench of the load balancer: a model of its environment, experiments and reports."""

__version__ = "0.1.0"
