"""The resident set of a node whose clients do not read their responses, and other clients beside them."""

from __future__ import annotations

from pathlib import Path

import pytest
from test_memory_limit import assert_honest_clients_served, assert_within_memory_limit, load_node


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize(
    "script", ["unread_short_answer", "unread_long_answer", "unread_chunked_answer", "stopped_reading"]
)
def test_unread_responses_stay_within_memory_limit(tmp_path: Path, script: str, sockets: int) -> None:
    """Responses are kept in the process once the system's buffers are full, which are small here."""
    result = load_node(tmp_path, script, sockets, program="small_send_buffers")
    assert_within_memory_limit(result)
    assert result.stats["held_peak_bytes"] > 500_000  # The responses were kept.
    assert_honest_clients_served(result)
