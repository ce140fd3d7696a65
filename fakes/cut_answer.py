"""Answers whose connection ends before, or as, the answer does."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable

from aiohttp import web

from .flood import REQUEST_ID

# A reset discards what the peer has not read yet.
_CUT_DELAY_S = 0.05
_LINGER_RESETS = struct.pack("ii", 1, 0)


class CutAnswer:
    """Sends bytes once and then resets or closes the connection.

    Parameters
    ----------
    content : bytes
        Sent from the status line on. ``REQUEST_ID`` in it stands for the id of the
        request.
    is_reset : bool
        Whether the connection is reset; otherwise it is closed in an orderly way.

    Attributes
    ----------
    count : int
        Number of answers sent.
    """

    def __init__(self, content: bytes, is_reset: bool) -> None:
        self._content = content
        self._is_reset = is_reset
        self.count = 0

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer a request; the connection ends with it."""
        await request.read()
        request_id = request.headers.get(
            "Pollenlb-Request-Id", request.headers.get("X-Request-Id", "")
        )
        transport = request.transport
        assert transport is not None
        transport.write(self._content.replace(REQUEST_ID, request_id.encode()))
        self.count += 1
        await asyncio.sleep(_CUT_DELAY_S)
        if self._is_reset:
            reset_connections([transport])
        else:
            transport.close()
        return web.Response()


class CrashingAnswer:
    """Sends bytes and then ends its backend server, as a crash does.

    Parameters
    ----------
    content : bytes
        Sent from the status line on. ``REQUEST_ID`` in it stands for the id of the
        request.
    kill : callable
        Coroutine function that resets the connections of the server and closes its
        port.

    Attributes
    ----------
    count : int
        Number of answers begun.
    """

    def __init__(self, content: bytes, kill: Callable[[], Awaitable[None]]) -> None:
        self._content = content
        self._kill = kill
        self.count = 0

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer a request; the server ends before the answer does."""
        await request.read()
        request_id = request.headers.get(
            "Pollenlb-Request-Id", request.headers.get("X-Request-Id", "")
        )
        transport = request.transport
        assert transport is not None
        transport.write(self._content.replace(REQUEST_ID, request_id.encode()))
        self.count += 1
        await asyncio.sleep(_CUT_DELAY_S)
        # In a task of its own, since the end of the connection cancels this one.
        asyncio.get_running_loop().create_task(self._kill())
        await asyncio.Event().wait()
        raise AssertionError("the wait has no end")


def reset_connections(transports: Iterable) -> None:
    """Reset connections, as the operating system of a crashed peer does."""
    for transport in transports:
        peer = transport.get_extra_info("socket")
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESETS)
        transport.abort()
