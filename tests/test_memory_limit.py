"""The resident set of a node under hundreds of slow peers from its first second on, beside honest clients."""

from __future__ import annotations

from pathlib import Path

import pytest
from loopback import run_scenario
from peer_load import MEBIBYTE, SCRIPTS, LoadResult, run_load

MEMORY_MB = 32
# Time in which the protocol owes an error or a close to a peer that stops within a request.
BAD_PEER_TIMEOUT_S = 3.0
MAX_REFUSED_RATIO = 0.01

# Peers that send complete requests overload the servers, so honest clients are refused beside them.
COMPLETE_REQUESTS = frozenset({"complete_heads", "input_behind_request"})
# Peers that write as fast as the node grants may stay.
PEERS_AT_GRANTED_RATE = frozenset({"slow_long_body"})
PEER_COUNT = 300


def load_node(tmp_path: Path, script: str, sockets: int, program: str = "balancer") -> LoadResult:
    """Run peers with this script against a node with the least memory, and return the result."""
    results: list[LoadResult] = []

    async def scenario() -> None:
        results.append(
            await run_load(tmp_path, SCRIPTS[script], PEER_COUNT, MEMORY_MB, sockets, program=program)
        )

    run_scenario(scenario)
    return results[0]


def assert_within_memory_limit(result: LoadResult) -> None:
    """Check that the node lives, and that its resident set stayed within the limit."""
    assert result.exit_status is None, result.log[-20:]
    assert result.peak.resident > 0
    assert max(result.peak.resident, result.peak.anonymous) <= MEMORY_MB * MEBIBYTE, (
        result.peak,
        result.stats,
    )


def assert_answered(result: LoadResult) -> None:
    """Check that each honest client got an answer of its own in time for each request."""
    clients = result.clients
    assert (clients.missing, clients.late, clients.foreign) == (0, 0, 0), clients


def assert_honest_clients_served(result: LoadResult) -> None:
    """Check that each honest client got an answer in time, and that few were refused."""
    assert_answered(result)
    clients = result.clients
    assert clients.refused + clients.failed <= MAX_REFUSED_RATIO * clients.total(), clients


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize(
    "script",
    [
        "cut_off_head",
        "cut_off_long_head",
        "complete_heads",
        "stopped_short_body",
        "stopped_short_chunks",
        "slow_short_body",
        "stopped_long_body",
        "stopped_long_chunks",
        "slow_long_body",
        "input_behind_request",
        "silent",
    ],
)
def test_peers_stay_within_memory_limit(tmp_path: Path, script: str, sockets: int) -> None:
    """The node's platform kills a process that passes its limit, with all requests that it has taken."""
    result = load_node(tmp_path, script, sockets)
    assert_within_memory_limit(result)
    assert_answered(result)
    if script not in COMPLETE_REQUESTS:
        assert_honest_clients_served(result)
    if script not in COMPLETE_REQUESTS | PEERS_AT_GRANTED_RATE:
        assert result.peers.kept == 0, result.peers
        assert max(result.peers.end_times) <= BAD_PEER_TIMEOUT_S, max(result.peers.end_times)
