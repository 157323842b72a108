"""The metrics that operators fetch, in Prometheus' text format."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

ANSWERED, DEFERRED, ERRORED = STATES = ("answered", "deferred", "errored")


def state_of(status: int) -> str:
    """How a request finished: served, rejected or failed."""
    return ANSWERED if status == 200 else DEFERRED if status in (429, 503) else ERRORED


def escape_label(name: str) -> str:
    """A label's value as the format wants it."""
    return name.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")


def metric_lines(name: str, kind: str, text: str, samples: Iterable[tuple[str, int]]) -> list[str]:
    """The lines of one metric; a sample is its labels, if any, and its value."""
    head = [f"# HELP lb_{name} {text}", f"# TYPE lb_{name} {kind}"]
    return head + [f"lb_{name}{labels} {value}" for labels, value in samples]


class Counters:
    """Counts from 0 at the process's start; each request is counted once, at its end.

    Args:
        classes: names of the request classes.
    """

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = classes
        self.finished = [dict.fromkeys(STATES, 0) for _ in classes]
        self.sends = 0

    def count_finished(self, request_class: int, status: int) -> None:
        """Counts a request of this class that has had its final response, of this status."""
        self.finished[request_class][state_of(status)] += 1

    def count_send(self) -> None:
        """Counts an attempt whose last byte has been written to a server."""
        self.sends += 1

    def render(self, current: int, listed: int, avoided: int) -> bytes:
        """All metrics as the body of a page.

        Args:
            current: requests in flight.
            listed: servers in the list.
            avoided: listed servers that get no requests now.
        """
        transactions = [
            (f'{{group="{escape_label(name)}",state="{state}"}}', count)
            for name, finished in zip(self.classes, self.finished, strict=True)
            for state, count in finished.items()
        ]
        lines = (
            metric_lines("transactions", "counter", "Requests ended: served, refused, failed.", transactions)
            + metric_lines("sends", "counter", "Attempts written whole to servers.", [("", self.sends)])
            + metric_lines("current", "gauge", "Requests taken and not ended.", [("", current)])
            + metric_lines("cluster_size", "gauge", "Servers in the list.", [("", listed)])
            + metric_lines("cluster_unhealthy", "gauge", "Listed servers avoided now.", [("", avoided)])
        )
        return "\n".join(lines).encode() + b"\n"
