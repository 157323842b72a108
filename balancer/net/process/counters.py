"""The node's metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

ANSWERED, DEFERRED, ERRORED = STATES = ("answered", "deferred", "errored")


def state_for_status(status: int) -> str:
    """Return the state as which the metrics count a request with this final status.

    It is `answered` for 200, `deferred` for the rejections 429 and 503, and `errored` for every other status.
    """
    return ANSWERED if status == 200 else DEFERRED if status in (429, 503) else ERRORED


def escape_label(value: str) -> str:
    """Escape a label's value as the text format requires."""
    return value.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")


def metric_lines(
    name: str, metric_type: str, description: str, samples: Iterable[tuple[str, int]]
) -> list[str]:
    """Return the lines of one metric.

    Args:
        name: The name of the metric, without the prefix `lb_`.
        metric_type: Its type, `counter` or `gauge`.
        description: The text of its HELP line.
        samples: The samples, each as its labels in braces, or an empty string if it has none, and its value.
    """
    header = [f"# HELP lb_{name} {description}", f"# TYPE lb_{name} {metric_type}"]
    return header + [f"lb_{name}{labels} {value}" for labels, value in samples]


def render_diagnostics(
    memory: Mapping[str, int],
    closes: Mapping[str, int],
    refusals: Mapping[str, int],
    retries: Mapping[str, int],
) -> bytes:
    """Return the body of the diagnostics page.

    Args:
        memory: Sizes in bytes, by name.
        closes: The number of closed connections of clients, by reason.
        refusals: The number of requests that got an error response of the node, by reason.
        retries: The number of further attempts, by the outcome of the attempt before.
    """
    lines: list[str] = []
    for name, size in memory.items():
        lines += metric_lines(name, "gauge", "Bytes of memory.", [("", size)])
    groups = {
        "closed_connections": ("Ended connections of clients, by reason.", closes),
        "refused_requests": ("Error responses of the node, by reason.", refusals),
        "retries": ("Further attempts, by the outcome before.", retries),
    }
    for name, (description, counts) in groups.items():
        samples = [(f'{{reason="{reason}"}}', count) for reason, count in sorted(counts.items())]
        lines += metric_lines(name, "counter", description, samples)
    return "\n".join(lines).encode() + b"\n"


class Counters:
    """Counts finished requests and sent attempts since the process started; a request is counted at its end.

    Args:
        classes: The names of the request classes.
    """

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = classes
        self.finished = [dict.fromkeys(STATES, 0) for _ in classes]
        self.sends = 0

    def count_finished(self, request_class: int, status: int) -> None:
        """Count a request of this class whose final response had this status."""
        self.finished[request_class][state_for_status(status)] += 1

    def count_send(self) -> None:
        """Count an attempt that has been written to a server in full."""
        self.sends += 1

    def render(self, in_flight: int, listed_servers: int, avoided_servers: int) -> bytes:
        """Return the body of the metrics page.

        Args:
            in_flight: The number of requests in flight.
            listed_servers: The number of servers in the server list.
            avoided_servers: How many of the listed servers currently receive no requests.
        """
        transactions = [
            (f'{{group="{escape_label(name)}",state="{state}"}}', count)
            for name, finished in zip(self.classes, self.finished, strict=True)
            for state, count in finished.items()
        ]
        lines = (
            metric_lines("transactions", "counter", "Requests ended: served, refused, failed.", transactions)
            + metric_lines("sends", "counter", "Attempts written whole to servers.", [("", self.sends)])
            + metric_lines("current", "gauge", "Requests taken and not ended.", [("", in_flight)])
            + metric_lines("cluster_size", "gauge", "Servers in the list.", [("", listed_servers)])
            + metric_lines(
                "cluster_unhealthy", "gauge", "Listed servers avoided now.", [("", avoided_servers)]
            )
        )
        return "\n".join(lines).encode() + b"\n"
