"""Limits that backend servers name in their answers, kept by all entries together."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from fakes.platform_engine import PlatformEngine
from pollenlb.clock import now
from pollenlb.connection.request_limit import EQUAL_RATIO

from ..local_system import wait_until
from .platform_system import PlatformSystem, batch_job, configuration

# The users' rule: from _CONTACT_S after a server first named its limit, no
# _WINDOW_S may hold more than _MAX_RATIO times what it allows, and _SLACK_COUNT more.
_CONTACT_S = 3.0
_WINDOW_S = 4.0
_MAX_RATIO = 1.5
_SLACK_COUNT = 5


async def _start_streaming(platform_system, **counts) -> PlatformSystem:
    system = await platform_system(**counts)
    changed = configuration(2)
    changed["routes"][1] |= {"kind": "streaming", "resumable": True, "max_attempts": 3}
    await system.call_control("POST", "/-/Config.Replace", changed)
    await wait_until(
        lambda: all(
            entry.context.configuration.revision >= 2 for entry in system.entries
        )
    )
    return system


async def _send_stream(system: PlatformSystem, entry: int, request_id: str) -> tuple:
    return await system.call_entry(
        "POST", entry, "/safe/1", 2, X_Request_Id=request_id, X_Deadline_Ms="2000"
    )


async def _send_streams(
    system: PlatformSystem, is_ended: Callable[[], bool], interval_s: float
) -> list[tuple]:
    """Send streams to the entries in turn until a condition holds; return answers."""
    calls = []
    for number in itertools.count():
        if is_ended():
            return await asyncio.gather(*calls)
        entry = number % len(system.entries)
        calls.append(
            asyncio.create_task(_send_stream(system, entry, f"stream-{number}"))
        )
        await asyncio.sleep(interval_s)
    raise AssertionError


def _most_arrivals(engine: PlatformEngine, start: float, window_s: float) -> int:
    """Return the largest number of arrivals in a window that starts late enough."""
    times = [time for time in engine.received_at if time >= start]
    return max(
        sum(first <= time < first + window_s for time in times) for first in times
    )


async def test_entries_together_exceed_the_limit_that_a_backend_server_named(
    platform_system,
):
    system = await _start_streaming(platform_system, entries=3)
    for engine in system.engines:
        engine.request_limit_per_s = 4.0
    named_at = asyncio.get_running_loop().time()
    ends_at = named_at + _CONTACT_S + _WINDOW_S + 0.5
    for number in range(4):
        lengths = {f"item-{number}-{item}": 2 for item in range(40)}
        await system.submit(number % 3, f"job-{number}", batch_job(lengths))
    await _send_streams(system, lambda: now() >= ends_at, 0.02)
    allowed = _MAX_RATIO * 4.0 * _WINDOW_S + _SLACK_COUNT
    for engine in system.engines:
        assert _most_arrivals(engine, named_at + _CONTACT_S, _WINDOW_S) <= allowed


async def test_an_entry_without_requests_learns_of_a_limit_and_of_its_end(
    platform_system,
):
    system = await _start_streaming(platform_system, entries=2, engines=1)
    engine = system.engines[0]
    engine.request_limit_per_s = 50.0
    await _send_stream(system, 0, "first")
    await system.add_entry(2)  # a started entry has passed on no answer
    limits = [
        lambda entry=entry: entry.context.directory.servers[
            engine.name
        ].request_limit.limit_per_s
        for entry in system.entries
    ]
    await system.wait_until_served()
    await wait_until(lambda: all(limit() == 50.0 for limit in limits))
    engine.request_limit_per_s = None
    await _send_stream(system, 0, "second")
    await wait_until(lambda: all(limit() is None for limit in limits))


async def test_an_entry_out_of_contact_uses_only_its_equal_share(platform_system):
    system = await _start_streaming(platform_system, entries=2, engines=1)
    engine = system.engines[0]
    engine.request_limit_per_s = 8.0
    await _send_stream(system, 0, "first")
    limit = system.entries[0].context.directory.servers[engine.name].request_limit
    limit.record_demand()
    await wait_until(lambda: limit.share_per_s > 2.0)
    for control in system.controls:
        await control.stop()
    system.controls.clear()
    await wait_until(lambda: limit.share_per_s == 8.0 * EQUAL_RATIO / 2)


async def test_a_request_over_the_limits_of_all_servers_is_refused_at_once(
    platform_system,
):
    system = await _start_streaming(platform_system, entries=1, engines=2)
    for engine in system.engines:
        engine.request_limit_per_s = 0.0
    while (await _send_stream(system, 0, "served"))[0] == 200:
        pass
    retry_after_s = 0.0
    # A request may wait for a second, so only a longer wait is refused at once.
    while retry_after_s <= 1.0:
        started_at = now()
        status, body, headers = await _send_stream(system, 0, "stream")
        waited_s = now() - started_at
        assert status == 200 or b"limit" in body
        retry_after_s = float(headers.get("Retry-After", "0"))
    assert waited_s < 0.5


async def test_items_finish_although_all_servers_have_a_limit(platform_system):
    system = await _start_streaming(platform_system, entries=2, engines=2)
    for engine in system.engines:
        engine.request_limit_per_s = 20.0
    lengths = {f"item-{number}": 3 for number in range(30)}
    assert await system.submit(0, "job", batch_job(lengths)) == 202
    results = await system.read_all_results(1, "job")
    assert {result["state"] for result in results} == {"completed"}
