"""`workbench scale capacity`: state, messages, processor time and memory at a target size."""

from __future__ import annotations

import click

from workbench.cli.errors import InputError


@click.command()
@click.option("--set", "changes", multiple=True, metavar="KEY=VALUE", help="Another target, as nodes=6400.")
@click.option("--slopes", "extra", multiple=True, metavar="FILE", help="More measured slopes, TOML or JSON.")
@click.option(
    "--format", "output_format", type=click.Choice(["text", "markdown"]), default="text", show_default=True
)
def capacity(changes: tuple[str, ...], extra: tuple[str, ...], output_format: str) -> None:
    """Print what each role and event costs at the target size, from measured slopes.

    Values of fits on fewer than five points, or over ten times beyond the last one, are called estimates;
    what nothing carries is called missing.
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
