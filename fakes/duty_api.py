"""Stand-in for the API of the infrastructure: usage reports and server orders."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web

from pollenlb.clock import now


class ApiMode(Enum):
    """How the API treats calls.

    Attributes
    ----------
    ACCEPT
        Takes the call and responds.
    LOSE_RESPONSES
        Takes the call and closes the connection without a response.
    SILENT
        Neither takes the call nor responds.
    BUSY
        Responds with status 503 without taking the call.
    NONE_AVAILABLE
        Responds with status 409 without taking the call.
    """

    ACCEPT = "accept"
    LOSE_RESPONSES = "lose-responses"
    SILENT = "silent"
    BUSY = "busy"
    NONE_AVAILABLE = "none-available"


@dataclass
class ReceivedCall:
    """A call that the API has received, taken or not.

    Attributes
    ----------
    at : float
        Monotonic time in seconds.
    """

    at: float
    path: str
    holder: str
    fencing: int
    body: dict


@dataclass
class FakeDutyApi:
    """HTTP server that records the calls of duties.

    Attributes
    ----------
    calls : list of ReceivedCall
        Calls that were taken.
    received : list of ReceivedCall
        All calls.
    """

    port: int
    mode: ApiMode = ApiMode.ACCEPT
    calls: list[ReceivedCall] = field(default_factory=list)
    received: list[ReceivedCall] = field(default_factory=list)
    _runner: web.AppRunner | None = None

    @property
    def usage(self) -> dict[int, dict[str, int]]:
        """Counts that were reported, by window."""
        return {
            call.body["window"]: call.body["counts"]
            for call in self.calls
            if call.path == "/usage"
        }

    async def start(self) -> None:
        """Listen on the port."""
        application = web.Application()
        application.router.add_post("/{path:.*}", self._handle)
        self._runner = web.AppRunner(
            application, handler_cancellation=True, shutdown_timeout=0.01
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self.port).start()

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.Request) -> web.Response:
        call = ReceivedCall(
            now(),
            request.path,
            request.headers["X-Lease-Holder"],
            int(request.headers["X-Fencing-Token"]),
            await request.json(),
        )
        self.received.append(call)
        if self.mode is ApiMode.SILENT:
            await asyncio.sleep(3600)
        if self.mode is ApiMode.BUSY:
            return web.Response(status=503)
        if self.mode is ApiMode.NONE_AVAILABLE:
            return web.Response(status=409)
        self.calls.append(call)
        if self.mode is ApiMode.LOSE_RESPONSES and request.transport is not None:
            request.transport.abort()
        return web.json_response({})
