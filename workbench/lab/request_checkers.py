"""Checkers of what clients and servers see, and of the nodes' processes and logs."""

from __future__ import annotations

import re
from collections import defaultdict
from itertools import pairwise

from workbench.lab.ground_truth import GroundTruth, seconds
from workbench.lab.history import Event
from workbench.lab.violations import Finding, Findings

MAY_HAVE_RUN = ("error", "reset", "timeout", "cancelled")  # outcomes of attempts
EXPECTED_EXIT_STATUSES = (0, -9)
FAILURE = re.compile(r"Traceback|\b[A-Z]\w*(Error|Exception)\b|floods its log")


def requests_answered(truth: GroundTruth) -> Findings:
    """Every request at a running node gets one answer by its deadline and slack, made by a server."""
    for e in truth.of("request"):
        deadline = seconds(e["until"])
        node = e["node"]
        if e["answer"] == "spoilt":
            yield Finding(e["t"], node, f"request {e['id']}: a 200 that no server made for it")
        sent, due = seconds(e["sent"]), deadline + truth.slack
        late = truth.late(sent, due)
        if e["answer"] == "none" and late <= truth.slack and not truth.excused(node, sent, due + late):
            what = f"request {e['id']}: no answer by its time, {deadline:.3f} s, and the slack"
            yield Finding(e["t"], node, what)


def attempts_limited(truth: GroundTruth) -> Findings:
    """A request has a limited number of attempts, one at a time, and is retried only if that is safe.

    A request that is not idempotent is not sent again after an attempt that may have run.
    """
    by_request: dict[str, list[Event]] = defaultdict(list)
    for e in truth.of("attempt"):
        by_request[e["id"]].append(e)
    for request, attempts in by_request.items():
        attempts.sort(key=lambda e: (e["began"], e["ended"]))
        if len(attempts) > truth.max_attempts:
            what = f"request {request}: {len(attempts)} attempts, {truth.max_attempts} allowed"
            yield Finding(attempts[-1]["t"], attempts[0]["node"], what)
        yield from successive_attempts(truth, request, attempts)


def successive_attempts(truth: GroundTruth, request: str, attempts: list[Event]) -> Findings:
    """Compares each attempt of a request with the one before it."""
    node = attempts[0]["node"]
    for before, after in pairwise(attempts):
        at = seconds(after["began"])
        overlap = seconds(before["ended"]) - at
        if overlap > truth.late(at, at + overlap):
            what = f"request {request}: at {after['server']} while it was out at {before['server']}"
            yield Finding(at, node, what)
        elif after["effect"] == "unsafe" and before["outcome"] in MAY_HAVE_RUN:
            what = f"request {request}: sent again though it may have run at {before['server']}"
            yield Finding(at, node, what)


def drains_respected(truth: GroundTruth) -> Findings:
    """Nothing goes to a server for long after its node was notified that it drains or is gone."""
    for e in truth.of("attempt"):
        late = e["began"] - e["away"]
        at = seconds(e["began"])
        if e["away"] >= 0 and late > truth.stop_sending + 1e6 * truth.late(at, at):
            what = f"sent to {e['server']} {late / 1000:.0f} ms after it was told away"
            yield Finding(at, e["node"], what)


def processes_end_as_asked(truth: GroundTruth) -> Findings:
    """No process ends unasked or fails to get ready; one that was asked to stop ends well."""
    for e in truth.of("process"):
        if e["what"] == "exit":
            yield from exit_as_asked(truth, e)
        elif e["what"] in ("not ready", "no replacement"):
            yield Finding(e["t"], e["node"], f"life {e['life']}: {e['what']}")


def exit_as_asked(truth: GroundTruth, event: Event) -> Findings:
    """Judges one exit; a supervised process may exit by itself with status 0."""
    status = event["status"]
    if not event["asked"]:
        if not truth.supervised or status != 0:
            yield Finding(event["t"], event["node"], f"life {event['life']} ended unasked, status {status}")
    elif status not in EXPECTED_EXIT_STATUSES:
        yield Finding(event["t"], event["node"], f"life {event['life']} ended with status {status}")


def logs_without_failures(truth: GroundTruth) -> Findings:
    """No log line reports an exception, and no log is a flood."""
    for e in truth.of("log"):
        if FAILURE.search(e["text"]):
            yield Finding(e["t"], e["node"], f"logged: {e['text']}")


def cold_servers_spared(truth: GroundTruth) -> Findings:
    """No cold server is overloaded by nodes that were notified of its start."""
    for e in truth.of("end"):
        for trace in e["broken"]:
            if "cold_server" in trace:
                yield Finding(e["t"], "all", trace)
