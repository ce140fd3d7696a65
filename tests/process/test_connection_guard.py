"""The time for a head is that of a caller who has begun to send one."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from fakes.ports import free_ports
from pollenlb.events import EventLog
from pollenlb.process.http_server import HttpServer
from pollenlb.settings.http_server import HttpServerSettings

_HEAD_TIMEOUT_S = 0.4
# Several times the time for a head, and the interval of its checks.
_LONG_S = 1.5
_TEST_TIMEOUT_S = 20.0
_HEAD = b"POST /long HTTP/1.1\r\nHost: a\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
_SIZED = _HEAD + b"Content-Length: 4\r\n\r\nbody"


class _Caller:
    """A connection of a caller to a server whose requests take long."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, *pieces: bytes) -> None:
        """Send pieces that arrive one after the other."""
        for piece in pieces:
            self._writer.write(piece)
            await asyncio.sleep(0.05)

    async def read_answer(self) -> bytes:
        """Return the body of the next answer."""
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            head = await self._reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].split()[0])
            return await self._reader.readexactly(length)

    async def wait_for_close(self) -> None:
        """Return when the server has closed the connection."""
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            try:
                assert not await self._reader.read()
            except ConnectionResetError:
                pass

    def close(self) -> None:
        self._writer.transport.abort()


@pytest.fixture
async def caller() -> AsyncIterator[_Caller]:
    """Start a server with a short time for heads, and connect to it."""

    async def handle(request: web.Request) -> web.Response:
        body = await request.read()
        await asyncio.sleep(_LONG_S)
        return web.Response(body=body)

    application = web.Application()
    application.router.add_post("/long", handle)
    (port,) = free_ports(1)
    settings = HttpServerSettings.check({"head_timeout_s": _HEAD_TIMEOUT_S}).unwrap()
    events = EventLog("test", None)
    server = HttpServer(application, f"127.0.0.1:{port}", settings, events)
    await server.start()
    connected = _Caller(*await asyncio.open_connection("127.0.0.1", port))
    yield connected
    connected.close()
    await server.stop()


@pytest.mark.parametrize(
    "pieces",
    [
        (_CHUNKED, b"0\r\n\r\n"),
        (_CHUNKED, b"0\r\n", b"\r\n"),
        (_CHUNKED, b"0\r\nX-Trailer: a\r\n", b"\r\n"),
        (_SIZED, b"\r\n"),
        (_SIZED, b"\r\n", b"\r\n"),
    ],
    ids=[
        "last-chunk",
        "last-chunk-in-parts",
        "trailers",
        "empty-line",
        "empty-lines",
    ],
)
async def test_end_of_a_body_begins_no_head(caller, pieces):
    """Guards against long requests that are cut, and connections closed after them."""
    await caller.send(*pieces)
    assert await caller.read_answer() == b"body"
    await asyncio.sleep(_LONG_S)  # idle for longer than a head may take
    await caller.send(_SIZED)
    assert await caller.read_answer() == b"body"


async def test_late_head_does_not_cut_the_request_before_it(caller):
    """Guards against the loss of a request that runs on the connection."""
    await caller.send(_SIZED, _SIZED[:20])
    assert await caller.read_answer() == b"body"
    await caller.send(_SIZED[20:])
    assert await caller.read_answer() == b"body"


@pytest.mark.parametrize(
    "pieces",
    [
        (_SIZED, _SIZED[:20]),
        (_CHUNKED, b"0\r\n\r\n", _SIZED[:20]),
        (_SIZED, b"\r\n", _SIZED[:20]),
    ],
    ids=["sized", "chunked", "empty-line"],
)
async def test_head_that_never_ends_is_closed_after_the_answer(caller, pieces):
    """Guards against an idle stranger that holds a connection with a part of a head."""
    await caller.send(*pieces)
    assert await caller.read_answer() == b"body"
    await caller.wait_for_close()
