"""Layers of the package: which modules may import which."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from .collection import garbage_collection_paused

_PACKAGE = Path(__file__).parents[1] / "pollenlb"


def _import_graph() -> dict[str, set[str]]:
    """Return the modules that each module imports, also those for types only."""
    modules = {
        ".".join(path.relative_to(_PACKAGE).with_suffix("").parts): path
        for path in _PACKAGE.rglob("*.py")
    }
    return {
        name: _imported_modules(name, path, modules) for name, path in modules.items()
    }


def _imported_modules(name: str, path: Path, modules: dict[str, Path]) -> set[str]:
    imported = set()
    with garbage_collection_paused():
        tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.level:
            parts = name.split(".")[: -node.level]
            base = ".".join(parts + (node.module.split(".") if node.module else []))
            imported.add(base)
            imported.update(f"{base}.{alias.name}".lstrip(".") for alias in node.names)
    return imported & modules.keys()


def _transitive_imports(start: str, graph: dict[str, set[str]]) -> set[str]:
    imported: set[str] = set()
    pending = [start]
    while pending:
        new = graph[pending.pop()] - imported
        imported |= new
        pending.extend(new)
    return imported


@pytest.mark.parametrize("lower", ["connection", "durable", "scheduling", "settings"])
@pytest.mark.parametrize("upper", ["process", "request", "commands", "platform"])
def test_lower_layers_import_no_upper_layer(lower, upper):
    violations = {
        (name, target)
        for name, targets in _import_graph().items()
        for target in targets
        if name.startswith(lower + ".") and target.startswith(upper + ".")
    }
    assert not violations


def test_no_module_outside_the_platform_package_imports_it():
    for name, targets in _import_graph().items():
        if not name.startswith("platform."):
            assert not any(target.startswith("platform") for target in targets), name


@pytest.mark.parametrize(
    "part", ["replica", "leadership", "follower", "election", "rpc_handlers"]
)
def test_replica_modules_have_no_import_cycle(part):
    graph = _import_graph()
    assert f"durable.{part}" not in _transitive_imports(f"durable.{part}", graph)
