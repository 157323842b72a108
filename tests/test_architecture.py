"""Import rules: no import cycles between modules, and no imports of the workbench in the balancer."""

from __future__ import annotations

import ast
from collections.abc import Iterator, Mapping
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("balancer", "workbench")


def module_files(root: Path) -> dict[str, Path]:
    """Return the files of all modules in the packages, by full module name."""
    files = {}
    for package in PACKAGES:
        for path in sorted((root / package).rglob("*.py")):
            parts = path.relative_to(root).with_suffix("").parts
            files[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return files


def imported_names(module: str, path: Path) -> Iterator[tuple[str, str | None]]:
    """Yield each import as (module, imported name); the name is None for `import module`."""
    package = module if path.stem == "__init__" else module.rpartition(".")[0]
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from ((alias.name, None) for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = node.module or ""
            if node.level:
                parent = package.split(".")[: len(package.split(".")) - node.level + 1]
                base = ".".join([*parent, *([base] if base else [])])
            yield from ((base, alias.name) for alias in node.names)


def import_graph(files: Mapping[str, Path]) -> dict[str, set[str]]:
    """Return the modules that each module imports at its top, in functions or for type checking only."""
    graph = {}
    for module, path in files.items():
        imported = set()
        for base, name in imported_names(module, path):
            submodule = f"{base}.{name}"
            imported.add(submodule if submodule in files else base)
        graph[module] = (imported & set(files)) - {module}
    return graph


def find_cycle(graph: Mapping[str, set[str]]) -> list[str]:
    """Return the modules of one import cycle, with the first one repeated at the end, or an empty list."""
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        cycle: list[str] = error.args[1]
        return cycle
    return []


def test_modules_have_no_import_cycle() -> None:
    """Modules of a cycle can be neither understood nor tested one at a time.

    Imports in functions and under `TYPE_CHECKING` count like any other.
    """
    graph = import_graph(module_files(ROOT))
    assert len(graph) > 200  # The packages have been found.
    assert find_cycle(graph) == []


def test_balancer_does_not_import_workbench() -> None:
    """The installation of a node does not need the workbench's dependencies."""
    graph = import_graph(module_files(ROOT))
    violations = [
        (module, imported)
        for module, modules in graph.items()
        for imported in modules
        if module.startswith("balancer") and imported.startswith("workbench")
    ]
    assert violations == []


@pytest.mark.parametrize(
    "imports",
    [
        "from workbench.two import Two",
        "from .two import Two",
        "from workbench import two",
        "import workbench.two",
        "def late():\n    from workbench.two import Two",
        "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from workbench.two import Two",
    ],
)
def test_cycle_is_found_for_each_form_of_import(tmp_path: Path, imports: str) -> None:
    package = tmp_path / "workbench"
    package.mkdir()
    (package / "__init__.py").write_text("")
    (package / "one.py").write_text(imports)
    (package / "two.py").write_text("import workbench.one")
    cycle = find_cycle(import_graph(module_files(tmp_path)))
    assert set(cycle) == {"workbench.one", "workbench.two"}
