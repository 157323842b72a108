"""The policy as another revision of this repository has it, or with other constants, beside today's.

A revision's `policy/` is loaded as a package of a name of its own, with that revision's interface; the work
tree is not touched. Older revisions keep these files elsewhere: the node's package was `brackenladder`, the
interface stood beside the policy's package, and before that the policy was a single module. Enumerations are
whole numbers, so an older module's compare equal to today's.
"""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache
from importlib import import_module
from importlib.abc import Loader, MetaPathFinder
from importlib.machinery import ModuleSpec
from importlib.util import spec_from_loader
from pathlib import Path
from types import ModuleType

import balancer.policy.interface
from balancer.policy.interface import Actions, Events, Settings
from workbench.baselines import Policy
from workbench.baselines.former_interface import make_former, uses_former_names
from workbench.model.site import World

ROOT = Path(balancer.policy.__file__).parent.parent.parent
NODE_PACKAGE, FORMER_NODE_PACKAGE = "balancer", "brackenladder"
SINGLE_MODULE = "balance.py"  # in place of the policy's package, in the oldest revisions
INTERFACES = ("policy/interface.py", "interface.py")  # within the node's package, the newest place first
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


@dataclass(frozen=True)
class Layout:
    """Where a revision keeps the policy: the node's package, and paths of files in the repository."""

    node_package: str
    interface: str
    policy: tuple[str, ...]

    def module(self, path: str) -> str:
        """The name under which the revision's own code imports a file."""
        return path.removesuffix(".py").removesuffix("/__init__").replace("/", ".")


def layout_of(revision: str) -> Layout:
    """The layout of a revision ("" is the work tree). RevisionError where it has no policy."""
    for package in (NODE_PACKAGE, FORMER_NODE_PACKAGE):
        files = list_files(revision, package)
        interface = next((f"{package}/{i}" for i in INTERFACES if f"{package}/{i}" in files), None)
        if interface is None:
            continue
        parts = [
            f for f in files if f.startswith(f"{package}/policy/") and f.endswith(".py") and f != interface
        ]
        return Layout(package, interface, tuple(parts) or (f"{package}/{SINGLE_MODULE}",))
    raise RevisionError(f"git:{revision}: it has no policy")


def list_files(revision: str, folder: str) -> list[str]:
    """Paths of the files below a folder at a revision ("" is the work tree)."""
    if revision:
        return git("ls-tree", "-r", "--name-only", revision, f"{folder}/").splitlines()
    return sorted(file.relative_to(ROOT).as_posix() for file in (ROOT / folder).rglob("*.py"))


def read_source(revision: str, path: str) -> str:
    """The text of a file at a revision ("" is the work tree). RevisionError."""
    return git("show", f"{revision}:{path}") if revision else (ROOT / path).read_text()


def policy_sources(revision: str) -> dict[str, str]:
    """The policy's files at a revision ("" is the work tree): their text by path. RevisionError."""
    return {path: read_source(revision, path) for path in layout_of(revision).policy}


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


def private_name(layout: Layout, package: str, path: str) -> str:
    """The name under which a file of the policy is loaded; its package or single module is `package`."""
    stem = Path(path).stem
    is_package = path.endswith(f"/{SINGLE_MODULE}") and len(layout.policy) == 1 or stem == "__init__"
    return package if is_package else f"{package}.{stem}"


def with_private_imports(text: str, layout: Layout, package: str, interface: str) -> str:
    """The text of a file of the policy, with its imports of the policy and the interface renamed."""
    own_interface = re.escape(layout.module(layout.interface))
    text = re.sub(rf"from {own_interface} import", f"from {interface} import", text)
    return re.sub(rf"from {layout.node_package}\.policy(?!\.interface\b)", f"from {package}", text)


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
    layout = layout_of(revision)
    package = f"policy_at_{revision or 'work'}_{abs(hash(constants)):x}"
    interface = f"{package}_interface" if revision else layout.module(layout.interface)
    sources = {}
    if revision:
        sources[interface] = read_source(revision, layout.interface)
    for path, text in policy_sources(revision).items():
        sources[private_name(layout, package, path)] = with_private_imports(text, layout, package, interface)
    modules = import_sources(sources)
    for name, value in constants:
        set_constant(modules, name, value)
    return sys.modules[package]


def interface_of(module: ModuleType) -> ModuleType:
    """The interface that a policy loaded by `load` was written for."""
    return sys.modules.get(f"{module.__name__}_interface", balancer.policy.interface)


def policy_of(revision: str, constants: Constants) -> Policy:
    """The module of a revision and constants, as a policy. RevisionError."""
    module = load(revision, constants)
    interface = interface_of(module)

    def make(settings: Settings, seed: int, actions: Actions, world: World) -> Events:
        if uses_former_names(interface):
            return make_former(module.Balancer, interface, settings, seed, actions)
        made: Events = module.Balancer(settings, seed, actions)
        return made

    return make
