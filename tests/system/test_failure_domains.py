"""Requests stay in the failure domain of their entry while its servers suffice."""

from __future__ import annotations

import asyncio

from ..local_system import LocalSystem, wait_until


async def _start(start_system, far_cost_s: float) -> LocalSystem:
    """Start an entry in ``north``, with a server there and two in ``south``."""
    system = await start_system(entries=1)
    await system.change_configuration({"services.shop.far_cost_s": far_cost_s})
    await system.add_plain_service("near", domain="north")
    await system.add_plain_service("far-0", domain="south")
    await system.add_plain_service("far-1", domain="south")
    await system.wait_until_usable(["near", "far-0", "far-1"])
    entry = system.entries[0]
    await wait_until(lambda: entry.context.far_cost_s("shop") == far_cost_s)
    return system


def _runs(system: LocalSystem) -> list[int]:
    return [sum(each.executions.values()) for each in system.plain_services]


def _attempts(system: LocalSystem, path: str) -> float:
    metrics = system.entries[0].context.metrics
    return metrics.domain_attempts.labels("shop", path)._value.get()


async def _send_many(system: LocalSystem, name: str, count: int) -> None:
    answers = await asyncio.gather(
        *(system.get(0, f"/shop/{name}-{number}") for number in range(count))
    )
    assert {answer[0] for answer in answers} == {200}


async def test_requests_stay_near_unless_that_takes_longer(start_system):
    # Also a hedge is not worth the path within this time.
    system = await _start(start_system, 4.0)
    for number in range(30):
        assert (await system.get(0, f"/shop/{number}"))[0] == 200
    assert _runs(system) == [30, 0, 0]
    assert (_attempts(system, "near"), _attempts(system, "far")) == (30, 0)


async def test_requests_leave_once_no_server_is_left_near(start_system):
    system = await _start(start_system, 5.0)
    near = system.plain_services[0]
    await near.announce_leaving()
    server = system.entries[0].context.directory.servers["near"]
    await wait_until(lambda: not server.is_usable)
    await _send_many(system, "request", 10)
    assert _runs(system)[0] == 0
    assert _attempts(system, "far") == 10


# Guards against callers that queue at home while servers elsewhere are free.
async def test_requests_leave_while_the_server_near_is_full(start_system):
    system = await _start(start_system, 0.02)
    for plain in system.plain_services:
        plain.processing_s = 0.1
    for number in range(3):
        await system.get(0, f"/shop/first-{number}")
    for number in range(30):
        await _send_many(system, f"wave-{number}", 20)
        if sum(_runs(system)[1:]):
            break
    assert _attempts(system, "far") > 0
