"""Runs a command line: exit statuses and one line for what the user did wrong."""

from __future__ import annotations

import sys

import click

from workbench.cli.errors import Bad

EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130
EXIT_BROKEN_PIPE = 141


def run(group: click.Group) -> None:
    """Ends the process: 0 done, 1 a rule was broken, 2 bad input, 130 stopped by Ctrl-C."""
    try:
        status = group.main(standalone_mode=False)
    except Bad as e:
        click.echo(str(e), err=True)
        sys.exit(EXIT_BAD_INPUT)
    except click.UsageError as e:
        e.show()
        sys.exit(EXIT_BAD_INPUT)
    except click.exceptions.Exit as e:
        sys.exit(e.exit_code)
    except (click.Abort, KeyboardInterrupt):
        click.echo("stopped", err=True)
        sys.exit(EXIT_INTERRUPTED)
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(EXIT_BROKEN_PIPE)
    sys.exit(status if isinstance(status, int) else 0)
