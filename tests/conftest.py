"""Fixtures and pytest hooks that apply to the whole suite."""

import pytest
from known_red import pytest_collection_modifyitems, pytest_terminal_summary
from retry_support import RETRY_INTERVAL_S

from balancer.net import node
from balancer.net.discovery import client, registry
from balancer.net.process import listener, system_faults
from balancer.net.upstream import exchange
from balancer.policy import subset

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]


@pytest.fixture(autouse=True)
def production_max_watch_ms(monkeypatch: pytest.MonkeyPatch) -> int:
    """Raise the longest wait of a discovery watch to 20 s and return its production value.

    A fake discovery service may then stay silent for as long as a test takes.
    """
    production_value = client.MAX_WATCH_MS
    monkeypatch.setattr(client, "MAX_WATCH_MS", 20_000)
    return production_value


@pytest.fixture
def production_watch(monkeypatch: pytest.MonkeyPatch, production_max_watch_ms: int) -> None:
    """Restore the production watch time."""
    monkeypatch.setattr(client, "MAX_WATCH_MS", production_max_watch_ms)


@pytest.fixture
def full_subset(monkeypatch: pytest.MonkeyPatch) -> None:
    """Raise the minimum subset size so that every server of a small list is a member."""
    monkeypatch.setattr(subset, "MIN_SUBSET_SIZE", 24)


@pytest.fixture
def frequent_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the retry intervals so that a test can observe many retries."""
    for module in (listener, exchange, system_faults):
        monkeypatch.setattr(module, "RETRY_INTERVAL", RETRY_INTERVAL_S)
    monkeypatch.setattr(registry, "PUSH_RETRY_S", RETRY_INTERVAL_S)
    monkeypatch.setattr(node, "PEERS_RETRY_S", RETRY_INTERVAL_S)
