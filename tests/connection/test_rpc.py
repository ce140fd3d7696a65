"""Calls between processes when the connection ends under them."""

from __future__ import annotations

import asyncio

import msgspec
from result import Err, Ok

from pollenlb.connection.rpc import Method, RpcChannel, RpcServer
from pollenlb.events import EventLog

from ..local_system import free_ports


class Question(msgspec.Struct):
    """A message for tests."""

    text: str


ASK = Method("test.Service", "Ask", Question, Question)


async def _serve(handler) -> tuple[RpcServer, RpcChannel]:
    (port,) = free_ports(1)
    address = f"127.0.0.1:{port}"
    events = EventLog("test", None)
    server = RpcServer(address, events)
    server.offer(ASK, handler)
    await server.start()
    return server, RpcChannel(address, events)


async def test_a_call_in_flight_fails_when_its_channel_closes():
    started = asyncio.Event()

    async def never(request: Question) -> Question:
        started.set()
        await asyncio.Event().wait()
        return request

    server, channel = await _serve(never)
    call = asyncio.create_task(channel.call(ASK, Question("?"), 30))
    await started.wait()
    await channel.close()
    assert isinstance(await call, Err)
    await server.stop(0)


async def test_a_late_answer_does_not_end_other_calls_on_the_channel():
    release = asyncio.Event()

    async def wait_if_asked(request: Question) -> Question:
        if request.text == "wait":
            await release.wait()
        return request

    server, channel = await _serve(wait_if_asked)
    patient = asyncio.create_task(channel.call(ASK, Question("wait"), 30))
    hasty = await channel.call(ASK, Question("wait"), 0.2)
    assert isinstance(hasty, Err)
    assert await channel.call(ASK, Question("go"), 5) == Ok(Question("go"))
    release.set()
    assert isinstance(await patient, (Ok, Err))
    await channel.close()
    await server.stop(0)
