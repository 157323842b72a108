"""The command line: one file a command, nothing but arguments, a call and printing."""

from __future__ import annotations

import sys

import click

import workbench
from workbench.cli.emulate import emulate
from workbench.cli.errors import Bad
from workbench.cli.experiment import experiment
from workbench.cli.fleet import fleet
from workbench.cli.lab import lab
from workbench.cli.load import load
from workbench.cli.scale import scale
from workbench.cli.scenario import scenario
from workbench.cli.simulate import simulate


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(workbench.__version__, prog_name="workbench")
def cli() -> None:
    """The workbench around the balancer load-balancer node."""


cli.add_command(simulate)
cli.add_command(scenario)
cli.add_command(experiment)
cli.add_command(lab)
cli.add_command(fleet)
cli.add_command(load)
cli.add_command(emulate)
cli.add_command(scale)


def main() -> None:
    """0 done, 1 a rule was broken, 2 bad input, 130 stopped by Ctrl-C."""
    try:
        status = cli.main(standalone_mode=False)
    except Bad as e:
        click.echo(str(e), err=True)
        sys.exit(2)
    except click.UsageError as e:
        e.show()
        sys.exit(2)
    except click.exceptions.Exit as e:
        sys.exit(e.exit_code)
    except (click.Abort, KeyboardInterrupt):
        click.echo("stopped", err=True)
        sys.exit(130)
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(141)
    sys.exit(status if isinstance(status, int) else 0)
