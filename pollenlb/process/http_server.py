"""An HTTP server of a process."""

from __future__ import annotations

from typing import Any

from aiohttp import web

_LISTEN_BACKLOG_COUNT = 1024


class HttpServer:
    """Serves an application at one address.

    Parameters
    ----------
    application : web.Application
        What is served.
    listen : str
        Where, as ``IP:PORT``.
    **options
        Further options of the HTTP library's runner.
    """

    def __init__(
        self, application: web.Application, listen: str, **options: Any
    ) -> None:
        self._listen = listen
        self._runner = web.AppRunner(
            application, access_log=None, handle_signals=False, **options
        )

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
        """Take no new connections; those that are open go on."""
        for site in list(self._runner.sites):
            await site.stop()

    async def stop(self) -> None:
        """Let requests in flight finish within the runner's time, then close."""
        await self._runner.cleanup()
