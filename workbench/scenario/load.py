"""Reading a scenario, overriding its keys, and drawing one day out of its ranges."""

from __future__ import annotations

import hashlib
import re
import tomllib
from importlib.resources import files
from importlib.resources.abc import Traversable
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from workbench.model.streams import Streams
from workbench.scenario.check import faults
from workbench.scenario.model import Scenario

STEP = re.compile(r"([^.\[\]]+)((?:\[\d+\])*)(?:\.|$)")


class ScenarioError(Exception):
    """What is wrong with a user's scenario: one line a fault, each with the file's name."""


def titles(folder: Traversable) -> dict[str, str]:
    """The names of the files in a folder of the product's, and their titles."""
    names = sorted(f.name[:-5] for f in folder.iterdir() if f.name.endswith(".toml"))
    return {
        name: str(tomllib.loads((folder / f"{name}.toml").read_text()).get("title", "")) for name in names
    }


def read_toml(source: str, folder: Traversable, fault: type[Exception]) -> dict[str, Any]:
    """The decoded TOML of a file, or of one that ships in `folder` where no such file is there. `fault`."""
    path = Path(source)
    name = source.removesuffix(".toml")
    inside = folder / f"{name}.toml"
    if not path.is_file() and re.fullmatch(r"[\w-]+", name) and inside.is_file():
        return tomllib.loads(inside.read_text())
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        raise fault(f"{source}: no such file: shipped are {', '.join(titles(folder))}") from None
    except OSError as e:
        raise fault(f"{source}: cannot be read: {e.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise fault(f"{source}: not TOML: {e}") from None


SHIPPED = files("workbench") / "scenarios"


def shipped() -> dict[str, str]:
    """The names of the scenarios that ship with the product, and their titles."""
    return titles(SHIPPED)


def read(source: str) -> dict[str, Any]:
    """The decoded TOML of a file, or of a shipped scenario where no such file is there. ScenarioError."""
    return read_toml(source, SHIPPED, ScenarioError)


def scenario_of(table: dict[str, Any], source: str = "scenario") -> Scenario:
    """The typed scenario. ScenarioError holds every fault, a line each."""
    found = faults(table)
    if found:
        raise ScenarioError("\n".join(f"{source}: {line}" for line in found))
    return msgspec.convert(table, Scenario)


def load(source: str, overrides: list[str] | None = None) -> Scenario:
    """A file's or shipped scenario with `KEY=VALUE` overrides. ScenarioError."""
    table = read(source)
    if overrides:
        scenario_of(table, source)
        table = plain(msgspec.convert(table, Scenario))
        for override in overrides:
            put(table, override)
        source = f"{source} with --set"
    return scenario_of(table, source)


def put(table: dict[str, Any], override: str) -> None:
    """Sets one key by its path, `tier[0].kind[1].speed=2`; the value as TOML has it, or plain text."""
    path, equals, text = override.partition("=")
    steps: list[str | int] = []
    for match in STEP.finditer(path.strip()):
        steps += [match[1], *(int(i) for i in re.findall(r"\d+", match[2]))]
    if not equals or not steps:
        raise ScenarioError(f"--set {override}: not of the form KEY=VALUE, as in load.fraction=0.9")
    try:
        value = tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        value = text
    at: Any = table
    for i, step in enumerate(steps[:-1]):
        try:
            at = at[step]
        except (KeyError, IndexError, TypeError):
            here = ".".join(map(str, steps[: i + 1]))
            raise ScenarioError(f"--set {override}: no such key: {here}") from None
    try:
        at[steps[-1]] = value
    except (IndexError, TypeError):
        raise ScenarioError(f"--set {override}: no such key: {path}") from None


def plain(scenario: Scenario) -> dict[str, Any]:
    """The scenario as TOML's own types."""
    return dict(msgspec.to_builtins(scenario))


def toml(scenario: Scenario) -> str:
    """The scenario as a file that reads back the same."""
    return tomli_w.dumps(plain(scenario))


def digest(scenario: Scenario) -> str:
    """What tells one scenario from another: 16 hexadecimal digits over all its keys."""
    return hashlib.blake2b(msgspec.json.encode(scenario), digest_size=8).hexdigest()


def draw(scenario: Scenario, seed: int | None = None) -> Scenario:
    """One day: every range fixed by the seed. The day is itself a scenario, and draws to itself.

    Each key draws from a stream named by its path, so another range in the file shifts no other key.
    """
    table = plain(scenario)
    table["seed"] = scenario.seed if seed is None else seed
    fixed = fix(table, "", Streams(table["seed"]))
    return msgspec.convert(fixed, Scenario)


def fix(value: Any, path: str, streams: Streams) -> Any:
    if isinstance(value, dict):
        return {k: fix(v, f"{path}.{k}", streams) for k, v in value.items()}
    if not isinstance(value, (list, tuple)):
        return value
    if len(value) == 2 and all(isinstance(v, (int, float)) for v in value):
        low, high = value
        rng = streams.random(f"day{path}")
        if isinstance(low, int) and isinstance(high, int):
            return rng.randint(low, high)
        return float(f"{rng.uniform(low, high):.6g}")
    return [fix(v, f"{path}[{i}]", streams) for i, v in enumerate(value)]
