"""The backend servers that an entry is connected to."""

from __future__ import annotations

import asyncio

import aiohttp

from ..ids import BackendServerName, ServiceName, WeightVersion
from ..process.events import EventLog
from ..settings.entry import EntrySettings
from .backend import BackendServer
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
    """

    def __init__(
        self, settings: EntrySettings, session: aiohttp.ClientSession, events: EventLog
    ) -> None:
        self._settings = settings
        self._session = session
        self._events = events
        self._version = -1
        self._servers: dict[BackendServerName, BackendServer] = {}
        self._releases: dict[ServiceName, WeightVersion] = {}
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
    def releases(self) -> dict[ServiceName, WeightVersion]:
        """Weight version by service that its backend servers should have."""
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
                announcement, self._settings, self._session, self._events
            )
            server.start()
            self._servers[name] = server

    def usable(self, service: ServiceName) -> list[BackendServer]:
        """Return the backend servers of a service that may get new work."""
        return [
            server
            for server in self._servers.values()
            if server.announcement.service == service and server.is_usable
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


def _is_same_place(server: BackendServer, announcement) -> bool:
    known = server.announcement
    return (known.address, known.service) == (
        announcement.address,
        announcement.service,
    )
