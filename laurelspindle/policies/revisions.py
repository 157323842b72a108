"""The module as another revision of this repository has it, or with other constants, beside today's.

The text of `balance.py` (and, for a revision, of `interface.py`) is loaded as a module of a name of its own;
the work tree is not touched. Enumerations are whole numbers, so an older module's compare equal to today's.
"""

from __future__ import annotations

import importlib.util
import subprocess
import sys
from functools import lru_cache
from pathlib import Path
from types import ModuleType

import brackenladder.balance
from brackenladder.interface import Actions, Events, Settings
from laurelspindle.policies import Policy
from laurelspindle.world.site import World

ROOT = Path(brackenladder.balance.__file__).parent.parent
BALANCE, INTERFACE = "brackenladder/balance.py", "brackenladder/interface.py"
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


def module_of(name: str, text: str, where: str) -> ModuleType:
    spec = importlib.util.spec_from_loader(name, loader=None)
    assert spec is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module  # dataclasses look their module up
    exec(compile(text, where, "exec"), module.__dict__)
    return module


@lru_cache
def load(revision: str, constants: Constants) -> ModuleType:
    """The module's text at a revision ("" is today's file) with constants set. RevisionError names what is
    wrong."""
    tag = f"brackenladder_at_{revision or 'work'}_{abs(hash(constants)):x}"
    if revision:
        text = git("show", f"{revision}:{BALANCE}")
        module_of(f"{tag}_interface", git("show", f"{revision}:{INTERFACE}"), f"{revision}:{INTERFACE}")
        text = text.replace("from brackenladder.interface import", f"from {tag}_interface import")
    else:
        text = (ROOT / BALANCE).read_text()
    module = module_of(tag, text, f"{revision}:{BALANCE}")
    for name, value in constants:
        was = getattr(module, name, None)
        if not name.isupper() or isinstance(was, bool) or not isinstance(was, (int, float)):
            raise RevisionError(f"balance.{name}: no such constant of the module")
        setattr(module, name, type(was)(value) if float(value).is_integer() else value)
    return module


def policy_of(revision: str, constants: Constants) -> Policy:
    """The module of a revision and constants, as a policy. RevisionError."""
    module = load(revision, constants)

    def make(settings: Settings, seed: int, actions: Actions, world: World) -> Events:
        made: Events = module.Balancer(settings, seed, actions)
        return made

    return make
