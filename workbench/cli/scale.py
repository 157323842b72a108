"""`workbench scale`: what the fleet costs at sizes larger than one machine holds."""

from __future__ import annotations

import click

from workbench.cli.scale_capacity import capacity
from workbench.cli.scale_run import run


@click.group()
def scale() -> None:
    """Cost of the fleet at a target size, from measured slopes."""


scale.add_command(capacity)
scale.add_command(run)
