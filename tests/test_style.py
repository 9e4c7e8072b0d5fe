"""Rules of the project's style that the linter does not check."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PACKAGES = [""] + [
    f".{path.parent.name}"
    for path in sorted((ROOT / "src/ibisknot").glob("*/__init__.py"))
    if path.parent.name != "gen"
]
SOURCES = [
    path
    for folder in (
        *(f"src/ibisknot{p.replace('.', '/')}" for p in PACKAGES),
        "tests",
        "examples",
        "benchmarks",
    )
    for path in sorted((ROOT / folder).glob("*.py"))
]


def _imported_names(path: pathlib.Path) -> list[str]:
    """Returns names of this package that are imported other than by module."""
    modules = {
        f"ibisknot{package}": {
            p.stem
            for p in (ROOT / "src/ibisknot" / package.lstrip(".")).iterdir()
        }
        for package in PACKAGES
    }
    imported: list[str] = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module in modules:
            names = {alias.name for alias in node.names}
            imported.extend(names - modules[node.module])
        elif node.module.startswith("ibisknot."):
            inside = node.module.startswith("ibisknot.gen.")
            names = {alias.name for alias in node.names}
            if not inside or names - {"ttypes", "constants"}:
                imported.extend(names)
    return imported


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.name)
def test_modules_are_imported_not_names(path: pathlib.Path) -> None:
    """Guards against imports that hide where a name comes from."""
    assert _imported_names(path) == []


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.name)
def test_modules_stay_small(path: pathlib.Path) -> None:
    """Guards against modules that are too long to read at once."""
    lines = path.read_text(encoding="utf-8").count("\n")
    assert lines <= 500


@pytest.mark.parametrize(
    "path",
    [
        path
        for path in SOURCES
        if path.is_relative_to(ROOT / "src")
        and path.parent.name not in ("bench", "standins")
    ],
    ids=lambda path: path.name,
)
def test_product_does_not_import_its_bench(path: pathlib.Path) -> None:
    """Guards against programs that need the bench or stand-ins to run."""
    modules = [
        node.module or ""
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.ImportFrom)
    ]
    outside = ("ibisknot.bench", "ibisknot.standins")
    assert not [name for name in modules if name.startswith(outside)]
