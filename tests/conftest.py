"""What holds for all tests."""

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
def patient_watch(monkeypatch: pytest.MonkeyPatch) -> int:
    """Discovery's stand-in may be silent for as long as a test takes. The value is the wait in service."""
    served = client.MAX_WATCH_MS
    monkeypatch.setattr(client, "MAX_WATCH_MS", 20_000)
    return served


@pytest.fixture
def wide(monkeypatch: pytest.MonkeyPatch) -> None:
    """All servers of a small list are members."""
    monkeypatch.setattr(subset, "MIN_SUBSET_SIZE", 24)


@pytest.fixture
def frequent_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    """Retries come soon, so that a test can have many of them."""
    for module in (listener, exchange, system_faults):
        monkeypatch.setattr(module, "RETRY_INTERVAL", RETRY_INTERVAL_S)
    monkeypatch.setattr(registry, "PUSH_RETRY_S", RETRY_INTERVAL_S)
    monkeypatch.setattr(node, "PEERS_RETRY_S", RETRY_INTERVAL_S)
