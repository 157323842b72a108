"""A node that starts while its wall clock is stepped.

`python -m workbench.lab.stepped FILE [KIND]`, where FILE holds the offset in milliseconds and KIND is one of
`workbench.lab.faulty_nodes`. The fleet reads its wall clock through the lab's `clock_file`. The rest of the
node reads Unix time once, as it starts (`net/process/event_queue.py`), and dates the starts of servers by it;
that reading gets the same offset here. The product has no such switch. A step while the process runs does not
reach that reading, as on a machine.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import balancer.__main__ as program
from balancer.net.process.event_queue import EventQueue
from workbench.lab import faulty_nodes

NANOSECONDS_PER_MS = 1_000_000


def step_start_clock(clock_file: Path) -> None:
    """Shifts the Unix time that the node's own clock starts from by the file's milliseconds."""
    offset = int(clock_file.read_text()) * NANOSECONDS_PER_MS

    def initialize(original: Any, event_queue: Any, *args: Any) -> None:
        original(event_queue, *args)
        event_queue.origin += offset

    faulty_nodes.wrap(EventQueue, "__init__", initialize)


def main() -> int:
    """Steps the clock and starts the node, or a faulty one."""
    step_start_clock(Path(sys.argv.pop(1)))
    return faulty_nodes.main() if len(sys.argv) > 1 else program.main()


if __name__ == "__main__":
    sys.exit(main())
