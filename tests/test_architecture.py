"""The direction of imports: no cycle between modules, and none from the node into the workbench."""

from __future__ import annotations

import ast
from collections.abc import Iterator, Mapping
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("balancer", "workbench")


def module_files(root: Path) -> dict[str, Path]:
    """All modules of the packages, by full name."""
    found = {}
    for package in PACKAGES:
        for path in sorted((root / package).rglob("*.py")):
            parts = path.relative_to(root).with_suffix("").parts
            found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported_names(module: str, path: Path) -> Iterator[tuple[str, str | None]]:
    """Each import as (module, name in it); the name is None for `import module`."""
    package = module if path.stem == "__init__" else module.rpartition(".")[0]
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from ((alias.name, None) for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = node.module or ""
            if node.level:
                above = package.split(".")[: len(package.split(".")) - node.level + 1]
                base = ".".join([*above, *([base] if base else [])])
            yield from ((base, alias.name) for alias in node.names)


def import_graph(files: Mapping[str, Path]) -> dict[str, set[str]]:
    """Which of the modules each module imports, at its top, in a function or for type checking alone."""
    graph = {}
    for module, path in files.items():
        imported = set()
        for base, name in imported_names(module, path):
            submodule = f"{base}.{name}"
            imported.add(submodule if submodule in files else base)
        graph[module] = (imported & set(files)) - {module}
    return graph


def find_cycle(graph: Mapping[str, set[str]]) -> list[str]:
    """The modules of one import cycle, the first one again at the end; empty where there is none."""
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        cycle: list[str] = error.args[1]
        return cycle
    return []


def test_no_modules_import_one_another() -> None:
    """Failure prevented: a module can be neither read nor tested without another that needs it.

    Imports in functions and under `TYPE_CHECKING` count as any other.
    """
    graph = import_graph(module_files(ROOT))
    assert len(graph) > 200  # the script has found the packages
    assert find_cycle(graph) == []


def test_the_node_imports_nothing_of_the_workbench() -> None:
    """Failure prevented: a node's installation needs the workbench's dependencies."""
    graph = import_graph(module_files(ROOT))
    wrong = [
        (module, imported)
        for module, modules in graph.items()
        for imported in modules
        if module.startswith("balancer") and imported.startswith("workbench")
    ]
    assert wrong == []


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
def test_a_cycle_is_found_however_it_is_imported(tmp_path: Path, imports: str) -> None:
    folder = tmp_path / "workbench"
    folder.mkdir()
    (folder / "__init__.py").write_text("")
    (folder / "one.py").write_text(imports)
    (folder / "two.py").write_text("import workbench.one")
    cycle = find_cycle(import_graph(module_files(tmp_path)))
    assert set(cycle) == {"workbench.one", "workbench.two"}
