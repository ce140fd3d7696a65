"""Batch jobs of several workspaces on the same engines."""

from __future__ import annotations

import json

from fakes.platform_engine import PlatformEngine

from ..local_system import wait_until
from .platform_system import (
    ROLLOUT_PATH_PREFIX,
    PlatformSystem,
    batch_job,
    configuration,
)

_MANY_COUNT = 64
_FEW_COUNT = 8
_LENGTH = 20


async def test_batch_job_does_not_wait_for_that_of_another_workspace(platform_system):
    """Guards against a workspace whose items take the engines from all others."""
    system = await platform_system(entries=1, engines=1)
    await _configure(system, ["many", "few"])
    (engine,) = system.engines
    for name, count in (("many", _MANY_COUNT), ("few", _FEW_COUNT)):
        body = batch_job({f"{name}-{number}": _LENGTH for number in range(count)})
        await _submit(system, name, body)
    total = _MANY_COUNT + _FEW_COUNT
    await wait_until(lambda: len(engine.received_runs) >= total)
    workspaces = _workspaces_of_runs(engine)
    last = max(index for index, name in enumerate(workspaces) if name == "few")
    # What runs before the batch job comes, then at most one of the others for each.
    assert last < 3 * _FEW_COUNT + 8


# Guards against a workspace that reads the texts of another one, whose trainer chose
# the same ids and bodies for its items.
async def test_items_of_two_workspaces_are_each_generated(platform_system):
    system = await platform_system(entries=1, engines=1)
    await _configure(system, ["one", "two"])
    (engine,) = system.engines
    items = {f"item-{number}": 2 for number in range(_FEW_COUNT)}
    for name in ("one", "two"):
        await _submit(system, name, batch_job(items))
        await _read_all_results(system, name, len(items))
    workspaces = _workspaces_of_runs(engine)
    assert min(workspaces.count(name) for name in ("one", "two")) >= len(items)


async def _configure(system: PlatformSystem, workspaces: list[str]) -> None:
    changed = configuration(2)
    changed["tenants"] = [
        {"name": name, "api_keys": [f"key-{name}"]} for name in workspaces
    ]
    status, _ = await system.call_control("POST", "/-/Config.Replace", changed)
    assert status == 200


async def _submit(system: PlatformSystem, workspace: str, body: dict) -> None:
    status, _, _ = await system.call_entry(
        "POST",
        0,
        ROLLOUT_PATH_PREFIX + workspace,
        body,
        X_Request_Id=workspace,
        X_Deadline_Ms="9000",
        Authorization=f"Token key-{workspace}",
    )
    assert status == 202


def _workspaces_of_runs(engine: PlatformEngine) -> list[str]:
    """Return the workspace of each run that an engine received, in order."""
    received = [dict(headers) for headers in engine.received_headers]
    return [headers["X-Tenant"] for headers in received if "X-Tenant" in headers]


async def _read_all_results(system: PlatformSystem, name: str, count: int) -> None:
    read: list[dict] = []
    while len(read) < count:
        status, page, _ = await system.call_entry(
            "GET",
            0,
            f"/-/lots/{name}?after={len(read)}",
            Authorization=f"Token key-{name}",
            X_Wait_Ms="1000",
        )
        assert status == 200
        read += json.loads(page)["results"]
    assert all(result["state"] == "completed" for result in read)
