"""One real node: `python -m balancer`."""

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
    """Runs the node until SIGTERM, and to the last answer it owes."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)  # a second one changes nothing
    node = Node(config, loop)
    loop.add_signal_handler(signal.SIGHUP, node.reload, os.environ)

    def failed(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        node.log_lines.line(f"{context.get('message')}: {context.get('exception')!r}")

    loop.set_exception_handler(failed)
    await node.start()
    # What the start has made lives as long as the node: the collector need not look at it again.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await node.drain()


HELP = """usage: LB_CONFIG=FILE.json python -m balancer

One load-balancer node, in the foreground until SIGTERM. FILE is its configuration: name, listen, discovery,
seed, limits and settings; LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MANAGEMENT override it. README.md has the
first steps, docs/running.md what operators do with a node. To see one at work without servers: make demo."""
NEXT = "name the node's configuration in LB_CONFIG, or see python -m balancer --help"


def main() -> int:
    """Starts a node; 2 if it was told what it cannot start with."""
    if len(sys.argv) > 1:
        wanted = sys.argv[1] in ("-h", "--help")
        print(HELP if wanted else f"balancer: {sys.argv[1]}: takes no arguments: {NEXT}",
              file=sys.stdout if wanted else sys.stderr)  # fmt: skip
        return 0 if wanted else 2
    try:
        config = load(os.environ)
    except ConfigError as e:
        hint = f": {NEXT}" if str(e).startswith("LB_CONFIG") else ""
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
