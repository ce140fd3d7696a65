"""Crash reports of an entry that reaches no backend server."""

from __future__ import annotations

import asyncio

from aiohttp import web

from fakes.platform_engine import PlatformEngine
from fakes.relay import LinkState
from pollenlb.ids import Fingerprint

from ..local_system import wait_until

_REQUEST_COUNT = 6


class _NoAnswer:
    """Answers nothing while a request runs."""

    def __init__(self) -> None:
        self.count = 0

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Count the request and wait until its connection is lost."""
        self.count += 1
        await asyncio.Event().wait()
        raise AssertionError("the wait has no end")


async def _lose_requests(system, cut) -> set[Fingerprint]:
    """Send requests to an entry, cut while they run; return suspects of crashes.

    The cut is given the engine that runs the most of them.
    """
    answers = [_NoAnswer() for _ in system.engines]
    for engine, answer in zip(system.engines, answers):
        engine.floods["/safe/"] = answer
    requests = [
        asyncio.create_task(
            system.call_entry(
                "POST",
                0,
                f"/safe/{number}",
                b"1",
                X_Request_Id=f"r-{number}",
                X_Deadline_Ms="1500",
            )
        )
        for number in range(_REQUEST_COUNT)
    ]
    await wait_until(lambda: sum(each.count for each in answers) >= _REQUEST_COUNT)
    busy = max(system.engines, key=lambda engine: engine.floods["/safe/"].count)
    await cut(busy)
    ends = await asyncio.gather(*requests)
    assert all(status >= 500 for status, _, _ in ends)
    return set(system.leader_machine.state.quarantine.suspects)


# Guards against requests that a cut makes suspects of a crash: an engine then runs one
# of them at a time, and the next cut may condemn them.
async def test_a_cut_from_all_engines_is_no_crash_of_any(linked_system):
    system, links = await linked_system()

    async def cut(_: PlatformEngine) -> None:
        links[0].cut(LinkState.CLOSED)

    assert await _lose_requests(system, cut) == set()


async def test_a_crash_of_one_engine_is_reported(linked_system):
    system, links = await linked_system()

    async def crash(busy: PlatformEngine) -> None:
        await busy.stop()

    assert await _lose_requests(system, crash)
