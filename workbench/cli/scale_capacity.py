"""`workbench scale capacity`: prints state, messages, processor time and memory at a target size."""

from __future__ import annotations

import click

from workbench.cli.errors import InputError


@click.command()
@click.option(
    "--set", "changes", multiple=True, metavar="KEY=VALUE", help="Change the target, for example nodes=6400."
)
@click.option(
    "--slopes", "extra", multiple=True, metavar="FILE", help="Additional measured slopes, as TOML or JSON."
)
@click.option(
    "--format", "output_format", type=click.Choice(["text", "markdown"]), default="text", show_default=True
)
def capacity(changes: tuple[str, ...], extra: tuple[str, ...], output_format: str) -> None:
    """Print the cost of each role and event at the target size, from measured slopes.

    Values from fits on fewer than five points, or for sizes over ten times beyond the last point, are marked
    as estimates. Values without any measurement are marked as missing.
    """
    # Imported here, as scipy takes long to load and other commands do not need it.
    from workbench.scale.capacity import capacity as compute_capacity
    from workbench.scale.slopes import SlopesError, read_slopes
    from workbench.scale.table import report
    from workbench.scale.target import TargetError, target_of

    try:
        table = compute_capacity(target_of(changes), read_slopes(*extra))
    except (TargetError, SlopesError) as e:
        raise InputError(str(e)) from None
    click.echo(report(table, output_format), nl=False)
