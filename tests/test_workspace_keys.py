"""Tables by names that callers choose, and the workspace in their keys."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import pytest

from pollenlb.connection.control_api import FindStream, RecordStream
from pollenlb.process.stream_origin_service import StreamOriginService
from pollenlb.request.reward_call import RewardRequest
from pollenlb.request.workspace_access import scope_key

from .collection import garbage_collection_paused

_ROOT = Path(__file__).parents[1]
_CHOSEN_BY_CALLERS = {
    "BatchJobId",
    "Fingerprint",
    "GroupName",
    "ItemId",
    "JobName",
    "RequestId",
    "RequestKey",
}
_TABLES = {"dict", "defaultdict", "OrderedDict", "set"}


def _tables() -> set[str]:
    """Return the attributes that are tables by a name that callers choose."""
    package = _ROOT / "pollenlb"
    return {
        f"{path.relative_to(package)}: {attribute}"
        for path in package.rglob("*.py")
        for attribute in _tables_in(path)
    }


def _tables_in(path: Path) -> Iterator[str]:
    with garbage_collection_paused():
        tree = ast.parse(path.read_text())
    in_functions = {
        id(node)
        for function in ast.walk(tree)
        if isinstance(function, (ast.FunctionDef, ast.AsyncFunctionDef))
        for node in ast.walk(function)
    }
    for node in ast.walk(tree):
        if not isinstance(node, ast.AnnAssign):
            continue
        # Local variables end with the call.
        is_local = isinstance(node.target, ast.Name) and id(node) in in_functions
        if not is_local and _has_chosen_key(node.annotation):
            yield ast.unparse(node.target)


def _has_chosen_key(annotation: ast.expr) -> bool:
    for node in ast.walk(annotation):
        if isinstance(node, ast.Subscript) and ast.unparse(node.value) in _TABLES:
            key = (
                node.slice.elts[0] if isinstance(node.slice, ast.Tuple) else node.slice
            )
            names = {name.id for name in ast.walk(key) if isinstance(name, ast.Name)}
            if names & _CHOSEN_BY_CALLERS:
                return True
    return False


def _listed_tables() -> set[str]:
    """Return the tables in the first column of the list in the design note."""
    note = (_ROOT / "docs/design/workspaces.md").read_text()
    listed = set()
    for row in re.findall(r"^\| (`.*?) \|", note, re.MULTILINE):
        path = ""
        for name in re.findall(r"`([^`]+)`", row):
            path, _, attribute = (
                name.rpartition(": ") if ": " in name else (path, "", name)
            )
            listed.add(f"{path}: {attribute}")
    return listed


# Guards against a new table in which one workspace finds what belongs to another.
def test_each_table_by_a_name_of_callers_is_listed_with_its_key():
    assert _listed_tables() == _tables()


@pytest.mark.parametrize(
    "key, workspace, stored",
    [
        ("key", "acme", "acme/key"),
        ("key", None, "key"),
        ("acme/key", None, "/acme/key"),
        (None, "acme", None),
    ],
)
def test_idempotency_key_is_one_of_its_workspace(key, workspace, stored):
    context = SimpleNamespace(
        configuration=SimpleNamespace(settings=SimpleNamespace(requires_keys=True))
    )
    assert scope_key(key, workspace, context) == stored
    context.configuration.settings.requires_keys = False
    assert scope_key(key, None, context) == key


# Guards against a workspace that gets the reward calls of another one condemned.
def test_reward_calls_of_two_workspaces_are_told_apart():
    calls = [
        RewardRequest("id", "host", "/path", {}, b"body", workspace=workspace)
        for workspace in (None, "acme", "other")
    ]
    assert len({call.fingerprint for call in calls}) == 3


# Guards against a stream that is refused in an upgrade, as the entry that began it was
# of a release that names no workspace.
async def test_stream_that_a_former_release_recorded_is_found():
    service = StreamOriginService(
        SimpleNamespace(settings=SimpleNamespace(name="control"))
    )
    await service._record(RecordStream("former", "v1"))
    await service._record(RecordStream("of-acme", "v2", "acme"))
    asked = [
        FindStream("former", "acme"),
        FindStream("of-acme", "acme"),
        FindStream("of-acme", "other"),
        FindStream("of-acme", ""),
    ]
    found = [(await service._find(each)).software for each in asked]
    assert found == ["v1", "v2", None, None]
