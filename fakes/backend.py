"""What all fake backend servers share: announcing, probes, answers."""

from __future__ import annotations

import asyncio
import secrets

import aiohttp
from aiohttp import web

ANNOUNCE_PAUSE_S = 0.7


class FakeBackend:
    """A backend server that announces itself through the balancer.

    Parameters
    ----------
    name, service, failure_domain : str
        How it announces itself.
    port : int
        Port on the loopback address; 0 takes a free one.
    balancer : list of str
        Base URLs of entries or balancers, tried in turn.
    slots : int
        Requests that it runs at the same time.
    """

    def __init__(
        self,
        name: str,
        service: str,
        failure_domain: str,
        port: int,
        balancer: list[str],
        slots: int,
    ) -> None:
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.port = port
        self.announced_port: int | None = None
        self.balancer = balancer
        self.slots = slots
        self.boot = secrets.token_hex(4)
        self.state = "serving"
        self.in_flight = 0
        self.version: int | None = None
        self.application = web.Application(client_max_size=64 * 1024 * 1024)
        self.application.router.add_get("/pollenlb/probe", self.answer_probe)
        self._runner: web.AppRunner | None = None
        self._announcing: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and announce."""
        self._runner = web.AppRunner(
            self.application, access_log=None, shutdown_timeout=0.01
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]
        self._announcing = asyncio.create_task(self._announce_always())

    async def stop(self) -> None:
        """Stop at once, without a word to anybody."""
        if self._announcing is not None:
            self._announcing.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def kill(self) -> None:
        """Stop as a crash would: connections break, the port is closed."""
        assert self._runner is not None and self._runner.server is not None
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self.stop()

    async def leave(self) -> None:
        """Say that it is leaving."""
        self.state = "leaving"
        async with aiohttp.ClientSession() as session:
            await self._announce(session)

    def headers(self, request: web.Request) -> dict[str, str]:
        """Return the headers that every answer carries."""
        return {
            "Pollenlb-Request-Id": request.headers.get("Pollenlb-Request-Id", ""),
            "Pollenlb-Boot": self.boot,
            "Pollenlb-In-Flight": str(self.in_flight),
        }

    async def answer_probe(self, request: web.Request) -> web.Response:
        """Answer a probe."""
        return web.json_response(
            {
                "boot": self.boot,
                "state": self.state,
                "in_flight": self.in_flight,
                "version": self.version,
            }
        )

    async def _announce_always(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self._announce(session)
                await asyncio.sleep(ANNOUNCE_PAUSE_S)

    async def _announce(self, session: aiohttp.ClientSession) -> None:
        body = {
            "server": self.name,
            "service": self.service,
            "address": f"127.0.0.1:{self.announced_port or self.port}",
            "failure_domain": self.failure_domain,
            "boot": self.boot,
            "slots": self.slots,
            "state": self.state,
        }
        self.balancer.append(self.balancer.pop(0))
        url = self.balancer[0] + "/pollenlb/v1/announce"
        timeout = aiohttp.ClientTimeout(total=2)
        try:
            async with session.post(url, json=body, timeout=timeout):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
