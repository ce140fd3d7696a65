"""Late copies of answers are believed in nothing, whatever they say."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import aiohttp
import pytest

from fakes.late_copies import LateCopies
from pollenlb.connection.backend_api import ProcessCheck
from pollenlb.platform.dialect import PlatformDialect
from pollenlb.platform.orders import PlatformOrderChannel
from pollenlb.scheduling.swap_plan import SwapMode
from pollenlb.version.order_channel import OrderOutcome, SwapOrder

from ..local_system import wait_until
from .platform_system import MODEL, configuration

_ROUNDS = 12
_AT_ONCE = 6
_NOT_RUN = (408, 421, 429, 503)
# A server that is left ends the work on a request within this time.
_LEFT_S = 0.4


async def _start(platform_system, kind: str, seed: int):
    system = await platform_system(engines=3, entries=1)
    changed = configuration(2)
    changed["routes"][1] |= {"kind": kind, "max_attempts": 3, "timeout_ms": 5000}
    await system.call_control("POST", "/-/Config.Replace", changed)
    (entry,) = system.entries
    await wait_until(lambda: entry.context.configuration.revision >= 2)
    runs: Counter = Counter()
    running: Counter = Counter()
    copies = []
    for number, engine in enumerate(system.engines):
        rng = random.Random(f"{seed}-{number}")
        copies.append(LateCopies(rng, runs, running))
        engine.floods["/safe/"] = copies[-1]
    return system, copies, runs, running


async def _call(system, request: str) -> tuple[int, bytes, str]:
    """Return status, body and proof of an answer; status 0 if it broke off."""
    try:
        status, body, headers = await system.call_entry(
            "POST", 0, "/safe/1", b"x", X_Request_Id=request, X_Deadline_Ms="4000"
        )
    except aiohttp.ClientError:
        return 0, b"", ""
    return status, body, headers.get("X-Server-Stamp", "")


# Guards against refusals, limits and loads that are taken from late copies: the request
# would be told not to have run, or would run at two servers.
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("seed", range(3))
async def test_late_copies_say_nothing_of_later_requests(platform_system, kind, seed):
    system, copies, runs, running = await _start(platform_system, kind, seed)
    told = {}
    for turn in range(_ROUNDS):
        names = [f"r-{turn}-{number}" for number in range(_AT_ONCE)]
        answers = await asyncio.gather(*(_call(system, name) for name in names))
        for name, (status, body, proof) in zip(names, answers):
            told[name] = status
            if proof:
                assert (proof, body) == (name, f"{status} for {name}".encode())
        await asyncio.sleep(_LEFT_S)
        assert not +running, "requests still run that were given up"
    servers = system.entries[0].context.directory.servers.values()
    assert not any(server.is_leaving for server in servers)
    assert all(server.request_limit.limit_per_s is None for server in servers)
    # Requests that must not run twice get connections of their own.
    assert kind == "unsafe" or sum(each.copies_sent for each in copies)
    refused = [name for name, status in told.items() if status in _NOT_RUN]
    if kind == "unsafe":
        assert not [name for name in refused if runs[name]]
        assert max(runs.values()) == 1


class _Copy:
    """Sends a late copy of an answer to some request, then closes nothing."""

    def __init__(self, status: int) -> None:
        self._status = status

    async def answer(self, request):
        """Write the copy in place of the answer."""
        head = f"HTTP/1.1 {self._status} Copy\r\nX-Request-Id: earlier\r\n"
        content = head + "X-Instance-Id: i-0\r\nContent-Length: 0\r\n\r\n"
        request.transport.write(content.encode())
        await asyncio.Event().wait()


# Guards against an order taken for accepted, a process for confirmed or a server for
# leaving, after the copy of an answer.
@pytest.mark.parametrize("status", [200, 202, 409, 421, 503])
async def test_calls_without_an_id_ignore_answers_to_requests(platform_system, status):
    system = await platform_system(engines=1, entries=1)
    (engine,) = system.engines
    (server,) = system.entries[0].context.directory.servers.values()
    for path in ("/-/report", "/-/order", "/healthz"):
        engine.floods[path] = _Copy(status)
    announcement, dialect = server.announcement, PlatformDialect()
    channel = PlatformOrderChannel()
    async with aiohttp.ClientSession() as session:
        check = await dialect.check_process(session, announcement, 0.5)
        probed = await dialect.probe(session, announcement, "/healthz", 0.5)
        report = await channel.fetch_report(session, announcement)
        order = SwapOrder(
            server=announcement,
            model=MODEL,
            version=2,
            mode=SwapMode.WAIT,
            holder="store-0",
            term=1,
            fencing=1,
            expected_orders=0,
            lifetime_s=1.0,
        )
        outcome = await channel.send_order(session, order)
    assert check is ProcessCheck.SILENT
    assert (probed, report, outcome) == (None, None, OrderOutcome.UNKNOWN)
