"""The command line: one file a command, nothing but arguments, a call and printing."""

from __future__ import annotations

import sys

import click

import laurelspindle
from laurelspindle.cli.emulate import emulate
from laurelspindle.cli.errors import Bad
from laurelspindle.cli.experiment import experiment
from laurelspindle.cli.fleet import fleet
from laurelspindle.cli.lab import lab
from laurelspindle.cli.load import load
from laurelspindle.cli.scale import scale
from laurelspindle.cli.scenario import scenario
from laurelspindle.cli.simulate import simulate


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(laurelspindle.__version__, prog_name="laurelspindle")
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
