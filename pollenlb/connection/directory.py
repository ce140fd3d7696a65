"""The backend servers that an entry is connected to."""

from __future__ import annotations

import asyncio

import aiohttp

from ..durable.configuration_commands import Announcement
from ..events import EventLog
from ..ids import BackendServerName, ModelName, ServiceName, WeightVersion
from ..settings.entry import EntrySettings
from .backend import AskServer, BackendServer
from .control_api import DirectoryView


class BackendDirectory:
    """Follows the replicated directory and probes each backend server.

    Parameters
    ----------
    settings : EntrySettings
        Probe interval and time of use.
    session : aiohttp.ClientSession
        Connections to backend servers.
    events : EventLog
        Gets changes of state.
    ask : callable
        Sends a probe to a backend server.
    """

    def __init__(
        self,
        settings: EntrySettings,
        session: aiohttp.ClientSession,
        events: EventLog,
        ask: AskServer,
    ) -> None:
        self._ask = ask
        self._settings = settings
        self._session = session
        self._events = events
        self._version = -1
        self._servers: dict[BackendServerName, BackendServer] = {}
        self._releases: dict[ModelName, WeightVersion] = {}
        self._stopping: set[asyncio.Task] = set()

    @property
    def version(self) -> int:
        """Version of the directory that was applied last."""
        return self._version

    @property
    def servers(self) -> dict[BackendServerName, BackendServer]:
        """Known backend servers by name."""
        return self._servers

    @property
    def releases(self) -> dict[ModelName, WeightVersion]:
        """Weight version by model that backend servers should have."""
        return self._releases

    def apply(self, view: DirectoryView) -> None:
        """Connect to new backend servers and drop those that are gone."""
        self._version = view.version
        self._releases = view.releases
        announced = {each.server: each for each in view.servers}
        for name in [each for each in self._servers if each not in announced]:
            self._stop(self._servers.pop(name))
        for name, announcement in announced.items():
            known = self._servers.get(name)
            if known is not None and _is_same_place(known, announcement):
                known.update(announcement)
                continue
            if known is not None:
                self._stop(known)
            server = BackendServer(
                announcement, self._settings, self._session, self._events, self._ask
            )
            server.start()
            self._servers[name] = server

    def usable(self, service: ServiceName) -> list[BackendServer]:
        """Return the backend servers of a service that may get new work.

        When none is likely to answer, all that may still get work are tried.
        """
        servers = self.serving(service)
        return [each for each in servers if each.is_usable] or servers

    def serving(self, service: ServiceName) -> list[BackendServer]:
        """Return the backend servers of a service that may get work at all."""
        return [
            server
            for server in self._servers.values()
            if server.announcement.service == service and server.may_get_work
        ]

    async def close(self) -> None:
        """Stop all probes."""
        for server in self._servers.values():
            self._stop(server)
        await asyncio.gather(*self._stopping, return_exceptions=True)

    def _stop(self, server: BackendServer) -> None:
        task = asyncio.get_running_loop().create_task(server.stop())
        self._stopping.add(task)
        task.add_done_callback(self._stopping.discard)


def _is_same_place(server: BackendServer, announcement: Announcement) -> bool:
    known = server.announcement
    is_same_start = known.started_at_ms == announcement.started_at_ms
    return is_same_start and (known.address, known.service) == (
        announcement.address,
        announcement.service,
    )
