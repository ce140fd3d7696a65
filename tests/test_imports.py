"""Which modules may import which."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

_PACKAGE = Path(__file__).parents[1] / "pollenlb"


def _imports() -> dict[str, set[str]]:
    """Return the modules of the package that each module imports, for types too."""
    modules = {
        ".".join(path.relative_to(_PACKAGE).with_suffix("").parts): path
        for path in _PACKAGE.rglob("*.py")
    }
    return {name: _imported(name, path, modules) for name, path in modules.items()}


def _imported(name: str, path: Path, modules: dict[str, Path]) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            parts = name.split(".")[: -node.level]
            base = ".".join(parts + (node.module.split(".") if node.module else []))
            found.add(base)
            found.update(f"{base}.{each.name}".lstrip(".") for each in node.names)
    return found & modules.keys()


def _reached(start: str, graph: dict[str, set[str]]) -> set[str]:
    found: set[str] = set()
    waiting = [start]
    while waiting:
        following = graph[waiting.pop()] - found
        found |= following
        waiting.extend(following)
    return found


@pytest.mark.parametrize("lower", ["connection", "durable", "settings"])
@pytest.mark.parametrize("upper", ["process", "request", "commands", "platform"])
def test_no_import_leads_up(lower, upper):
    wrong = {
        (name, target)
        for name, targets in _imports().items()
        for target in targets
        if name.startswith(lower + ".") and target.startswith(upper + ".")
    }
    assert not wrong


def test_nothing_outside_it_imports_the_platform():
    for name, targets in _imports().items():
        if not name.startswith("platform."):
            assert not any(each.startswith("platform") for each in targets), name


@pytest.mark.parametrize(
    "part", ["replica", "leadership", "follower", "election", "answers"]
)
def test_the_parts_of_a_replica_import_each_other_one_way(part):
    graph = _imports()
    assert f"durable.{part}" not in _reached(f"durable.{part}", graph)
