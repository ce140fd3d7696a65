"""HTTP server of an entry or control process."""

from __future__ import annotations

from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

# Connections that the kernel queues until they are accepted.
_LISTEN_BACKLOG_COUNT = 1024


class HttpServer:
    """Serves an application on one address.

    Parameters
    ----------
    application : web.Application
        Application to serve.
    listen : str
        Address to listen on, as ``IP:PORT``.
    **options
        Further options of ``aiohttp.web.AppRunner``.
    """

    def __init__(
        self, application: web.Application, listen: str, **options: Any
    ) -> None:
        self._listen = listen
        self._runner = web.AppRunner(
            application, access_log=None, handle_signals=False, **options
        )

    @property
    def connections(self) -> list[RequestHandler]:
        """Open connections."""
        return self._runner.server.connections if self._runner.server else []

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            When the address cannot be bound.
        """
        await self._runner.setup()
        host, _, port = self._listen.rpartition(":")
        site = web.TCPSite(
            self._runner, host.strip("[]"), int(port), backlog=_LISTEN_BACKLOG_COUNT
        )
        await site.start()

    async def stop_listening(self) -> None:
        """Accept no new connections; open ones stay open."""
        for site in list(self._runner.sites):
            await site.stop()

    async def stop(self) -> None:
        """Let requests in flight finish within the runner's timeout, then close."""
        await self._runner.cleanup()
