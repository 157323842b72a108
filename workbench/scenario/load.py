"""Reads scenarios, overrides their keys, and draws values out of their ranges."""

from __future__ import annotations

import hashlib
import re
import tomllib
from collections.abc import Sequence
from importlib.resources import files
from importlib.resources.abc import Traversable
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from workbench.model.streams import Streams
from workbench.scenario.check import scenario_errors
from workbench.scenario.model import Scenario

TOML_SUFFIX = ".toml"
SHIPPED_NAME = re.compile(r"[\w-]+")
PATH_STEP = re.compile(r"([^.\[\]]+)((?:\[\d+\])*)(?:\.|$)")  # a key and its indices, as in `tier[0].`
DIGEST_BYTES = 8
SHIPPED = files("workbench") / "scenarios"


class ScenarioError(Exception):
    """A user's scenario is not valid: one line for each error, each with the file's name."""


def titles(folder: Traversable) -> dict[str, str]:
    """Returns the titles of the TOML files that ship in a folder, by name."""
    names = sorted(
        file.name.removesuffix(TOML_SUFFIX) for file in folder.iterdir() if file.name.endswith(TOML_SUFFIX)
    )
    return {name: title(folder / f"{name}{TOML_SUFFIX}") for name in names}


def title(file: Traversable) -> str:
    """Returns the title of a TOML file, empty where it has none."""
    return str(tomllib.loads(file.read_text()).get("title", ""))


def read_toml(source: str, folder: Traversable, error_type: type[Exception]) -> dict[str, Any]:
    """Decodes a TOML file.

    Args:
        source: A path or, where no such file exists, the name of a file that ships.
        folder: The folder of the files that ship.
        error_type: The exception to raise.

    Raises:
        Exception: Of `error_type`: the file does not exist, cannot be read or is not TOML.
    """
    path = Path(source)
    name = source.removesuffix(TOML_SUFFIX)
    shipped_file = folder / f"{name}{TOML_SUFFIX}"
    if not path.is_file() and SHIPPED_NAME.fullmatch(name) and shipped_file.is_file():
        return tomllib.loads(shipped_file.read_text())
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        raise error_type(f"{source}: no such file: shipped are {', '.join(titles(folder))}") from None
    except OSError as e:
        raise error_type(f"{source}: cannot be read: {e.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise error_type(f"{source}: not TOML: {e}") from None


def shipped() -> dict[str, str]:
    """Returns the titles of the scenarios that ship with the product, by name."""
    return titles(SHIPPED)


def read_table(source: str) -> dict[str, Any]:
    """Decodes a scenario file, or one that ships where no such file exists.

    Raises:
        ScenarioError: The file cannot be read or is not TOML.
    """
    return read_toml(source, SHIPPED, ScenarioError)


def parse_scenario(table: dict[str, Any], source: str = "scenario") -> Scenario:
    """Validates a decoded scenario file.

    Raises:
        ScenarioError: The table is not a valid scenario; one line for each error.
    """
    errors = scenario_errors(table)
    if errors:
        raise ScenarioError("\n".join(f"{source}: {error}" for error in errors))
    return msgspec.convert(table, Scenario)


def load(source: str, overrides: Sequence[str] = ()) -> Scenario:
    """Reads a scenario file, or one that ships, and applies `KEY=VALUE` overrides.

    Raises:
        ScenarioError: The file or an override is not valid.
    """
    table = read_table(source)
    if not overrides:
        return parse_scenario(table, source)
    table = to_table(parse_scenario(table, source))
    for override in overrides:
        apply_override(table, override)
    return parse_scenario(table, f"{source} with --set")


def apply_override(table: dict[str, Any], override: str) -> None:
    """Sets one key by its path, as `tier[0].kind[1].speed=2`.

    Raises:
        ScenarioError: The override has another form, or there is no such key.
    """
    path, equals, text = override.partition("=")
    steps = parse_path(path)
    if not equals or not steps:
        raise ScenarioError(f"--set {override}: not of the form KEY=VALUE, as in load.fraction=0.9")
    parent: Any = table
    for depth, step in enumerate(steps[:-1], start=1):
        try:
            parent = parent[step]
        except (KeyError, IndexError, TypeError):
            missing = ".".join(map(str, steps[:depth]))
            raise ScenarioError(f"--set {override}: no such key: {missing}") from None
    try:
        parent[steps[-1]] = parse_value(text)
    except (IndexError, TypeError):
        raise ScenarioError(f"--set {override}: no such key: {path}") from None


def parse_path(path: str) -> list[str | int]:
    """Returns the keys and indices of a path; empty where there is none."""
    steps: list[str | int] = []
    for match in PATH_STEP.finditer(path.strip()):
        steps.append(match[1])
        steps += [int(index) for index in re.findall(r"\d+", match[2])]
    return steps


def parse_value(text: str) -> Any:
    """Returns a value as TOML spells it, or the text itself."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def to_table(scenario: Scenario) -> dict[str, Any]:
    """Returns a scenario as TOML's own types."""
    return dict(msgspec.to_builtins(scenario))


def to_toml(scenario: Scenario) -> str:
    """Returns a scenario as the text of a file that decodes to the same."""
    return tomli_w.dumps(to_table(scenario))


def digest(scenario: Scenario) -> str:
    """Returns what tells one scenario from another: 16 hexadecimal digits over all its keys."""
    return hashlib.blake2b(msgspec.json.encode(scenario), digest_size=DIGEST_BYTES).hexdigest()


def draw(scenario: Scenario, seed: int | None = None) -> Scenario:
    """Returns the scenario with every range replaced by one value, and itself if it has none.

    Each key draws from a stream named by its path, so another range in the file changes no other key.

    Args:
        scenario: The scenario.
        seed: The seed of the draw; by default the scenario's own.
    """
    table = to_table(scenario)
    table["seed"] = scenario.seed if seed is None else seed
    drawn = draw_ranges(table, "", Streams(table["seed"]))
    return msgspec.convert(drawn, Scenario)


def draw_ranges(value: Any, path: str, streams: Streams) -> Any:
    """Returns a decoded value with every pair of numbers in it replaced by a draw between them."""
    if isinstance(value, dict):
        return {key: draw_ranges(item, f"{path}.{key}", streams) for key, item in value.items()}
    if not isinstance(value, (list, tuple)):
        return value
    if len(value) == 2 and all(isinstance(item, (int, float)) for item in value):
        low, high = value
        rng = streams.random(f"day{path}")
        if isinstance(low, int) and isinstance(high, int):
            return rng.randint(low, high)
        return float(f"{rng.uniform(low, high):.6g}")
    return [draw_ranges(item, f"{path}[{index}]", streams) for index, item in enumerate(value)]
