"""Base class of the fake backend servers: announcements, probes, response headers."""

from __future__ import annotations

import asyncio
import secrets

import aiohttp
from aiohttp import web

from .flood import RawAnswer, floods_middleware

ANNOUNCE_INTERVAL_S = 0.7


class FakeBackend:
    """A backend server that announces itself at the entries.

    Parameters
    ----------
    name, service, failure_domain : str
        Values that it announces.
    port : int
        Port on the loopback address; 0 lets the operating system choose one.
    announce_urls : list of str
        Base URLs of entries or balancers; announcements rotate through them.
    slots : int
        Maximum number of concurrent requests that it announces.

    Attributes
    ----------
    announced_port : int or None
        Port that it announces, such as that of a relay; None stands for ``port``.
    boot : str
        Random id of this server process, in announcements and responses.
    state : str
        State that it announces, ``serving`` or ``leaving``.
    in_flight : int
        Number of requests being processed.
    version : int or None
        Weight version that it serves; None if there is none.
    software : str
        Version of its software that it announces.
    floods : dict of str to RawAnswer
        Answers written without aiohttp, by prefix of the path.
    """

    def __init__(
        self,
        name: str,
        service: str,
        failure_domain: str,
        port: int,
        announce_urls: list[str],
        slots: int,
    ) -> None:
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.port = port
        self.announced_port: int | None = None
        self.announce_urls = announce_urls
        self.slots = slots
        self.boot = secrets.token_hex(4)
        self.state = "serving"
        self.in_flight = 0
        self.version: int | None = None
        self.software = ""
        self.floods: dict[str, RawAnswer] = {}
        self.application = web.Application(
            client_max_size=64 * 1024 * 1024,
            middlewares=[floods_middleware(self.floods)],
        )
        self.application.router.add_get("/pollenlb/probe", self.handle_probe)
        self._runner: web.AppRunner | None = None
        self._announce_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start to listen and to announce the server periodically."""
        self._runner = web.AppRunner(
            self.application, access_log=None, shutdown_timeout=0.01
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]
        self._announce_task = asyncio.create_task(self._announce_periodically())

    async def stop(self) -> None:
        """Stop at once, without announcing that the server leaves."""
        if self._announce_task is not None:
            self._announce_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def kill(self) -> None:
        """Stop as after a crash: abort all connections and close the port."""
        assert self._runner is not None and self._runner.server is not None
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self.stop()

    async def announce_leaving(self) -> None:
        """Enter the state ``leaving`` and announce it; the server keeps running."""
        self.state = "leaving"
        async with aiohttp.ClientSession() as session:
            await self._announce(session)

    def response_headers(self, request: web.Request) -> dict[str, str]:
        """Return the protocol headers of a response to a request."""
        return {
            "Pollenlb-Request-Id": request.headers.get("Pollenlb-Request-Id", ""),
            "Pollenlb-Boot": self.boot,
            "Pollenlb-In-Flight": str(self.in_flight),
        }

    async def handle_probe(self, request: web.Request) -> web.Response:
        """Return the state of the server as the response to a probe."""
        return web.json_response(
            {
                "boot": self.boot,
                "state": self.state,
                "in_flight": self.in_flight,
                "version": self.version,
            }
        )

    async def _announce_periodically(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self._announce(session)
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce(self, session: aiohttp.ClientSession) -> None:
        body = {
            "server": self.name,
            "service": self.service,
            "address": f"127.0.0.1:{self.announced_port or self.port}",
            "failure_domain": self.failure_domain,
            "boot": self.boot,
            "slots": self.slots,
            "state": self.state,
            "software": self.software,
        }
        self.announce_urls.append(self.announce_urls.pop(0))
        url = self.announce_urls[0] + "/pollenlb/v1/announce"
        timeout = aiohttp.ClientTimeout(total=2)
        try:
            async with session.post(url, json=body, timeout=timeout):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
