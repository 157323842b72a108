"""`workbench scale capacity`: state, messages, processor time and memory at a target size."""

from __future__ import annotations

import click

from workbench.cli.errors import Bad


@click.command()
@click.option("--set", "changes", multiple=True, metavar="KEY=VALUE", help="Another target, as nodes=6400.")
@click.option("--slopes", "extra", multiple=True, metavar="FILE", help="More measured slopes, TOML or JSON.")
@click.option("--format", "form", type=click.Choice(["text", "markdown"]), default="text", show_default=True)
def capacity(changes: tuple[str, ...], extra: tuple[str, ...], form: str) -> None:
    """Print what each role and event costs at the target size, from measured slopes.

    Values of fits on fewer than five points, or over ten times beyond the last one, are called estimates;
    what nothing carries is called missing.
    """
    # Imported here: the other commands do without scipy's weight.
    from workbench.scale.capacity import capacity as computed
    from workbench.scale.slopes import SlopesError, read_slopes
    from workbench.scale.table import report
    from workbench.scale.target import TargetError, target_of

    try:
        table = computed(target_of(changes), read_slopes(*extra))
    except (TargetError, SlopesError) as e:
        raise Bad(str(e)) from None
    click.echo(report(table, form), nl=False)
