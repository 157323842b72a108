"""`balancerctl`: operates a fleet of running nodes through their management addresses.

The deprecated commands `laurelspindle fleet hold|replace|zone` are still accepted: `hold` and `replace` are
hidden aliases in this group, and `workbench fleet` is a hidden alias of the group.
"""

from __future__ import annotations

from copy import copy

import click

import workbench
from workbench.cli.balancerctl.lease import hold, lease
from workbench.cli.balancerctl.members import members
from workbench.cli.balancerctl.update import update
from workbench.cli.balancerctl.zone import zone
from workbench.cli.entry import run


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(workbench.__version__, prog_name="balancerctl")
def balancerctl() -> None:
    """Operate a fleet of nodes through the management address of any of them."""


def hidden_alias(command: click.Command) -> click.Command:
    """Return a copy of a command that is not listed in the help."""
    alias = copy(command)
    alias.hidden = True
    return alias


balancerctl.add_command(members)
balancerctl.add_command(lease)
balancerctl.add_command(update)
balancerctl.add_command(zone)
balancerctl.add_command(hidden_alias(hold), "hold")
balancerctl.add_command(hidden_alias(update), "replace")


def main() -> None:
    """Run the program `balancerctl`."""
    run(balancerctl)
