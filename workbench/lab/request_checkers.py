"""Checkers of requests and attempts as clients and servers see them, and of processes and logs."""

from __future__ import annotations

import re
from collections import defaultdict
from itertools import pairwise

from workbench.lab.ground_truth import GroundTruth, seconds
from workbench.lab.history import Event
from workbench.lab.violations import Finding, Findings

# Outcomes of attempts after which the server may have executed the request.
MAY_HAVE_RUN = ("error", "reset", "timeout", "cancelled")
EXPECTED_EXIT_STATUSES = (0, -9)
FAILURE = re.compile(r"Traceback|\b[A-Z]\w*(Error|Exception)\b|floods its log")


def check_requests_answered(truth: GroundTruth) -> Findings:
    """Check that a running node answers each request by its deadline plus slack, with a server's response."""
    for e in truth.events_of("request"):
        deadline = seconds(e["until"])
        node = e["node"]
        if e["answer"] == "spoilt":
            yield Finding(
                e["t"], node, f"request {e['id']}: response with status 200 that no server sent for it"
            )
        sent, due = seconds(e["sent"]), deadline + truth.slack_s
        late = truth.max_lateness(sent, due)
        if (
            e["answer"] == "none"
            and late <= truth.slack_s
            and not truth.may_leave_unanswered(node, sent, due + late)
        ):
            description = f"request {e['id']}: no answer by its deadline, {deadline:.3f} s, plus the slack"
            yield Finding(e["t"], node, description)


def check_attempts(truth: GroundTruth) -> Findings:
    """Check that the attempts of a request are limited, one at a time, and repeated only if that is safe.

    A request that is not idempotent must not be sent again after an attempt that may have been executed.
    """
    by_request: dict[str, list[Event]] = defaultdict(list)
    for e in truth.events_of("attempt"):
        by_request[e["id"]].append(e)
    for request, attempts in by_request.items():
        attempts.sort(key=lambda e: (e["began"], e["ended"]))
        if len(attempts) > truth.max_attempts:
            description = (
                f"request {request}: {len(attempts)} attempts, at most {truth.max_attempts} are allowed"
            )
            yield Finding(attempts[-1]["t"], attempts[0]["node"], description)
        yield from check_successive_attempts(truth, request, attempts)


def check_successive_attempts(truth: GroundTruth, request: str, attempts: list[Event]) -> Findings:
    """Check each attempt of a request against the one before it."""
    node = attempts[0]["node"]
    for before, after in pairwise(attempts):
        at = seconds(after["began"])
        overlap = seconds(before["ended"]) - at
        if overlap > truth.max_lateness(at, at + overlap):
            description = f"request {request}: sent to {after['server']} while pending at {before['server']}"
            yield Finding(at, node, description)
        elif after["effect"] == "unsafe" and before["outcome"] in MAY_HAVE_RUN:
            description = f"request {request}: retried though {before['server']} may have executed it"
            yield Finding(at, node, description)


def check_drains(truth: GroundTruth) -> Findings:
    """Check that a node soon stops sending to a server that, by discovery, drains or was removed."""
    for e in truth.events_of("attempt"):
        late = e["began"] - e["away"]
        at = seconds(e["began"])
        if e["away"] >= 0 and late > truth.stop_sending_us + 1e6 * truth.max_lateness(at, at):
            description = (
                f"sent to {e['server']} {late / 1000:.0f} ms after the server list drained or removed it"
            )
            yield Finding(at, e["node"], description)


def check_process_exits(truth: GroundTruth) -> Findings:
    """Check that processes become ready, exit only when asked to, and then with an expected status."""
    for e in truth.events_of("process"):
        if e["what"] == "exit":
            yield from check_exit(truth, e)
        elif e["what"] in ("not ready", "no replacement"):
            yield Finding(e["t"], e["node"], f"process {e['life']}: {e['what']}")


def check_exit(truth: GroundTruth, event: Event) -> Findings:
    """Check one exit; a supervised process may exit by itself with status 0."""
    status = event["status"]
    if not event["asked"]:
        if not truth.is_supervised or status != 0:
            yield Finding(
                event["t"], event["node"], f"process {event['life']} exited unexpectedly with status {status}"
            )
    elif status not in EXPECTED_EXIT_STATUSES:
        yield Finding(event["t"], event["node"], f"process {event['life']} exited with status {status}")


def check_logs(truth: GroundTruth) -> Findings:
    """Check that no log line reports an exception or a log that exceeded its size limit."""
    for e in truth.events_of("log"):
        if FAILURE.search(e["text"]):
            yield Finding(e["t"], e["node"], f"logged: {e['text']}")


def check_cold_servers(truth: GroundTruth) -> Findings:
    """Check that no cold server is overloaded by nodes that were notified of its start."""
    for e in truth.events_of("end"):
        for trace in e["broken"]:
            if "cold_server" in trace:
                yield Finding(e["t"], "all", trace)
