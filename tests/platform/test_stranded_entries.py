"""Streams and plain requests at an entry whose links to all engines are cut."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from ..links import Cut, Links
from ..local_system import wait_until
from .platform_system import configuration

_EVENTS = 20
_each_cut = pytest.mark.parametrize("how", Cut)
# Cuts that leave no engine that answers over a connection opened before.
_whole_cut = pytest.mark.parametrize("how", [Cut.HUNG, Cut.REFUSED])


async def _start(platform_system, is_resumable: bool = True):
    """Start two entries and three engines; the links of entry 0 can be cut."""
    system = await platform_system(engines=0)
    changed = configuration(2)
    changed["routes"][1] |= {
        "kind": "streaming",
        "resumable": is_resumable,
        "timeout_ms": 10_000,
    }
    await system.call_control("POST", "/-/Config.Replace", changed)
    links = Links(system, system.entries[0])
    for number in range(3):
        engine = await system.add_engine(f"i-{number}")
        await links.add(engine.port)
    await system.wait_until_served()
    for number in range(6):
        status, _, _ = await _call(system, f"before-{number}")
        assert status == 200
    return system, links


async def _call(system, name: str, events: int = _EVENTS, **headers: str) -> tuple:
    return await system.call_entry(
        "POST",
        0,
        f"/safe/{name}",
        events,
        X_Request_Id=name,
        **{"X_Deadline_Ms": "8000", **headers},
    )


def _text(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: %d.1\n\n" % (each, each) for each in numbers)


def _runs(system, name: str) -> int:
    return sum(
        run_id == name
        for engine in system.engines
        for run_id, _ in engine.received_runs
    )


def _relayed(system, result: str = "answered") -> float:
    return system.entries[0].context.metrics.relayed.labels(result)._value.get()


@_each_cut
@pytest.mark.parametrize("is_resumable", [False, True])
async def test_streams_of_an_entry_without_servers_are_whole(
    platform_system, how, is_resumable
):
    system, links = await _start(platform_system, is_resumable)
    await links.cut(how)
    for number in range(4):
        name = f"stream-{number}"
        status, body, headers = await _call(system, name)
        if number or is_resumable:
            # The first one may meet a silent connection that it must wait for.
            assert (status, body) == (200, _text(*range(_EVENTS)))
            assert headers.getall("X-Request-Id") == [name]
            assert headers["X-Weight-Versions"] == "1"


@_whole_cut
async def test_stream_is_taken_up_through_another_entry(platform_system, how):
    system, links = await _start(platform_system)
    await links.cut(how)
    await _call(system, "first")
    status, body, _ = await _call(
        system, "again", Last_Event_Id="7", X_Resumes="before-0"
    )
    assert status in (200, 503)
    if status == 200:
        assert body == _text(*range(8, _EVENTS))
    assert _relayed(system)


@_whole_cut
async def test_caller_who_leaves_ends_a_relayed_run(platform_system, how):
    """Guards against engines that go on for a caller who left the first entry."""
    system, links = await _start(platform_system)
    await links.cut(how)
    await _call(system, "first")
    call = asyncio.create_task(_call(system, "left", 1_000))
    await wait_until(lambda: any("left" in each.running for each in system.engines))
    call.cancel()
    await wait_until(
        lambda: not any("left" in each.running for each in system.engines),
        timeout_s=2.0,
    )


@_whole_cut
async def test_relayed_stream_that_breaks_off_does_not_look_complete(
    platform_system, how
):
    system, links = await _start(platform_system, is_resumable=False)
    await links.cut(how)
    for number in range(2):
        await _call(system, f"first-{number}")
    for engine in system.engines:
        engine.abort_at_event = 5
    with pytest.raises(aiohttp.ClientError):
        await _call(system, "broken")
    assert _relayed(system, "cut")


@_whole_cut
async def test_engines_do_not_get_headers_between_entries(platform_system, how):
    system, links = await _start(platform_system)
    inner = {"Pollenlb_Attempts_Left": "1", "Pollenlb_Relay_Refused": "yes"}
    await _call(system, "direct", **inner)
    await links.cut(how)
    await _call(system, "first")
    assert (await _call(system, "relayed", **inner))[0] == 200
    assert _runs(system, "relayed") == 1
    for engine in system.engines:
        for headers in engine.received_headers:
            assert not [name for name, _ in headers if name.startswith("Pollenlb-")]
