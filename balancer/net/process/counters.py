"""The figures that operators fetch, in Prometheus' text format."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

ANSWERED, DEFERRED, ERRORED = STATES = ("answered", "deferred", "errored")


def state_of(status: int) -> str:
    """How a request ended: served, refused or failed."""
    return ANSWERED if status == 200 else DEFERRED if status in (429, 503) else ERRORED


def escaped(name: str) -> str:
    """A label's value as the format wants it."""
    return name.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")


def figure(name: str, kind: str, text: str, samples: Iterable[tuple[str, int]]) -> list[str]:
    """One figure's lines; a sample is its labels, if any, and its value."""
    head = [f"# HELP lb_{name} {text}", f"# TYPE lb_{name} {kind}"]
    return head + [f"lb_{name}{labels} {value}" for labels, value in samples]


class Counters:
    """Counts from 0 at the process's start. Each request is counted once, at its end."""

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = classes
        self.ended = [dict.fromkeys(STATES, 0) for _ in classes]
        self.sends = 0

    def end(self, klass: int, status: int) -> None:
        """A request of this class has had its final answer."""
        self.ended[klass][state_of(status)] += 1

    def sent(self) -> None:
        """An attempt's last byte has been written to a server."""
        self.sends += 1

    def text(self, current: int, listed: int, avoided: int) -> bytes:
        """All figures: those counted here, and those that only the node can tell."""
        transactions = [
            (f'{{group="{escaped(name)}",state="{state}"}}', count)
            for name, ended in zip(self.classes, self.ended, strict=True)
            for state, count in ended.items()
        ]
        lines = (
            figure("transactions", "counter", "Requests ended: served, refused, failed.", transactions)
            + figure("sends", "counter", "Attempts written whole to servers.", [("", self.sends)])
            + figure("current", "gauge", "Requests taken and not ended.", [("", current)])
            + figure("cluster_size", "gauge", "Servers in the list.", [("", listed)])
            + figure("cluster_unhealthy", "gauge", "Listed servers avoided now.", [("", avoided)])
        )
        return "\n".join(lines).encode() + b"\n"
