"""Processor time of a worker by component of the members that run in it.

The methods of each component are wrapped once for the whole process, and the thread's processor clock is read
at the start and end of each call. The time of a nested call is charged only to the nested component.
Everything outside wrapped calls (the event loop, receiving system calls, the worker's own bookkeeping) is
charged to `LOOP`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import wraps
from time import thread_time_ns
from typing import Any

from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Swim
from workbench.scale.program import ZONE_COMPONENTS

LOOP = "loop"
# The fleet runtime without its components.
RUNTIME = "runtime"
# System calls that send.
SOCKET = "socket"
COMPONENTS: dict[str, tuple[type, tuple[str, ...]]] = {
    "membership": (Swim, ("tick", "receive", "due")),
    "codec": (Codec, ("encode", "read")),
    **ZONE_COMPONENTS,
}


class Meter:
    """Nanoseconds and calls by component."""

    def __init__(self) -> None:
        self.nanoseconds: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.current = LOOP
        self.last_switch_ns = thread_time_ns()

    def run(self, component: str, function: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
        """Call a function and charge its time to a component."""
        outer = self.current
        self.switch(component)
        self.calls[component] += 1
        try:
            return function(*args, **kwargs)
        finally:
            self.switch(outer)

    def switch(self, component: str) -> None:
        """Charge time to `component` from now on."""
        now = thread_time_ns()
        self.nanoseconds[self.current] += now - self.last_switch_ns
        self.current, self.last_switch_ns = component, now

    def read(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return nanoseconds and calls by component so far."""
        self.switch(self.current)
        return dict(self.nanoseconds), dict(self.calls)

    def wrap_components(self) -> None:
        """Meter all members of this process from now on.

        This replaces methods of the components' classes, so it needs a separate process.
        """
        for component, (owner, names) in COMPONENTS.items():
            for name in names:
                setattr(owner, name, self.metered(component, getattr(owner, name)))

    def metered(self, component: str, function: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap a function so that its time is charged to a component."""

        @wraps(function)
        def run(*args: Any, **kwargs: Any) -> Any:
            return self.run(component, function, *args, **kwargs)

        return run
