"""Entry point of command lines: exit statuses, and one-line messages instead of tracebacks for bad input."""

from __future__ import annotations

import sys

import click

from workbench.cli.errors import InputError

EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130
EXIT_BROKEN_PIPE = 141


def run(group: click.Group) -> None:
    """Run a command and exit with its status.

    The exit status is 0 on success, 1 if a check failed, 2 on bad input, 130 on Ctrl-C and 141 if the reader
    of the output has closed it. A command may return another status.
    """
    try:
        status = group.main(standalone_mode=False)
    except InputError as e:
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
