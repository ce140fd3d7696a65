"""HTTP server of an entry or control process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..addresses import split_address
from ..events import EventLog
from ..settings.http_server import HttpServerSettings
from .connection_guard import ConnectionGuard, GuardedRunner

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
    settings : HttpServerSettings
        Limits for the connections.
    events : EventLog
        Receives a line for connections that are closed at a limit.
    count_closed : callable
        Counts a connection that is closed at a limit, by the reason.
    **options
        Further options of ``aiohttp.web.AppRunner``.
    """

    def __init__(
        self,
        application: web.Application,
        listen: str,
        settings: HttpServerSettings,
        events: EventLog,
        count_closed: Callable[[str], None] = lambda reason: None,
        **options: Any,
    ) -> None:
        self._listen = listen
        self._guard = ConnectionGuard(settings, events, count_closed)
        self._runner = GuardedRunner(
            application,
            self._guard,
            access_log=None,
            handle_signals=False,
            **options,
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
        host, port = split_address(self._listen)
        site = web.TCPSite(self._runner, host, port, backlog=_LISTEN_BACKLOG_COUNT)
        await site.start()
        self._guard.start()

    async def stop_listening(self) -> None:
        """Accept no new connections; open ones stay open."""
        for site in list(self._runner.sites):
            await site.stop()

    async def stop(self) -> None:
        """Let requests in flight finish within the runner's timeout, then close."""
        await self._runner.cleanup()
        self._guard.stop()
