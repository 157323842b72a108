"""The policy as another revision of this repository has it, or with other constants, beside today's.

A revision's `balancer/policy/` is loaded as a package of a name of its own, with that revision's
`interface.py`; the work tree is not touched. Revisions from before the package have one module,
`balancer/balance.py`, in its place. Enumerations are whole numbers, so an older module's compare equal
to today's.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Mapping, Sequence
from functools import lru_cache
from importlib import import_module
from importlib.abc import Loader, MetaPathFinder
from importlib.machinery import ModuleSpec
from importlib.util import spec_from_loader
from pathlib import Path
from types import ModuleType

import balancer.policy
from balancer.policy.interface import Actions, Events, Settings
from workbench.baselines import Policy
from workbench.model.site import World

ROOT = Path(balancer.policy.__file__).parent.parent.parent
PACKAGE, INTERFACE = "balancer/policy/", "balancer/policy/interface.py"
SINGLE_MODULE = "balancer/balance.py"  # in place of the package, in revisions from before it
Constants = tuple[tuple[str, float], ...]


class RevisionError(Exception):
    """A revision or constant that cannot be had: one line."""


def git(*args: str) -> str:
    """What git prints in this repository. RevisionError."""
    try:
        done = subprocess.run(["git", *args], cwd=ROOT, capture_output=True, text=True, timeout=30)
    except (OSError, subprocess.TimeoutExpired) as e:
        raise RevisionError(f"git: {e}") from None
    if done.returncode:
        raise RevisionError((done.stderr.strip().splitlines() or ["git failed"])[0])
    return done.stdout


@lru_cache
def full_revision(revision: str) -> str:
    """The whole name of a revision, so that a result does not depend on where a branch stands."""
    try:
        return git("rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}").strip()
    except RevisionError:
        raise RevisionError(f"git:{revision}: no such revision of this repository") from None


def policy_sources(revision: str) -> dict[str, str]:
    """The policy's files at a revision ("" is the work tree): their text by path. RevisionError."""
    if not revision:
        files = sorted((ROOT / PACKAGE).glob("*.py"))
        return {PACKAGE + file.name: file.read_text() for file in files}
    listed = git("ls-tree", "--name-only", revision, PACKAGE).split()
    paths = [path for path in listed if path.endswith(".py")] or [SINGLE_MODULE]
    return {path: git("show", f"{revision}:{path}") for path in paths}


class SourceLoader(MetaPathFinder, Loader):
    """Imports modules whose source text stands in a mapping, by their full names."""

    def __init__(self, sources: Mapping[str, str]) -> None:
        self.sources = sources

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        if fullname not in self.sources:
            return None
        is_package = any(name.startswith(f"{fullname}.") for name in self.sources)
        return spec_from_loader(fullname, self, is_package=is_package)

    def exec_module(self, module: ModuleType) -> None:
        exec(compile(self.sources[module.__name__], module.__name__, "exec"), module.__dict__)


def import_sources(sources: Mapping[str, str]) -> list[ModuleType]:
    """Imports all modules of a mapping from full names to source texts."""
    loader = SourceLoader(sources)
    sys.meta_path.insert(0, loader)
    try:
        return [import_module(name) for name in sources]
    finally:
        sys.meta_path.remove(loader)


def module_name(package: str, path: str) -> str:
    """The name under which a file of the policy is loaded; its package or single module is `package`."""
    stem = Path(path).stem
    return package if path == SINGLE_MODULE or stem == "__init__" else f"{package}.{stem}"


def set_constant(modules: Sequence[ModuleType], name: str, value: float) -> None:
    """Sets a constant in the module that defines it and in those that import it. RevisionError."""
    holders = [module for module in modules if hasattr(module, name)]
    was = getattr(holders[0], name) if holders else None
    if not name.isupper() or isinstance(was, bool) or not isinstance(was, (int, float)):
        raise RevisionError(f"policy.{name}: no such constant of the policy")
    for module in holders:
        setattr(module, name, type(was)(value) if float(value).is_integer() else value)


@lru_cache
def load(revision: str, constants: Constants) -> ModuleType:
    """The policy at a revision ("" is the work tree) with constants set: what holds `Balancer`.

    RevisionError names what is wrong.
    """
    package = f"balancer_at_{revision or 'work'}_{abs(hash(constants)):x}"
    interface = f"{package}_interface"
    sources = {}
    if revision:
        sources[interface] = git("show", f"{revision}:{INTERFACE}")
    for path, text in policy_sources(revision).items():
        text = text.replace("balancer.policy", package)
        if revision:
            text = text.replace("from balancer.policy.interface import", f"from {interface} import")
        sources[module_name(package, path)] = text
    modules = import_sources(sources)
    for name, value in constants:
        set_constant(modules, name, value)
    return sys.modules[package]


def policy_of(revision: str, constants: Constants) -> Policy:
    """The module of a revision and constants, as a policy. RevisionError."""
    module = load(revision, constants)

    def make(settings: Settings, seed: int, actions: Actions, world: World) -> Events:
        made: Events = module.Balancer(settings, seed, actions)
        return made

    return make
