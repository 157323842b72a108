"""`workbench scale`: measures and extrapolates the cost of fleets too large for one machine."""

from __future__ import annotations

import click

from workbench.cli.scale_capacity import capacity
from workbench.cli.scale_run import run


@click.group()
def scale() -> None:
    """Estimate the cost of a fleet at a target size from measured slopes."""


scale.add_command(capacity)
scale.add_command(run)
