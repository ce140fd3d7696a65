"""Connections to servers are reused while they are sound, and counted."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from fakes.ports import free_ports
from pollenlb.connection import pool
from pollenlb.connection.pool import ConnectionTable, OpeningReason, idle_limit_s
from pollenlb.connection.sessions import (
    SendTracker,
    idle_connections,
    open_session,
    open_single_use_session,
)


class _System:
    """A server that counts its connections, and sessions of one entry."""

    def __init__(self) -> None:
        (port,) = free_ports(1)
        self.address = f"127.0.0.1:{port}"
        self.uses: list[OpeningReason | None] = []
        self.headers: dict[str, str] = {}
        self.transports: list = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        table = ConnectionTable(lambda service, reason: self.uses.append(reason))
        self.pooled = open_session(True, table=table)
        self.single_use = open_single_use_session(
            self.pooled, 8190, OpeningReason.SINGLE_USE
        )

    async def handle(self, request: web.Request) -> web.Response:
        if request.transport not in self.transports:
            self.transports.append(request.transport)
        await self.may_answer.wait()
        return web.Response(text="x", headers=self.headers)

    async def send(self, session) -> None:
        tracker = SendTracker("shop")
        url = f"http://{self.address}/"
        async with session.get(url, trace_request_ctx=tracker) as response:
            await response.read()

    @property
    def idle(self) -> int:
        return idle_connections(self.pooled, self.address)


@pytest.fixture
async def system() -> AsyncIterator[_System]:
    """Start the server; stop it and close the sessions after the test."""
    created = _System()
    application = web.Application()
    application.router.add_get("/", created.handle)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", int(created.address.split(":")[1])).start()
    yield created
    await created.pooled.close()
    await created.single_use.close()
    await runner.cleanup()


@pytest.mark.parametrize(
    "header, limit_s",
    [
        (None, 15),
        ("max=3", 15),
        ("timeout=1", 0.8),
        ("timeout=5, max=100", 4),
        ("max=2, Timeout = 60", 59),
        ("timeout=90000", 300),
        ("timeout=0", 0),
    ],
)
def test_idle_time_ends_before_the_stated_timeout(header, limit_s):
    assert idle_limit_s(header) == pytest.approx(limit_s)


# Guards against a new connection for each request.
async def test_requests_one_after_another_use_one_connection(system):
    assert system.idle == 0
    for _ in range(3):
        await system.send(system.pooled)
        assert system.idle == 1
    assert system.uses == [OpeningReason.FIRST, None, None]
    assert len(system.transports) == 1


async def test_concurrent_requests_open_connections(system):
    system.may_answer.clear()
    calls = [asyncio.create_task(system.send(system.pooled)) for _ in range(2)]
    while len(system.transports) < 2:
        await asyncio.sleep(0.01)
    assert system.idle == 0
    system.may_answer.set()
    await asyncio.gather(*calls)
    assert system.idle == 2
    await system.send(system.pooled)
    assert system.uses[1:] == [OpeningReason.NONE_IDLE, None]


# Guards against a request on a connection that the server is about to close.
async def test_idle_connection_is_closed_before_the_stated_timeout(system):
    system.headers = {"Keep-Alive": "timeout=1"}
    await system.send(system.pooled)
    await asyncio.sleep(0.6)
    assert system.idle == 1
    await system.send(system.pooled)
    await asyncio.sleep(0.6)
    assert system.idle == 1
    await asyncio.sleep(0.3)
    assert system.idle == 0
    await system.send(system.pooled)
    assert system.uses == [OpeningReason.FIRST, None, OpeningReason.IDLE_EXPIRED]


@pytest.mark.parametrize("is_announced", [True, False])
async def test_connection_that_the_server_closes_is_not_used(system, is_announced):
    system.headers = {"Connection": "close"} if is_announced else {}
    await system.send(system.pooled)
    system.transports[0].close()
    await asyncio.sleep(0.05)
    assert system.idle == 0
    await system.send(system.pooled)
    assert system.uses == [OpeningReason.FIRST, OpeningReason.CLOSED_BY_SERVER]


async def test_abandoned_answer_closes_its_connection(system):
    system.may_answer.clear()
    call = asyncio.create_task(system.send(system.pooled))
    while not system.transports:
        await asyncio.sleep(0.01)
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    system.may_answer.set()
    await system.send(system.pooled)
    assert system.uses == [OpeningReason.FIRST, OpeningReason.ABANDONED]


# Guards against a request that must not run twice on an idle connection, whose loss
# would leave its outcome unknown.
async def test_single_use_session_never_reuses_a_connection(system):
    await system.send(system.pooled)
    for _ in range(3):
        await system.send(system.single_use)
    assert system.uses[1:] == [OpeningReason.SINGLE_USE] * 3
    assert len(system.transports) == 4


# Guards against connections that pile up at a server, which accepts a limited number.
async def test_connection_after_single_use_is_left_to_the_pool_if_it_has_none(system):
    for _ in range(3):
        await system.send(system.single_use)
        assert system.idle == 1
    await system.send(system.pooled)
    assert system.uses[-1] is None
    await asyncio.sleep(0.05)
    assert sum(not each.is_closing() for each in system.transports) == 1


class _Ended:
    end = OpeningReason.IDLE_EXPIRED


# Guards against memory that grows with each server that ever had an address.
def test_closed_connections_are_removed_without_a_further_request(monkeypatch):
    monkeypatch.setattr(pool, "_MAX_ADDRESS_COUNT", 2)
    table = ConnectionTable()
    for number in range(20):
        table.add(f"host:{number}", _Ended())
    assert len(table._open) <= 2 and len(table._ends) <= 2


def test_ends_are_remembered_for_a_bounded_number_of_addresses(monkeypatch):
    monkeypatch.setattr(pool, "_MAX_ADDRESS_COUNT", 2)
    table = ConnectionTable()
    for number in range(4):
        table.add(f"host:{number}", _Ended())
        assert table.opening_reason(f"host:{number}") is OpeningReason.IDLE_EXPIRED
    assert table.opening_reason("host:0") is OpeningReason.FIRST
