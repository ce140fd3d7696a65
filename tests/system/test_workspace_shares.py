"""Workspaces that together send more than the servers of a service can take."""

from __future__ import annotations

import asyncio
from collections import Counter

from pollenlb.clock import now
from pollenlb.settings.cluster import digest_key

from ..local_system import LocalSystem, wait_until

_PROCESSING_S = 0.1
# The entry has at most this many requests at the server while it is loaded.
_CONCURRENT = 16


async def _start(start_system, workspaces: dict[str, dict], **route) -> LocalSystem:
    system = await start_system(entries=1, plain_services=1)
    system.plain_services[0].processing_s = _PROCESSING_S
    changes = {f"routes.shop.{name}": value for name, value in route.items()}
    for name, options in workspaces.items():
        changes[f"workspaces.{name}.key_digests"] = [digest_key(f"key-{name}")]
        for option, value in options.items():
            changes[f"workspaces.{name}.{option}"] = value
    await system.change_configuration({**changes, "requires_keys": True})
    await wait_until(
        lambda: system.entries[0].context.configuration.settings.requires_keys
    )
    return system


async def _get(system: LocalSystem, workspace: str, number: int = 0) -> tuple:
    """Return status, Retry-After and duration in seconds of a request."""
    headers = {"Authorization": f"Bearer key-{workspace}"}
    started_at = now()
    url = system.url(0, f"/shop/{workspace}/{number}")
    async with system.session.get(url, headers=headers) as response:
        await response.read()
        return response.status, response.headers.get("Retry-After"), now() - started_at


async def _keep_sending(system: LocalSystem, workspace: str, statuses: Counter) -> None:
    number = 0
    while True:
        number += 1
        status, _, _ = await _get(system, workspace, number)
        statuses[status] += 1
        if status != 200:
            await asyncio.sleep(_PROCESSING_S)


async def test_flood_of_one_workspace_leaves_another_its_share(start_system):
    """Guards against a workspace whose queue all others wait for."""
    system = await _start(start_system, {"many": {}, "few": {}})
    flood: Counter[int] = Counter()
    tasks = [
        asyncio.create_task(_keep_sending(system, "many", flood))
        for _ in range(6 * _CONCURRENT)
    ]
    try:
        await asyncio.sleep(1.0)
        answers = [await _get(system, "few", number) for number in range(20)]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    assert [status for status, _, _ in answers].count(200) >= 19
    assert flood[200] > 0


async def test_refused_request_waits_no_longer_than_a_quarter_of_its_target(
    start_system,
):
    """Guards against long waits that end in a refusal without a time to come back."""
    target_s = 1.0
    system = await _start(
        start_system, {"many": {}}, target_latency_s=target_s, timeout_s=20.0
    )
    system.plain_services[0].may_answer.clear()
    running = [
        asyncio.create_task(_get(system, "many", number))
        for number in range(4 * _CONCURRENT)
    ]
    await asyncio.sleep(0.6)
    refused = [task.result() for task in running if task.done()]
    assert len(refused) >= 2 * _CONCURRENT
    for status, retry_after, seconds in refused:
        assert status == 503 and float(retry_after) > 0
        # The sum of the allowed wait and of what the event loop needs.
        assert seconds < 0.25 * target_s + 0.2
    system.plain_services[0].may_answer.set()
    answers = await asyncio.gather(*running)
    assert sum(status == 200 for status, _, _ in answers) >= 1


async def test_urgent_workspace_is_served_first(start_system):
    """Guards against less urgent work at the cost of more urgent work."""
    system = await _start(
        start_system, {"many": {"priority": 8}, "urgent": {"priority": 1}}
    )
    flood: Counter[int] = Counter()
    tasks = [
        asyncio.create_task(_keep_sending(system, "many", flood))
        for _ in range(6 * _CONCURRENT)
    ]
    try:
        await asyncio.sleep(1.0)
        answers = await asyncio.gather(
            *(_get(system, "urgent", number) for number in range(8))
        )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    assert [status for status, _, _ in answers] == [200] * 8


async def test_without_keys_no_request_waits_for_a_turn(start_system):
    """Guards against a changed order where no workspaces are configured."""
    system = await start_system(entries=1, plain_services=1)
    assert (await system.get(0, "/shop/1"))[0] == 200
    assert not system.entries[0].context.caller_queues
