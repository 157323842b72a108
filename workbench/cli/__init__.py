"""Command line of the workbench, with one module for each command.

A command parses its arguments, calls the function that does the work and prints the result.
"""

from __future__ import annotations

import click

import workbench
from workbench.cli.balancerctl import balancerctl
from workbench.cli.emulate import emulate
from workbench.cli.entry import run
from workbench.cli.experiment import experiment
from workbench.cli.lab import lab
from workbench.cli.load import load
from workbench.cli.losses import losses
from workbench.cli.scale import scale
from workbench.cli.scenario import scenario
from workbench.cli.simulate import simulate


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(workbench.__version__, prog_name="workbench")
def cli() -> None:
    """Run the workbench of the balancer load-balancer node."""


cli.add_command(simulate)
cli.add_command(losses)
cli.add_command(scenario)
cli.add_command(experiment)
cli.add_command(lab)
# `workbench fleet` is a hidden alias of `balancerctl`, kept for compatibility.
cli.add_command(click.Group("fleet", commands=balancerctl.commands, hidden=True))
cli.add_command(load)
cli.add_command(emulate)
cli.add_command(scale)


def main() -> None:
    """Run the program `workbench`."""
    run(cli)


def former_main() -> None:
    """Run the deprecated program `laurelspindle`: the commands of `workbench`, after a warning."""
    click.echo(
        "laurelspindle: this command is now `workbench`, and `laurelspindle fleet` is `balancerctl`", err=True
    )
    run(cli)
