"""The fleet runtime under its former name, for those that still import it from here (`lab/earlier.py` knows a
revision with a fleet by this file)."""

from balancer.fleet.runtime import FleetRuntime as Host

__all__ = ["Host"]
