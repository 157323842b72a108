"""A node that starts with a stepped wall clock.

The command is `python -m workbench.lab.stepped FILE [KIND]`. FILE holds the offset in milliseconds, and
KIND is one of `workbench.lab.faulty_nodes`. The fleet component reads its wall clock through the lab's
`clock_file`. The rest of the node reads Unix time once, at its start (`net/process/event_queue.py`), to
date the starts of servers; this module applies the same offset to that reading. As on a real machine, a
step while the process runs does not affect that reading. The product itself has no option for this.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import balancer.__main__ as program
from balancer.net.process.event_queue import EventQueue
from workbench.lab import faulty_nodes

NS_PER_MS = 1_000_000


def step_start_clock(clock_file: Path) -> None:
    """Shift the Unix time that the node's clock starts from by the milliseconds in a file."""
    offset_ns = int(clock_file.read_text()) * NS_PER_MS

    def initialize(original: Any, event_queue: Any, *args: Any) -> None:
        original(event_queue, *args)
        event_queue.origin += offset_ns

    faulty_nodes.wrap(EventQueue, "__init__", initialize)


def main() -> int:
    """Step the clock and start the node, or a faulty one if a kind is given."""
    step_start_clock(Path(sys.argv.pop(1)))
    return faulty_nodes.main() if len(sys.argv) > 1 else program.main()


if __name__ == "__main__":
    sys.exit(main())
