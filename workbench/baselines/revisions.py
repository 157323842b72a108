"""Loads the policy of another revision of this repository, or with other constants, beside the current one.

A revision's `policy/` is loaded as a package under a private name, with that revision's interface; the work
tree is not changed. Older revisions have these files in other places: the package of the node is
`brackenladder`, the interface is beside the policy's package, and in the oldest revisions the policy is a
single module. Enumerations are integers, so those of an older revision compare equal to the current ones.
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
from workbench.baselines import PolicyFactory
from workbench.baselines.former_interface import make_former, uses_former_names
from workbench.model.site import World

ROOT = Path(balancer.policy.__file__).parent.parent.parent
NODE_PACKAGE, FORMER_NODE_PACKAGE = "balancer", "brackenladder"
# The policy's module in the oldest revisions, where the policy is not a package.
SINGLE_MODULE = "balance.py"
# The possible paths of the interface within the node's package, the newest first.
INTERFACE_PATHS = ("policy/interface.py", "interface.py")
GIT_TIMEOUT_S = 30

# Names and values of constants, as a hashable type.
Constants = tuple[tuple[str, float], ...]


class RevisionError(Exception):
    """Raised for a revision or constant that does not exist; the message is one line."""


def run_git(*args: str) -> str:
    """Run git in this repository and return its standard output.

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
    """Return the full hash of a revision, which still identifies it when a branch has moved.

    Raises:
        RevisionError: There is no such revision.
    """
    try:
        return run_git("rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}").strip()
    except RevisionError:
        raise RevisionError(f"git:{revision}: no such revision of this repository") from None


@dataclass(frozen=True)
class Layout:
    """The places of the policy's files in a revision.

    Attributes:
        node_package: The name of the node's package.
        interface_path: The path of the interface in the repository.
        policy_paths: The paths of the policy's files.
    """

    node_package: str
    interface_path: str
    policy_paths: tuple[str, ...]

    def module_name(self, path: str) -> str:
        """Return the name under which the revision's code imports a file."""
        return path.removesuffix(".py").removesuffix("/__init__").replace("/", ".")


def find_layout(revision: str) -> Layout:
    """Return the layout of a revision ("" is the work tree).

    Raises:
        RevisionError: The revision has no policy.
    """
    for package in (NODE_PACKAGE, FORMER_NODE_PACKAGE):
        files = list_files(revision, package)
        interface = next(
            (f"{package}/{path}" for path in INTERFACE_PATHS if f"{package}/{path}" in files), None
        )
        if interface is None:
            continue
        policy_paths = [
            f for f in files if f.startswith(f"{package}/policy/") and f.endswith(".py") and f != interface
        ]
        return Layout(package, interface, tuple(policy_paths) or (f"{package}/{SINGLE_MODULE}",))
    raise RevisionError(f"git:{revision}: the revision has no policy")


def list_files(revision: str, folder: str) -> list[str]:
    """Return the paths of the files below a folder at a revision ("" is the work tree)."""
    if revision:
        return run_git("ls-tree", "-r", "--name-only", revision, f"{folder}/").splitlines()
    return sorted(file.relative_to(ROOT).as_posix() for file in (ROOT / folder).rglob("*.py"))


def read_source(revision: str, path: str) -> str:
    """Return the text of a file at a revision ("" is the work tree).

    Raises:
        RevisionError: The revision has no such file.
    """
    return run_git("show", f"{revision}:{path}") if revision else (ROOT / path).read_text()


def policy_sources(revision: str) -> dict[str, str]:
    """Return the text of the policy's files at a revision ("" is the work tree), by path.

    Raises:
        RevisionError: The revision has no policy.
    """
    return {path: read_source(revision, path) for path in find_layout(revision).policy_paths}


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
        """Return the spec of a module that has a source text."""
        if fullname not in self.sources:
            return None
        is_package = any(name.startswith(f"{fullname}.") for name in self.sources)
        return spec_from_loader(fullname, self, is_package=is_package)

    def exec_module(self, module: ModuleType) -> None:
        """Execute a module's source text."""
        exec(compile(self.sources[module.__name__], module.__name__, "exec"), module.__dict__)


def import_sources(sources: Mapping[str, str]) -> list[ModuleType]:
    """Import and return all modules of a mapping from full names to source texts."""
    loader = SourceLoader(sources)
    sys.meta_path.insert(0, loader)
    try:
        return [import_module(name) for name in sources]
    finally:
        sys.meta_path.remove(loader)


def private_module_name(layout: Layout, package: str, path: str) -> str:
    """Return the name under which a file of the policy is loaded.

    The policy's package, or its single module, is loaded as `package`.
    """
    stem = Path(path).stem
    is_single_module = path.endswith(f"/{SINGLE_MODULE}") and len(layout.policy_paths) == 1
    return package if is_single_module or stem == "__init__" else f"{package}.{stem}"


def rewrite_imports(text: str, layout: Layout, package: str, interface: str) -> str:
    """Return the text of a file of the policy that imports policy and interface under their private names."""
    interface_pattern = re.escape(layout.module_name(layout.interface_path))
    text = re.sub(rf"from {interface_pattern} import", f"from {interface} import", text)
    return re.sub(rf"from {layout.node_package}\.policy(?!\.interface\b)", f"from {package}", text)


def set_constant(modules: Sequence[ModuleType], name: str, value: float) -> None:
    """Set a constant in the module that defines it and in those that import it.

    Raises:
        RevisionError: The policy has no such constant.
    """
    modules_with_constant = [module for module in modules if hasattr(module, name)]
    current = getattr(modules_with_constant[0], name) if modules_with_constant else None
    if not name.isupper() or isinstance(current, bool) or not isinstance(current, (int, float)):
        raise RevisionError(f"policy.{name}: no such constant of the policy")
    for module in modules_with_constant:
        setattr(module, name, type(current)(value) if float(value).is_integer() else value)


@lru_cache
def load_policy_module(revision: str, constants: Constants) -> ModuleType:
    """Load the policy of a revision ("" is the work tree) with constants set.

    Returns:
        The module that has `Balancer`.

    Raises:
        RevisionError: The revision has no policy, or the policy has no such constant.
    """
    layout = find_layout(revision)
    package = f"policy_at_{revision or 'work'}_{abs(hash(constants)):x}"
    interface = f"{package}_interface" if revision else layout.module_name(layout.interface_path)
    sources = {}
    if revision:
        sources[interface] = read_source(revision, layout.interface_path)
    for path, text in policy_sources(revision).items():
        sources[private_module_name(layout, package, path)] = rewrite_imports(
            text, layout, package, interface
        )
    modules = import_sources(sources)
    for name, value in constants:
        set_constant(modules, name, value)
    return sys.modules[package]


def interface_module(module: ModuleType) -> ModuleType:
    """Return the interface that a policy from `load_policy_module` is written for."""
    return sys.modules.get(f"{module.__name__}_interface", balancer.policy.interface)


def load_policy_factory(revision: str, constants: Constants) -> PolicyFactory:
    """Return the factory of a revision's policy with constants set ("" is the work tree).

    Raises:
        RevisionError: The revision has no policy, or the policy has no such constant.
    """
    module = load_policy_module(revision, constants)
    interface = interface_module(module)

    def make(settings: Settings, seed: int, actions: Actions, world: World) -> Events:
        if uses_former_names(interface):
            return make_former(module.Balancer, interface, settings, seed, actions)
        policy: Events = module.Balancer(settings, seed, actions)
        return policy

    return make
