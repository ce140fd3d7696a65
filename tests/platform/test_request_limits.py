"""Limits that backend servers name in their answers, kept by all entries together."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from fakes.platform_engine import PlatformEngine
from pollenlb.clock import now

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
