"""Data series of an experiment's report: baselines, paired seeds, shares of loss, sweeps."""

from __future__ import annotations

import msgspec
import pytest

from workbench.experiment.plan import list_tasks, parse_plan
from workbench.experiment.store import Loss, Row
from workbench.experiment.task import Task
from workbench.report.series import (
    ExperimentDimensions,
    RunGroup,
    SweepPoint,
    experiment_dimensions,
    find_sweep,
    mean_loss_shares,
    paired_differences,
    parse_sweep_point,
)

VARIANTS = [{"name": "a"}, {"name": "b", "policy": "random"}]


def expected_goal(variant: str, seed: int) -> float:
    return seed + (0.1 if variant == "b" else 0.0)


def make_row(task: Task) -> Row:
    return Row(
        scenario=task.scenario,
        variant=task.variant,
        seed=task.seed,
        digest="",
        goal=expected_goal(task.variant, task.seed),
        rule_violations=0,
        losses=[],
        error=None,
        task=task,
    )


def make_rows(grid: dict[str, list[object]], seeds: int = 2) -> list[Row]:
    """Return rows of a plan without running it: the goal is the seed, plus 0.1 for the variant b."""
    plan = parse_plan({"scenarios": ["quiet"], "seeds": seeds, "variant": VARIANTS, "grid": grid})
    return [make_row(task) for task in list_tasks(plan)]


@pytest.mark.parametrize(
    ("variants", "chosen", "ordered"),
    [
        ("cab", "", ["a", "b", "c"]),
        ("cab", "b", ["b", "a", "c"]),
        (["a", "today", "before"], "", ["before", "a", "today"]),
        (["a", "today", "before"], "today", ["today", "a", "before"]),
        (["a", "today"], "missing", ["today", "a"]),
    ],
)
def test_experiment_dimensions_put_the_baseline_first(
    variants: list[str], chosen: str, ordered: list[str]
) -> None:
    task = make_rows({})[0].task
    rows = [msgspec.structs.replace(make_row(task), variant=variant) for variant in variants]
    assert experiment_dimensions(rows, chosen) == ExperimentDimensions(["quiet"], ordered)


def test_paired_differences_use_seeds_of_both_variants() -> None:
    rows = make_rows({}, seeds=4)
    unpaired = [row for row in rows if (row.variant, row.seed) not in {("a", 2), ("b", 3)}]
    differences = paired_differences(unpaired, ["quiet"], "a", "b")
    assert differences["quiet"] == pytest.approx([0.1] * 2)
    assert paired_differences(unpaired, ["quiet"], "a", "c") == {}


def test_mean_loss_shares_combine_small_causes() -> None:
    rows = make_rows({})
    first = next(row for row in rows if row.variant == "a")
    first.losses = [Loss(f"cause {index}", 0, 0.1 * index) for index in range(1, 9)]
    shares = mean_loss_shares(rows)
    assert set(shares) == {RunGroup("quiet", "a")}
    expected = {f"cause {index}, tier 0": 0.05 * index for index in range(3, 9)}
    assert shares[RunGroup("quiet", "a")] == pytest.approx(expected | {"other": 0.05 * 1 + 0.05 * 2})


def test_find_sweep_accepts_three_values_of_one_numeric_key() -> None:
    sweep = find_sweep(make_rows({"nodes.count": [4, 1, 2]}))
    assert sweep is not None
    assert sweep.key == "nodes.count"
    assert {variant: list(goals) for variant, goals in sweep.goals.items()} == {
        "a": [1.0, 2.0, 4.0],
        "b": [1.0, 2.0, 4.0],
    }
    assert sweep.goals["b"][4.0] == pytest.approx([expected_goal("b", 1), expected_goal("b", 2)])


@pytest.mark.parametrize(
    "grid",
    [{}, {"nodes.count": [1, 2]}, {"nodes.count": [1, 2, 3], "servers": [4, 5]}, {"load.shape": ["steady"]}],
    ids=["no key", "two values", "two keys", "text values"],
)
def test_find_sweep_rejects_other_grids(grid: dict[str, list[object]]) -> None:
    assert find_sweep(make_rows(grid)) is None


def test_find_sweep_rejects_a_failed_run() -> None:
    rows = make_rows({"nodes.count": [1, 2, 3]})
    rows[0].goal = None
    assert parse_sweep_point(rows[0]) == SweepPoint("nodes.count", 1.0)
    assert find_sweep(rows) is None
