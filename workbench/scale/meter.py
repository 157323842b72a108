"""Processor time of a worker, split among the components of the members that run in it.

Calls of a component are wrapped, once for the whole process, and the thread's own processor clock is read at
each border: time inside a nested call is charged to the nested component alone, and whatever runs outside all
wrapped calls (the event loop, the receiving system calls, this worker's own bookkeeping) to `LOOP`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import wraps
from time import thread_time_ns
from typing import Any

from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Swim
from workbench.scale.program import FURTHER_COMPONENTS

LOOP = "loop"
RUNTIME = "runtime"  # what the fleet runtime does around its components
SOCKET = "socket"  # sending system calls
COMPONENTS: dict[str, tuple[type, tuple[str, ...]]] = {
    "membership": (Swim, ("tick", "receive", "due")),
    "codec": (Codec, ("encode", "read")),
    **FURTHER_COMPONENTS,
}


class Meter:
    """Nanoseconds and calls by component."""

    def __init__(self) -> None:
        self.nanoseconds: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.current = LOOP
        self.since = thread_time_ns()

    def run(self, component: str, function: Callable[..., Any], *args: Any, **named: Any) -> Any:
        """Calls a function and charges its time to a component."""
        outer = self.current
        self.switch(component)
        self.calls[component] += 1
        try:
            return function(*args, **named)
        finally:
            self.switch(outer)

    def switch(self, component: str) -> None:
        """From now on time is charged to `component`."""
        now = thread_time_ns()
        self.nanoseconds[self.current] += now - self.since
        self.current, self.since = component, now

    def read(self) -> tuple[dict[str, int], dict[str, int]]:
        """Nanoseconds and calls so far."""
        self.switch(self.current)
        return dict(self.nanoseconds), dict(self.calls)

    def wrap_components(self) -> None:
        """Measures all members of this process from now on. For a process of its own: classes are changed."""
        for component, (owner, names) in COMPONENTS.items():
            for name in names:
                setattr(owner, name, self.measured(component, getattr(owner, name)))

    def measured(self, component: str, function: Callable[..., Any]) -> Callable[..., Any]:
        """The function, with its time charged to a component."""

        @wraps(function)
        def run(*args: Any, **named: Any) -> Any:
            return self.run(component, function, *args, **named)

        return run
