"""Batch jobs of several workspaces on the same engines."""

from __future__ import annotations

from ..local_system import wait_until
from .platform_system import ROLLOUT_PATH_PREFIX, batch_job, configuration

_MANY_COUNT = 64
_FEW_COUNT = 8
_LENGTH = 20


async def test_batch_job_does_not_wait_for_that_of_another_workspace(platform_system):
    """Guards against a workspace whose items take the engines from all others."""
    system = await platform_system(entries=1, engines=1)
    changed = configuration(2)
    changed["tenants"] = [
        {"name": name, "api_keys": [f"key-{name}"]} for name in ("many", "few")
    ]
    status, _ = await system.call_control("POST", "/-/Config.Replace", changed)
    assert status == 200
    (engine,) = system.engines
    for name, count in (("many", _MANY_COUNT), ("few", _FEW_COUNT)):
        body = batch_job({f"{name}-{number}": _LENGTH for number in range(count)})
        status, _, _ = await system.call_entry(
            "POST",
            0,
            ROLLOUT_PATH_PREFIX + name,
            body,
            X_Request_Id=name,
            X_Deadline_Ms="9000",
            Authorization=f"Token key-{name}",
        )
        assert status == 202
    total = _MANY_COUNT + _FEW_COUNT
    await wait_until(lambda: len(engine.received_runs) >= total)
    tenants = [
        dict(headers)["X-Tenant"]
        for headers in engine.received_headers
        if "X-Tenant" in dict(headers)
    ]
    last = max(index for index, name in enumerate(tenants) if name == "few")
    # What runs before the batch job comes, then at most one of the others for each.
    assert last < 3 * _FEW_COUNT + 8
