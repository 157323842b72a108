"""docs/ARCHITECTURE.md names every package, and only paths that exist."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
PACKAGES = sorted(
    file.parent.relative_to(ROOT).as_posix() + "/"
    for top in ("balancer", "workbench")
    for file in (ROOT / top).rglob("__init__.py")
)


def named_paths() -> set[str]:
    """Return the paths of this repository that the page names."""
    return {path.rstrip("/") for path in re.findall(r"`((?:balancer|workbench|docs|deploy)/[\w./-]*)`", PAGE)}


def test_page_names_every_package() -> None:
    missing = [package for package in PACKAGES if f"`{package}`" not in PAGE]
    assert not missing


def test_paths_on_page_exist() -> None:
    missing = sorted(path for path in named_paths() if not (ROOT / path).exists())
    assert not missing and len(named_paths()) > 30
