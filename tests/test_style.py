"""Rules of the house style that the linter does not know."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = [
    path
    for folder in (
        "src/ibisknot",
        "src/ibisknot/platform",
        "tests",
        "examples",
        "benchmarks",
    )
    for path in sorted((ROOT / folder).glob("*.py"))
]


def _imported_names(path: pathlib.Path) -> list[str]:
    """Returns names of this package that are imported without a module."""
    modules = {p.stem for p in (ROOT / "src/ibisknot").iterdir()}
    adapter = {p.stem for p in (ROOT / "src/ibisknot/platform").iterdir()}
    found: list[str] = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module == "ibisknot":
            names = {alias.name for alias in node.names}
            found.extend(names - modules)
        elif node.module == "ibisknot.platform":
            names = {alias.name for alias in node.names}
            found.extend(names - adapter)
        elif node.module.startswith("ibisknot."):
            inside = node.module.startswith("ibisknot.gen.")
            names = {alias.name for alias in node.names}
            if not inside or names - {"ttypes", "constants"}:
                found.extend(names)
    return found


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.name)
def test_modules_are_imported_not_names(path: pathlib.Path) -> None:
    """Guards against imports that hide where a name comes from."""
    assert _imported_names(path) == []


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.name)
def test_modules_stay_small(path: pathlib.Path) -> None:
    """Guards against modules that grow beyond one job."""
    lines = path.read_text(encoding="utf-8").count("\n")
    assert lines <= 500
