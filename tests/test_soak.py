"""A short seeded soak; `soak_run.py` runs more seeds by hand."""

from __future__ import annotations

import pytest
from soak_run import run_seed


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_soak_breaks_no_rule(seed: int) -> None:
    """Each process stays within its memory, and each client gets an answer of its own in time."""
    result = run_seed(seed)
    assert not result.violations, (result.violations, result.plan)
    assert result.answered > 0
