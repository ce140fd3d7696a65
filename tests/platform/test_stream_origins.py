"""Streams that callers take up after those who know their software version restart."""

from __future__ import annotations

import asyncio
import time

import pytest

from pollenlb.clock import deadline_in, remaining_time_s

from .streams import read_events, resume, software_of, start_streaming_system

_STREAMS = 8
_SOFTWARE = ["v1", "v1", "v2", "v2"]
# Time after the last restart from which on the platform expects streams to go on.
_CONTACT_S = 3.0
# Time in which entries repeat their streams to a control instance that has restarted.
_REPEATED_S = 2.5
# Time after which control instances that started at once have learnt all streams.
_LEARNT_S = 4.5


async def _begin_streams(system, entry: int) -> dict[str, int]:
    """Begin streams at an entry; return the number of the last event of each."""
    names = [f"stream-{number}" for number in range(_STREAMS)]
    return {name: await read_events(system, entry, name, 3) for name in names}


async def _check_that_all_go_on(system, entry: int, begun: dict[str, int]) -> None:
    """Take streams up as callers do, who come back when a refusal says so."""
    refused_until = deadline_in(_CONTACT_S)
    for name, last in begun.items():
        status, attempt = 503, 0
        while status == 503 and (remaining_time_s(refused_until) or not attempt):
            attempt += 1
            again = f"again-{name}-{attempt}"
            status, body, headers = await resume(system, entry, again, name, last)
            if status == 503:
                await asyncio.sleep(float(headers["Retry-After"]))
        assert (status, body.count(b"id: ")) == (200, 3)
        assert software_of(system, again) == software_of(system, name)


# Guards against streams that nobody can take up after planned work on control.
async def test_streams_go_on_after_control_instances_restart_in_turn(platform_system):
    system = await start_streaming_system(platform_system, _SOFTWARE)
    begun = await _begin_streams(system, entry=0)
    await system.restart_controls([0, 1, 2], gap_s=1.0)
    await _check_that_all_go_on(system, 1, begun)


# Guards against control instances that only learn what entries still remember.
async def test_streams_of_a_lost_entry_go_on_after_control_restarts_in_turn(
    platform_system,
):
    system = await start_streaming_system(platform_system, _SOFTWARE)
    begun = await _begin_streams(system, entry=0)
    await system.crash_entry(0)
    await system.restart_controls([0, 1, 2], gap_s=1.0)
    await _check_that_all_go_on(system, 0, begun)


# Guards against control instances that only learn what the others remember.
async def test_streams_go_on_after_all_control_instances_restart_at_once(
    platform_system,
):
    system = await start_streaming_system(platform_system, _SOFTWARE)
    begun = await _begin_streams(system, entry=0)
    await system.restart_controls([0, 1, 2])
    await _check_that_all_go_on(system, 1, begun)


# Guards against entries that answer only for their own streams, and tell nobody.
async def test_streams_go_on_after_all_of_control_and_then_their_entry_are_lost(
    platform_system,
):
    system = await start_streaming_system(platform_system, _SOFTWARE)
    begun = await _begin_streams(system, entry=0)
    await system.restart_controls([0, 1, 2])
    await asyncio.sleep(_REPEATED_S)
    await system.crash_entry(0)
    await _check_that_all_go_on(system, 0, begun)


# Guards against a table that outlives one loss of a disk only.
async def test_streams_go_on_after_a_control_instance_lost_its_disk(platform_system):
    system = await start_streaming_system(platform_system, _SOFTWARE)
    begun = await _begin_streams(system, entry=0)
    await system.crash_entry(0)
    await system.replace_control(0)
    await asyncio.sleep(1.0)
    await system.restart_controls([1, 2], gap_s=1.0)
    await _check_that_all_go_on(system, 0, begun)


# Guards against taking the silence of control for the answer that nobody knows.
async def test_a_stream_is_refused_for_a_moment_while_control_restarts(
    platform_system,
):
    system = await start_streaming_system(platform_system, _SOFTWARE)
    last = await read_events(system, 0, "stream", 3)
    while system.controls:
        await system.controls.pop().stop()
    status, body, headers = await resume(system, 1, "soon", "stream", last)
    assert (status, software_of(system, "soon")) == (503, set())
    assert b"not known yet" in body
    assert 0.0 < float(headers["Retry-After"]) <= 2.0


@pytest.mark.parametrize("has_restarted", [False, True])
async def test_a_stream_that_nobody_began_is_refused_at_once(
    platform_system, has_restarted
):
    system = await start_streaming_system(platform_system, _SOFTWARE)
    await asyncio.sleep(_LEARNT_S)
    if has_restarted:
        await system.restart_controls([0, 1, 2], gap_s=1.0)
    started_at = time.monotonic()
    status, body, _ = await resume(system, 1, "again", "never-begun", 3)
    assert (status, software_of(system, "again")) == (503, set())
    assert b"not known" in body and b"yet" not in body
    assert time.monotonic() - started_at < 0.5
