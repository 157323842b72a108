"""Reading of scenarios, overrides of their keys, and drawing of values from their ranges."""

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
# One step of a key path: a key and its indices, such as `tier[0].`.
PATH_STEP = re.compile(r"([^.\[\]]+)((?:\[\d+\])*)(?:\.|$)")
DIGEST_BYTES = 8
SHIPPED_SCENARIOS = files("workbench") / "scenarios"


class ScenarioError(Exception):
    """An invalid scenario; the message has one line for each error, with the name of the file."""


def titles_by_name(folder: Traversable) -> dict[str, str]:
    """Return the titles of the TOML files in a folder of the package, by name without suffix."""
    names = sorted(
        file.name.removesuffix(TOML_SUFFIX) for file in folder.iterdir() if file.name.endswith(TOML_SUFFIX)
    )
    return {name: title(folder / f"{name}{TOML_SUFFIX}") for name in names}


def title(file: Traversable) -> str:
    """Return the title of a TOML file; empty if it has none."""
    return str(tomllib.loads(file.read_text()).get("title", ""))


def read_toml(source: str, folder: Traversable, error_type: type[Exception]) -> dict[str, Any]:
    """Decode a TOML file.

    Args:
        source: A path or, if no such file exists, the name of a file that ships with the workbench.
        folder: The folder of the shipped files.
        error_type: The type of exception to raise.

    Raises:
        Exception: An instance of `error_type`; the file does not exist, cannot be read or is not TOML.
    """
    path = Path(source)
    name = source.removesuffix(TOML_SUFFIX)
    shipped_file = folder / f"{name}{TOML_SUFFIX}"
    if not path.is_file() and SHIPPED_NAME.fullmatch(name) and shipped_file.is_file():
        return tomllib.loads(shipped_file.read_text())
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        raise error_type(f"{source}: no such file: shipped are {', '.join(titles_by_name(folder))}") from None
    except OSError as e:
        raise error_type(f"{source}: cannot be read: {e.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise error_type(f"{source}: not TOML: {e}") from None


def shipped_scenarios() -> dict[str, str]:
    """Return the titles of the scenarios that ship with the workbench, by name."""
    return titles_by_name(SHIPPED_SCENARIOS)


def read_table(source: str) -> dict[str, Any]:
    """Decode a scenario file or, if no such file exists, the shipped scenario of that name.

    Raises:
        ScenarioError: The file cannot be read or is not TOML.
    """
    return read_toml(source, SHIPPED_SCENARIOS, ScenarioError)


def parse_scenario(table: dict[str, Any], source: str = "scenario") -> Scenario:
    """Validate a decoded scenario file and convert it to a `Scenario`.

    Raises:
        ScenarioError: The table is not a valid scenario.
    """
    errors = scenario_errors(table)
    if errors:
        raise ScenarioError("\n".join(f"{source}: {error}" for error in errors))
    return msgspec.convert(table, Scenario)


def load(source: str, overrides: Sequence[str] = ()) -> Scenario:
    """Read a scenario file or a shipped scenario, and apply `KEY=VALUE` overrides.

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
    """Set one key by its path, such as `tier[0].kind[1].speed=2`.

    Raises:
        ScenarioError: The override is malformed, or its key does not exist.
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
    """Return the keys and indices of a path; an empty list if the text is not a path."""
    steps: list[str | int] = []
    for match in PATH_STEP.finditer(path.strip()):
        steps.append(match[1])
        steps += [int(index) for index in re.findall(r"\d+", match[2])]
    return steps


def parse_value(text: str) -> Any:
    """Return the value that a text has in TOML, or the text itself if it is not TOML."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def to_table(scenario: Scenario) -> dict[str, Any]:
    """Return a scenario as a table of TOML's built-in types."""
    return dict(msgspec.to_builtins(scenario))


def to_toml(scenario: Scenario) -> str:
    """Return a scenario as TOML text that decodes to an equal scenario."""
    return tomli_w.dumps(to_table(scenario))


def digest(scenario: Scenario) -> str:
    """Return a digest of all keys of a scenario, as 16 hexadecimal digits."""
    return hashlib.blake2b(msgspec.json.encode(scenario), digest_size=DIGEST_BYTES).hexdigest()


def draw(scenario: Scenario, seed: int | None = None) -> Scenario:
    """Return the scenario with a drawn value in place of each range.

    Each key draws from a stream named by its path, so an added range changes no other key. A scenario without
    ranges stays equal, apart from its seed.

    Args:
        scenario: The scenario.
        seed: The seed of the draw; by default the seed of the scenario.
    """
    table = to_table(scenario)
    table["seed"] = scenario.seed if seed is None else seed
    drawn = draw_ranges(table, "", Streams(table["seed"]))
    return msgspec.convert(drawn, Scenario)


def draw_ranges(value: Any, path: str, streams: Streams) -> Any:
    """Return a decoded value with each pair of numbers in it replaced by a number drawn between them."""
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
