"""Answers without end, as backend servers in trouble may send them."""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

from aiohttp import web

REQUEST_ID = b"REQUEST_ID"
NUMBER = b"NUMBER"
_WRITE_BYTES = 65_536
# Leaves time for the other processes of a test, which run in the same event loop.
_WRITE_INTERVAL_S = 0.002


class Flood:
    """Sends bytes until the peer closes the connection.

    Parameters
    ----------
    start : bytes
        Sent once, from the status line on. ``REQUEST_ID`` in it stands for the id of
        the request.
    repeated : bytes
        Sent again and again after it. ``NUMBER`` in it stands for a number that
        counts from 0.
    is_chunked : bool
        Whether to send it in chunks, as ``Transfer-Encoding: chunked`` has it.

    Attributes
    ----------
    sent_bytes : int
        Number of bytes sent on all connections.
    closed : asyncio.Event
        Set once a peer has closed its connection.
    """

    def __init__(self, start: bytes, repeated: bytes, is_chunked: bool = False) -> None:
        self._start = start
        self._repeated = repeated
        self._is_chunked = is_chunked
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer a request; the connection ends with it."""
        request_id = request.headers.get(
            "Pollenlb-Request-Id", request.headers.get("X-Request-Id", "")
        )
        self._write(request, self._start.replace(REQUEST_ID, request_id.encode()))
        repeated = self._repeated.replace(REQUEST_ID, request_id.encode())
        if self._is_chunked:
            repeated = b"%x\r\n%s\r\n" % (len(repeated), repeated)
        repeat_count = max(1, _WRITE_BYTES // len(repeated))
        blocks = itertools.repeat(repeated * repeat_count)
        if NUMBER in repeated:
            numbers = itertools.count()
            blocks = (
                b"".join(
                    repeated.replace(NUMBER, b"%06d" % next(numbers))
                    for _ in range(repeat_count)
                )
                for _ in itertools.count()
            )
        try:
            for block in blocks:
                self._write(request, block)
                await request.protocol._drain_helper()
                await asyncio.sleep(_WRITE_INTERVAL_S)
        finally:
            self.closed.set()

    def _write(self, request: web.Request, data: bytes) -> None:
        if request.transport is None or request.transport.is_closing():
            raise ConnectionResetError("the peer closed the connection")
        request.transport.write(data)
        self.sent_bytes += len(data)


class RawAnswer(Protocol):
    """Answer that is written to the connection without aiohttp."""

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer a request; the connection ends with it."""


def floods_middleware(floods: dict[str, RawAnswer]):
    """Return an aiohttp middleware that answers paths with these prefixes."""

    @web.middleware
    async def answer(request: web.Request, handler) -> web.StreamResponse:
        for prefix, flood in floods.items():
            if request.path.startswith(prefix):
                return await flood.answer(request)
        return await handler(request)

    return answer
