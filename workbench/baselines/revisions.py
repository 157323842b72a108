"""The policy of another revision of this repository, or with other constants, beside the present one.

A revision's `policy/` is loaded as a package under a private name, with that revision's interface; the work
tree is not touched. Older revisions have these files elsewhere: the node's package was `brackenladder`, the
interface was beside the policy's package, and before that the policy was a single module. Enumerations are
integers, so an older module's compare equal to the present ones.
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
GIT_TIMEOUT_S = 30

Constants = tuple[tuple[str, float], ...]  # names and values; hashable


class RevisionError(Exception):
    """A revision or constant that does not exist; the message is one line."""


def git(*args: str) -> str:
    """Returns what git prints in this repository.

    Raises:
        RevisionError: git failed.
    """
    try:
        result = subprocess.run(
            ["git", *args], cwd=ROOT, capture_output=True, text=True, timeout=GIT_TIMEOUT_S
        )
    except (OSError, subprocess.TimeoutExpired) as e:
        raise RevisionError(f"git: {e}") from None
    if result.returncode:
        raise RevisionError((result.stderr.strip().splitlines() or ["git failed"])[0])
    return result.stdout


@lru_cache
def full_revision(revision: str) -> str:
    """Returns the full hash of a revision, so that a result does not depend on where a branch points.

    Raises:
        RevisionError: There is no such revision.
    """
    try:
        return git("rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}").strip()
    except RevisionError:
        raise RevisionError(f"git:{revision}: no such revision of this repository") from None


@dataclass(frozen=True)
class Layout:
    """Where a revision has the policy.

    Attributes:
        node_package: The package of the node.
        interface: The path of the interface in the repository.
        policy: The paths of the policy's files.
    """

    node_package: str
    interface: str
    policy: tuple[str, ...]

    def module(self, path: str) -> str:
        """Returns the name under which the revision's own code imports a file."""
        return path.removesuffix(".py").removesuffix("/__init__").replace("/", ".")


def layout_of(revision: str) -> Layout:
    """Returns the layout of a revision ("" is the work tree).

    Raises:
        RevisionError: The revision has no policy.
    """
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
    """Returns the paths of the files below a folder at a revision ("" is the work tree)."""
    if revision:
        return git("ls-tree", "-r", "--name-only", revision, f"{folder}/").splitlines()
    return sorted(file.relative_to(ROOT).as_posix() for file in (ROOT / folder).rglob("*.py"))


def read_source(revision: str, path: str) -> str:
    """Returns the text of a file at a revision ("" is the work tree).

    Raises:
        RevisionError: The revision has no such file.
    """
    return git("show", f"{revision}:{path}") if revision else (ROOT / path).read_text()


def policy_sources(revision: str) -> dict[str, str]:
    """Returns the text of the policy's files at a revision ("" is the work tree), by path.

    Raises:
        RevisionError: The revision has no policy.
    """
    return {path: read_source(revision, path) for path in layout_of(revision).policy}


class SourceLoader(MetaPathFinder, Loader):
    """Imports modules from source texts.

    Args:
        sources: The source texts by the modules' full names.
    """

    def __init__(self, sources: Mapping[str, str]) -> None:
        self.sources = sources

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Returns the spec of a module that has a source text."""
        if fullname not in self.sources:
            return None
        is_package = any(name.startswith(f"{fullname}.") for name in self.sources)
        return spec_from_loader(fullname, self, is_package=is_package)

    def exec_module(self, module: ModuleType) -> None:
        """Runs a module's source text."""
        exec(compile(self.sources[module.__name__], module.__name__, "exec"), module.__dict__)


def import_sources(sources: Mapping[str, str]) -> list[ModuleType]:
    """Imports and returns all modules of a mapping from full names to source texts."""
    loader = SourceLoader(sources)
    sys.meta_path.insert(0, loader)
    try:
        return [import_module(name) for name in sources]
    finally:
        sys.meta_path.remove(loader)


def private_name(layout: Layout, package: str, path: str) -> str:
    """Returns the name under which a file of the policy is loaded.

    The policy's package, or its single module, is loaded as `package`.
    """
    stem = Path(path).stem
    is_single_module = path.endswith(f"/{SINGLE_MODULE}") and len(layout.policy) == 1
    return package if is_single_module or stem == "__init__" else f"{package}.{stem}"


def with_private_imports(text: str, layout: Layout, package: str, interface: str) -> str:
    """Returns the text of a file of the policy, with its imports of policy and interface renamed."""
    own_interface = re.escape(layout.module(layout.interface))
    text = re.sub(rf"from {own_interface} import", f"from {interface} import", text)
    return re.sub(rf"from {layout.node_package}\.policy(?!\.interface\b)", f"from {package}", text)


def set_constant(modules: Sequence[ModuleType], name: str, value: float) -> None:
    """Sets a constant in the module that defines it and in those that import it.

    Raises:
        RevisionError: The policy has no such constant.
    """
    having = [module for module in modules if hasattr(module, name)]
    present = getattr(having[0], name) if having else None
    if not name.isupper() or isinstance(present, bool) or not isinstance(present, (int, float)):
        raise RevisionError(f"policy.{name}: no such constant of the policy")
    for module in having:
        setattr(module, name, type(present)(value) if float(value).is_integer() else value)


@lru_cache
def load(revision: str, constants: Constants) -> ModuleType:
    """Loads the policy of a revision ("" is the work tree) with constants set.

    Returns:
        The module that has `Balancer`.

    Raises:
        RevisionError: The revision has no policy, or the policy no such constant.
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
    """Returns the interface that a policy loaded by `load` was written for."""
    return sys.modules.get(f"{module.__name__}_interface", balancer.policy.interface)


def policy_of(revision: str, constants: Constants) -> Policy:
    """Returns the module of a revision and constants as a policy.

    Raises:
        RevisionError: The revision has no policy, or the policy no such constant.
    """
    module = load(revision, constants)
    interface = interface_of(module)

    def make(settings: Settings, seed: int, actions: Actions, world: World) -> Events:
        if uses_former_names(interface):
            return make_former(module.Balancer, interface, settings, seed, actions)
        policy: Events = module.Balancer(settings, seed, actions)
        return policy

    return make
