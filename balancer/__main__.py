"""Command line of a node: `python -m balancer`."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from balancer.net.config import Config, ConfigError, load
from balancer.net.node import Node


async def serve(config: Config) -> None:
    """Run the node until SIGTERM or SIGINT, then until it has responded to every admitted request."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)  # A repeated signal has no further effect.
    node = Node(config, loop)
    loop.add_signal_handler(signal.SIGHUP, node.reload, os.environ)

    def log_exception(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        node.log_writer.line(f"{context.get('message')}: {context.get('exception')!r}")

    loop.set_exception_handler(log_exception)
    await node.start()
    # Objects created during startup live as long as the node: exclude them from garbage collection.
    gc.collect()
    gc.freeze()
    node.measure_memory()
    await stop.wait()
    await node.drain()


HELP = """usage: LB_CONFIG=FILE.json python -m balancer

One load-balancer node, in the foreground until SIGTERM. FILE is its configuration: name, listen, discovery,
seed, limits and settings; LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MANAGEMENT override it. README.md describes
the first steps, docs/running.md the operation of a node. For a demonstration without servers: make demo."""
USAGE_HINT = "name the node's configuration in LB_CONFIG, or see python -m balancer --help"


def main() -> int:
    """Run a node and return the exit status.

    The status is 0 after a graceful shutdown, 1 if an address cannot be bound, and 2 if the arguments or the
    configuration are invalid.
    """
    if len(sys.argv) > 1:
        is_help = sys.argv[1] in ("-h", "--help")
        print(HELP if is_help else f"balancer: {sys.argv[1]}: takes no arguments: {USAGE_HINT}",
              file=sys.stdout if is_help else sys.stderr)  # fmt: skip
        return 0 if is_help else 2
    try:
        config = load(os.environ)
    except ConfigError as e:
        hint = f": {USAGE_HINT}" if str(e).startswith("LB_CONFIG") else ""
        for line in str(e).splitlines():
            print(f"balancer: {line}{hint}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except OSError as e:
        print(f"balancer: cannot listen: {e.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
