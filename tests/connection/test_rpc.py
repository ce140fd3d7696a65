"""Calls whose channel is closed or opened again while they are in flight."""

from __future__ import annotations

import asyncio

import msgspec
from result import Err, Ok

from pollenlb.clock import now
from pollenlb.connection.rpc import (
    _CLOSE_GRACE_S,
    Method,
    RpcChannel,
    RpcServer,
)
from pollenlb.events import EventLog

from ..local_system import free_ports


class Question(msgspec.Struct):
    """Request and answer type of the test method."""

    text: str


_TIMEOUT_S = 0.2
_PROCESSING_TIME_S = 0.5
ASK = Method("test.Service", "Ask", Question, Question)


async def _serve(handler) -> tuple[RpcServer, RpcChannel]:
    (port,) = free_ports(1)
    address = f"127.0.0.1:{port}"
    events = EventLog("test", None)
    server = RpcServer(address, events)
    server.register(ASK, handler)
    await server.start()
    return server, RpcChannel(address, events)


async def test_call_in_flight_returns_err_when_its_channel_closes():
    started = asyncio.Event()

    async def never_answer(request: Question) -> Question:
        started.set()
        await asyncio.Event().wait()
        return request

    server, channel = await _serve(never_answer)
    call = asyncio.create_task(channel.call(ASK, Question("?"), 30))
    await started.wait()
    await channel.close()
    assert isinstance(await call, Err)
    await server.stop(0)


async def test_timeout_of_one_call_does_not_wait_for_other_calls():
    async def never_answer(request: Question) -> Question:
        await asyncio.Event().wait()
        return request

    server, channel = await _serve(never_answer)
    long_call = asyncio.create_task(channel.call(ASK, Question("long"), 30))
    started_at = now()
    await channel.call(ASK, Question("?"), _TIMEOUT_S)
    elapsed_s = now() - started_at
    await channel.close()
    await long_call
    await server.stop(0)
    assert elapsed_s < _TIMEOUT_S + _PROCESSING_TIME_S


async def test_late_timeout_does_not_close_the_connection_opened_since():
    release = asyncio.Event()
    received = asyncio.Event()

    async def wait_for_release(request: Question) -> Question:
        if request.text == "new":
            received.set()
        await release.wait()
        return request

    server, channel = await _serve(wait_for_release)
    late = asyncio.create_task(channel.call(ASK, Question("late"), 2 * _TIMEOUT_S))
    await channel.call(ASK, Question("early"), _TIMEOUT_S)
    new = asyncio.create_task(channel.call(ASK, Question("new"), 30))
    await received.wait()
    await late
    # After this pause a connection that was wrongly closed has been cut off.
    await asyncio.sleep(_CLOSE_GRACE_S + _PROCESSING_TIME_S)
    release.set()
    answer = await new
    await channel.close()
    await server.stop(0)
    assert answer == Ok(Question("new"))


async def test_timeout_of_one_call_does_not_break_other_calls_on_the_channel():
    # A call that times out makes the channel reconnect. Calls in flight on the
    # old connection must still end, and new calls must succeed.
    release = asyncio.Event()

    async def wait_if_asked(request: Question) -> Question:
        if request.text == "wait":
            await release.wait()
        return request

    server, channel = await _serve(wait_if_asked)
    long_call = asyncio.create_task(channel.call(ASK, Question("wait"), 30))
    timed_out = await channel.call(ASK, Question("wait"), 0.2)
    assert isinstance(timed_out, Err)
    assert await channel.call(ASK, Question("go"), 5) == Ok(Question("go"))
    release.set()
    assert isinstance(await long_call, (Ok, Err))
    await channel.close()
    await server.stop(0)
