"""Numbers of an experiment's report: baselines, paired seeds, shares of loss, sweeps."""

from __future__ import annotations

import msgspec
import pytest

from workbench.experiment.plan import list_tasks, parse_plan
from workbench.experiment.store import Loss, Row
from workbench.experiment.task import Task
from workbench.report.series import (
    ComparedAxes,
    RunGroup,
    SweepPoint,
    compared_axes,
    find_sweep,
    mean_loss_shares,
    paired_differences,
    sweep_point,
)

VARIANTS = [{"name": "a"}, {"name": "b", "policy": "random"}]


def goal(variant: str, seed: int) -> float:
    return seed + (0.1 if variant == "b" else 0.0)


def row_of(task: Task) -> Row:
    return Row(
        scenario=task.scenario,
        variant=task.variant,
        seed=task.seed,
        digest="",
        goal=goal(task.variant, task.seed),
        rule_violations=0,
        losses=[],
        error=None,
        task=task,
    )


def rows_of(grid: dict[str, list[object]], seeds: int = 2) -> list[Row]:
    """Rows of a plan that was not played: the goal is the seed, and a tenth more for the variant b."""
    plan = parse_plan({"scenarios": ["quiet"], "seeds": seeds, "variant": VARIANTS, "grid": grid})
    return [row_of(task) for task in list_tasks(plan)]


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
def test_the_baseline_comes_first(variants: list[str], chosen: str, ordered: list[str]) -> None:
    task = rows_of({})[0].task
    rows = [msgspec.structs.replace(row_of(task), variant=variant) for variant in variants]
    assert compared_axes(rows, chosen) == ComparedAxes(["quiet"], ordered)


def test_differences_pair_the_seeds_that_both_variants_have() -> None:
    rows = rows_of({}, seeds=4)
    unpaired = [row for row in rows if (row.variant, row.seed) not in {("a", 2), ("b", 3)}]
    differences = paired_differences(unpaired, ["quiet"], "a", "b")
    assert differences["quiet"] == pytest.approx([0.1] * 2)
    assert paired_differences(unpaired, ["quiet"], "a", "c") == {}


def test_a_loss_is_averaged_over_all_runs_and_small_causes_count_together() -> None:
    rows = rows_of({})
    first = next(row for row in rows if row.variant == "a")
    first.losses = [Loss(f"cause {index}", 0, 0.1 * index) for index in range(1, 9)]
    shares = mean_loss_shares(rows)
    assert set(shares) == {RunGroup("quiet", "a")}
    expected = {f"cause {index}, tier 0": 0.05 * index for index in range(3, 9)}
    assert shares[RunGroup("quiet", "a")] == pytest.approx(expected | {"other": 0.05 * 1 + 0.05 * 2})


def test_a_sweep_is_one_numeric_key_of_three_values_or_more() -> None:
    sweep = find_sweep(rows_of({"nodes.count": [4, 1, 2]}))
    assert sweep is not None
    assert sweep.key == "nodes.count"
    assert {variant: list(goals) for variant, goals in sweep.goals.items()} == {
        "a": [1.0, 2.0, 4.0],
        "b": [1.0, 2.0, 4.0],
    }
    assert sweep.goals["b"][4.0] == pytest.approx([goal("b", 1), goal("b", 2)])


@pytest.mark.parametrize(
    "grid",
    [{}, {"nodes.count": [1, 2]}, {"nodes.count": [1, 2, 3], "servers": [4, 5]}, {"load.shape": ["steady"]}],
    ids=["no key", "two values", "two keys", "no number"],
)
def test_other_scenarios_are_no_sweep(grid: dict[str, list[object]]) -> None:
    assert find_sweep(rows_of(grid)) is None


def test_a_failed_run_leaves_no_sweep() -> None:
    rows = rows_of({"nodes.count": [1, 2, 3]})
    rows[0].goal = None
    assert sweep_point(rows[0]) == SweepPoint("nodes.count", 1.0)
    assert find_sweep(rows) is None
