"""Experiment plans: reading and validating the TOML file, and listing the tasks that it defines."""

from __future__ import annotations

import hashlib
import itertools
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta, Struct, field

from workbench.baselines import POLICIES
from workbench.baselines.revisions import RevisionError, full_revision, load_policy_factory, policy_sources
from workbench.experiment.task import MODULE_POLICY, Constants, Task
from workbench.scenario.check import type_errors
from workbench.scenario.load import ScenarioError, digest, load

# A comparison of fewer pairs is inconclusive.
MIN_PAIRS = 5
POLICY_DIGEST_BYTES = 6
SOURCE_DIGEST_BYTES = 8
BASELINE_VARIANT = "baseline"

OverrideValue = int | float | str | bool
SeedCount = Annotated[int, Meta(extra_json_schema={"minimum": 1})]


class PlanError(Exception):
    """A plan is not valid; the message has one line for each error."""


class Variant(Struct, forbid_unknown_fields=True, kw_only=True):
    """A policy and its settings.

    Attributes:
        name: Name of the variant, unique in the plan.
        policy: Name of the policy.
        revision: Git revision of the policy module; empty for the working tree.
        constants: Changed constants of the policy module, by name.
        overrides: Changed keys of the scenario, by path.
    """

    name: str
    policy: str = MODULE_POLICY
    revision: str = ""
    constants: dict[str, float] = field(default_factory=dict)
    overrides: dict[str, OverrideValue] = field(name="set", default_factory=dict)


class Plan(Struct, forbid_unknown_fields=True, kw_only=True):
    """A plan file.

    Attributes:
        title: Title of the experiment.
        scenarios: Scenario files or names of shipped scenarios.
        seeds: Number of consecutive seeds, beginning with `first_seed`.
        first_seed: The first seed.
        overrides: Changed keys of all scenarios, by path.
        grid: Values by scenario key; each combination of values becomes a separate scenario.
        variants: The variants to run.
    """

    title: str = ""
    scenarios: list[str]
    seeds: SeedCount = 10
    first_seed: Annotated[int, Meta(extra_json_schema={"minimum": 0})] = 1
    overrides: dict[str, OverrideValue] = field(name="set", default_factory=dict)
    grid: dict[str, list[OverrideValue]] = field(default_factory=dict)
    variants: list[Variant] = field(name="variant")


class GridPoint(NamedTuple):
    """A scenario with one combination of the grid's values."""

    source: str
    label: str
    overrides: list[str]


class ModuleVersion(NamedTuple):
    """The full name of a revision, empty for the working tree, and changed constants sorted by name."""

    revision: str
    constants: Constants


def read_plan(path: str, baseline: str = "") -> Plan:
    """Read a plan file.

    Args:
        path: The TOML file.
        baseline: A git revision; if given, the policy module at this revision is added as the first variant.

    Raises:
        PlanError: The file cannot be read or is not a valid plan.
    """
    try:
        table = tomllib.loads(Path(path).read_text())
    except OSError as e:
        raise PlanError(f"{path}: cannot be read: {e.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise PlanError(f"{path}: not TOML: {e}") from None
    return parse_plan(table, path, baseline)


def parse_plan(table: dict[str, Any], path: str = "plan", baseline: str = "") -> Plan:
    """Validate a decoded plan file.

    Raises:
        PlanError: The table is not a valid plan; one line for each error.
    """
    raise_if_errors(type_errors(table, Plan), path)
    plan = msgspec.convert(table, Plan)
    if baseline:
        plan.variants.insert(0, Variant(name=BASELINE_VARIANT, revision=baseline))
    raise_if_errors(list(consistency_errors(plan)), path)
    return plan


def raise_if_errors(errors: list[str], path: str) -> None:
    """Raise a PlanError with a line for each error, if there are any."""
    if errors:
        raise PlanError("\n".join(f"{path}: {error}" for error in errors))


def consistency_errors(plan: Plan) -> Iterator[str]:
    """Yield the errors of a plan whose keys have the right types: empty lists, duplicates, bad scenarios."""
    if not plan.scenarios:
        yield "scenarios: []: must hold at least one"
    if not plan.variants:
        yield "variant: []: must hold at least one"
    for index, variant in enumerate(plan.variants):
        earlier = {other.name for other in plan.variants[:index]}
        yield from variant_errors(variant, f"variant[{index}]", earlier)
    for key, values in plan.grid.items():
        if not values:
            yield f"grid.{key}: []: must hold at least one value"
    yield from scenario_errors(plan)


def variant_errors(variant: Variant, path: str, earlier_names: set[str]) -> Iterator[str]:
    """Yield the errors of one variant."""
    if variant.name in earlier_names:
        yield f"{path}.name: {variant.name!r}: must be unique among the variants"
    if variant.policy not in POLICIES:
        yield f"{path}.policy: {variant.policy!r}: must be one of {', '.join(POLICIES)}"
    elif variant.policy != MODULE_POLICY and (variant.revision or variant.constants):
        yield f"{path}.policy: {variant.policy!r}: must be module, with a revision or constants"
    else:
        try:
            resolve_module_version(variant)
        except RevisionError as e:
            yield f"{path}: {e}"


def scenario_errors(plan: Plan) -> Iterator[str]:
    """Yield the errors of the first combination of grid point and variant that is not a valid scenario."""
    points = (point for source in plan.scenarios for point in grid_points(plan, source))
    for point, variant in itertools.product(points, plan.variants):
        try:
            load(point.source, [*point.overrides, *override_arguments(variant.overrides)])
        except ScenarioError as e:
            yield from str(e).splitlines()
            return


def resolve_module_version(variant: Variant) -> ModuleVersion:
    """Resolve a variant's revision and constants.

    Raises:
        RevisionError: There is no such revision or constant.
    """
    revision = full_revision(variant.revision.removeprefix("git:")) if variant.revision else ""
    constants = {
        name.removeprefix("balance.").removeprefix("policy."): float(value)
        for name, value in variant.constants.items()
    }
    version = ModuleVersion(revision, tuple(sorted(constants.items())))
    if version.revision or version.constants:
        load_policy_factory(version.revision, version.constants)
    return version


def override_arguments(overrides: dict[str, OverrideValue]) -> list[str]:
    """Return overrides as arguments of `--set`."""
    return [
        f"{key}={str(value).lower() if isinstance(value, bool) else value}"
        for key, value in overrides.items()
    ]


def grid_points(plan: Plan, source: str) -> Iterator[GridPoint]:
    """Yield the scenario with each combination of the grid's values."""
    for values in itertools.product(*plan.grid.values()):
        grid_overrides = override_arguments(dict(zip(plan.grid, values, strict=True)))
        label = source + (f"[{','.join(grid_overrides)}]" if grid_overrides else "")
        yield GridPoint(source, label, override_arguments(plan.overrides) + grid_overrides)


def list_tasks(plan: Plan) -> list[Task]:
    """Return all runs in order of seed, so that an interrupted plan has complete pairs of runs."""
    tasks = [
        task
        for source in plan.scenarios
        for point in grid_points(plan, source)
        for variant in plan.variants
        for task in variant_tasks(plan, point, variant)
    ]
    return sorted(tasks, key=lambda task: task.seed)


def variant_tasks(plan: Plan, point: GridPoint, variant: Variant) -> Iterator[Task]:
    """Yield the runs of one variant at one grid point, a run for each seed."""
    version = resolve_module_version(variant)
    overrides = (*point.overrides, *override_arguments(variant.overrides))
    scenario_digest = digest(load(point.source, list(overrides)))
    identity = f"{scenario_digest}.{policy_digest(variant, version)}"
    for seed in range(plan.first_seed, plan.first_seed + plan.seeds):
        yield Task(
            scenario=point.label,
            source=point.source,
            overrides=overrides,
            seed=seed,
            variant=variant.name,
            policy=variant.policy,
            revision=version.revision,
            constants=version.constants,
            digest=identity,
        )


def policy_digest(variant: Variant, version: ModuleVersion) -> str:
    """Return a digest that identifies a policy in the keys of stored runs."""
    source = module_source_digest() if variant.policy == MODULE_POLICY and not version.revision else ""
    identity = repr((variant.policy, version.revision, version.constants, source))
    return hashlib.blake2b(identity.encode(), digest_size=POLICY_DIGEST_BYTES).hexdigest()


def module_source_digest() -> str:
    """Return a digest of the policy module in the working tree; an edit of it invalidates stored runs."""
    sources = "".join(policy_sources("").values())
    return hashlib.blake2b(sources.encode(), digest_size=SOURCE_DIGEST_BYTES).hexdigest()
