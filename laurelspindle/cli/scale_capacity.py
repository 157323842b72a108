"""`laurelspindle scale capacity`: state, messages, processor time and memory at a target size."""

from __future__ import annotations

import click


@click.command()
def capacity() -> None:
    """Print the capacity table at the target size, computed from measured slopes."""
