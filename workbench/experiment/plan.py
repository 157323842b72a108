"""The plan of an experiment: a TOML file, checked as strictly as scenarios are, and the runs that it asks
for."""

from __future__ import annotations

import hashlib
import itertools
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from workbench.baselines import POLICIES, Policy
from workbench.baselines.revisions import RevisionError, full_revision, policy_of, policy_sources
from workbench.scenario.check import type_faults
from workbench.scenario.load import ScenarioError, digest, draw, load
from workbench.scenario.model import Scenario

LEAST_PAIRS = 5  # under which nothing is told apart
Value = int | float | str | bool
Seeds = Annotated[int, Meta(extra_json_schema={"minimum": 1})]


class PlanError(Exception):
    """What is wrong with a plan: a line for each fault."""


class Variant(Struct, forbid_unknown_fields=True, kw_only=True):
    """Who decides, and under which settings."""

    name: str
    policy: str = "module"
    revision: str = ""  # of this repository, for the module
    constants: dict[str, float] = field(default_factory=dict)  # of the module, by name
    set: dict[str, Value] = field(default_factory=dict)  # keys of the scenario


class Plan(Struct, forbid_unknown_fields=True, kw_only=True):
    """A file."""

    title: str = ""
    scenarios: list[str]
    seeds: Seeds = 10  # so many...
    first_seed: Annotated[int, Meta(extra_json_schema={"minimum": 0})] = 1  # ...from this one on
    set: dict[str, Value] = field(default_factory=dict)  # keys of all scenarios
    grid: dict[str, list[Value]] = field(default_factory=dict)  # each combination is a scenario of its own
    variant: list[Variant]


class Task(Struct, frozen=True):
    """One run to make. What tells it from others is in `key`."""

    scenario: str  # its label, with the grid's values
    source: str
    overrides: tuple[str, ...]
    seed: int
    variant: str
    policy: str
    revision: str
    constants: tuple[tuple[str, float], ...]
    digest: str  # of the scenario with its overrides, and of who decides

    @property
    def key(self) -> tuple[str, str, int, str]:
        return self.scenario, self.variant, self.seed, self.digest

    def day(self) -> Scenario:
        return draw(load(self.source, list(self.overrides)), self.seed)

    def decider(self) -> str | Policy:
        if self.policy == "module" and (self.revision or self.constants):
            return policy_of(self.revision, self.constants)
        return self.policy

    def command(self) -> str:
        """The command that plays the run again; a revision's or constant's module only through its plan."""
        words = ["workbench simulate", self.source, f"--seed {self.seed}"]
        words += [f"--policy {self.policy}"] if self.policy != "module" else []
        words += [f"--revision {self.revision[:12]}"] if self.revision else []
        words += [f"--constant {name}={value:g}" for name, value in self.constants]
        return " ".join(words + [f"--set '{o}'" for o in self.overrides])


def read_plan(path: str, baseline: str = "") -> Plan:
    """The plan of a file, with `baseline` (a revision) as one more variant of the module. PlanError."""
    try:
        table = tomllib.loads(Path(path).read_text())
    except OSError as e:
        raise PlanError(f"{path}: cannot be read: {e.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise PlanError(f"{path}: not TOML: {e}") from None
    return plan_of(table, path, baseline)


def plan_of(table: dict[str, Any], path: str = "plan", baseline: str = "") -> Plan:
    """A checked plan of a decoded file. PlanError."""
    found = type_faults(table, Plan)
    if found:
        raise PlanError("\n".join(f"{path}: {line}" for line in found))
    plan = msgspec.convert(table, Plan)
    if baseline:
        plan.variant.insert(0, Variant(name="baseline", revision=baseline))
    found = list(relations(plan))
    if found:
        raise PlanError("\n".join(f"{path}: {line}" for line in found))
    return plan


def relations(plan: Plan) -> Iterator[str]:
    if not plan.scenarios:
        yield "scenarios: []: must hold at least one"
    if not plan.variant:
        yield "variant: []: must hold at least one"
    names = [v.name for v in plan.variant]
    for i, v in enumerate(plan.variant):
        if v.name in names[:i]:
            yield f"variant[{i}].name: {v.name!r}: must be another than those before"
        if v.policy not in POLICIES:
            yield f"variant[{i}].policy: {v.policy!r}: must be one of {', '.join(POLICIES)}"
        elif v.policy != "module" and (v.revision or v.constants):
            yield f"variant[{i}].policy: {v.policy!r}: must be module, with a revision or constants"
        else:
            try:
                decider(v)
            except RevisionError as e:
                yield f"variant[{i}]: {e}"
    for key, values in plan.grid.items():
        if not values:
            yield f"grid.{key}: []: must hold at least one value"
    for source in plan.scenarios:
        for _, overrides in points(plan, source):
            for v in plan.variant:
                try:
                    load(source, [*overrides, *settings(v.set)])
                except ScenarioError as e:
                    yield from str(e).splitlines()
                    return


def decider(v: Variant) -> tuple[str, tuple[tuple[str, float], ...]]:
    """A variant's revision by its whole name, and its constants in order. RevisionError."""
    revision = full_revision(v.revision.removeprefix("git:")) if v.revision else ""
    names = {k.removeprefix("balance.").removeprefix("policy."): float(x) for k, x in v.constants.items()}
    constants = tuple(sorted(names.items()))
    if revision or constants:
        policy_of(revision, constants)
    return revision, constants


def settings(keys: dict[str, Value]) -> list[str]:
    """Overrides as the command line has them."""
    return [f"{k}={str(v).lower() if isinstance(v, bool) else v}" for k, v in keys.items()]


def points(plan: Plan, source: str) -> Iterator[tuple[str, list[str]]]:
    """The scenario at each point of the grid: its label and its overrides."""
    for values in itertools.product(*plan.grid.values()):
        at = dict(zip(plan.grid, values, strict=True))
        label = source + (f"[{','.join(settings(at))}]" if at else "")
        yield label, settings(plan.set) + settings(at)


def tasks(plan: Plan) -> list[Task]:
    """All runs, seed by seed, so that a plan that is stopped early has pairs."""
    out = []
    for source in plan.scenarios:
        for label, overrides in points(plan, source):
            for v in plan.variant:
                revision, constants = decider(v)
                changes = (*overrides, *settings(v.set))
                who = repr((v.policy, revision, constants, text_of(v, revision)))
                mark = hashlib.blake2b(who.encode(), digest_size=6).hexdigest()
                what = f"{digest(load(source, list(changes)))}.{mark}"
                for seed in range(plan.first_seed, plan.first_seed + plan.seeds):
                    out.append(
                        Task(label, source, changes, seed, v.name, v.policy, revision, constants, what)
                    )
    return sorted(out, key=lambda t: t.seed)


def text_of(v: Variant, revision: str) -> str:
    """Today's module is known by its text: an edit makes other runs of it."""
    if v.policy != "module" or revision:
        return ""
    return hashlib.blake2b("".join(policy_sources("").values()).encode(), digest_size=8).hexdigest()
