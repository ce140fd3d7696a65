"""The backend servers that an entry process knows."""

from __future__ import annotations

import asyncio

import aiohttp

from ..addresses import parse_address
from ..clock import Deadline, now
from ..durable.configuration_commands import Announcement
from ..events import EventLog
from ..ids import (
    Address,
    BackendServerName,
    BootId,
    ModelName,
    ServiceName,
    SoftwareVersion,
    WeightVersion,
)
from ..scheduling.reachability import Reachability
from ..settings.entry import EntrySettings
from .backend import BackendServer, SendProbe, ServerObserver
from .control_api import DirectoryView, LimitGrant, LimitReport
from .request_limit import LimitShares

# A process that is listed again after it left is found among this many.
_MAX_LEFT_BOOT_COUNT = 4096


class BackendDirectory:
    """The entry's copy of the replicated directory of backend servers.

    Probes each backend server in it.

    Parameters
    ----------
    settings : EntrySettings
        Probe interval, and how long an answer keeps a server usable.
    session : aiohttp.ClientSession
        Connections to backend servers.
    events : EventLog
        Receives an event for each change of a backend server's state.
    send_probe : callable
        Sends a probe to a backend server.
    observer : ServerObserver or None
        Receives what is observed of backend servers.
    reachability : Reachability or None
        Learns which backend servers this entry reaches.
    """

    def __init__(
        self,
        settings: EntrySettings,
        session: aiohttp.ClientSession,
        events: EventLog,
        send_probe: SendProbe,
        observer: ServerObserver | None = None,
        reachability: Reachability | None = None,
    ) -> None:
        self._observer = observer
        self._reachability = reachability
        self._send_probe = send_probe
        self._settings = settings
        self._session = session
        self._events = events
        self._limit_shares = LimitShares()
        self._version = -1
        self._servers: dict[BackendServerName, BackendServer] = {}
        self._releases: dict[ModelName, WeightVersion] = {}
        self._found_leaving: asyncio.Queue[Announcement] = asyncio.Queue()
        self._stop_tasks: set[asyncio.Task] = set()
        # Addresses that were logged, by server.
        self._invalid_addresses: dict[BackendServerName, Address] = {}
        # In the order in which they were removed.
        self._left_boots: dict[BootId, None] = {}

    @property
    def version(self) -> int:
        """Version of the directory that was applied last; -1 before the first."""
        return self._version

    @property
    def servers(self) -> dict[BackendServerName, BackendServer]:
        """Known backend servers by name."""
        return self._servers

    @property
    def limit_shares(self) -> LimitShares:
        """Shares of this entry of the limits that backend servers name."""
        return self._limit_shares

    @property
    def found_leaving(self) -> asyncio.Queue[Announcement]:
        """Announcements of processes that said in an answer that they leave."""
        return self._found_leaving

    @property
    def releases(self) -> dict[ModelName, WeightVersion]:
        """Released weight version by model, which backend servers should have."""
        return self._releases

    def apply(self, view: DirectoryView) -> None:
        """Start to probe new backend servers and remove those no longer listed."""
        self._version = view.version
        self._releases = view.releases
        announced = {
            announcement.server: announcement
            for announcement in view.servers
            if self._has_valid_address(announcement)
        }
        listed = {announcement.server for announcement in view.servers}
        for name in [name for name in self._invalid_addresses if name not in listed]:
            del self._invalid_addresses[name]
        for name in [name for name in self._servers if name not in announced]:
            self._schedule_stop(self._servers.pop(name))
        for name, announcement in announced.items():
            known = self._servers.get(name)
            if known is not None and _is_same_process(known, announcement):
                known.update(announcement)
                continue
            if known is not None:
                self._schedule_stop(known)
            server = BackendServer(
                announcement,
                self._settings,
                self._session,
                self._events,
                self._send_probe,
                self._limit_shares,
                self._found_leaving.put_nowait,
                self._observer,
                self._reachability,
            )
            if announcement.boot in self._left_boots:
                server.record_leaving(announcement.boot)
            server.start()
            self._servers[name] = server

    def usable_servers(
        self, service: ServiceName, software: SoftwareVersion | None = None
    ) -> list[BackendServer]:
        """Return the usable backend servers of a service.

        When none is expected to answer, return all eligible ones.

        Parameters
        ----------
        service : ServiceName
            The service.
        software : SoftwareVersion or None
            Software version that the servers must have; None for any.
        """
        servers = [
            server
            for server in self.eligible_servers(service)
            if software in (None, server.software)
        ]
        return [server for server in servers if server.is_usable] or servers

    def eligible_servers(self, service: ServiceName) -> list[BackendServer]:
        """Return the backend servers of a service that may get new work.

        They are not necessarily expected to answer.
        """
        return [
            server
            for server in self._servers.values()
            if server.announcement.service == service and server.is_eligible
        ]

    def report_limits(self) -> dict[BackendServerName, LimitReport]:
        """Return what is known of limits, for the leader that divides them."""
        reports = {}
        for name, server in self._servers.items():
            limit = server.request_limit
            if limit.is_known:
                reports[name] = LimitReport(
                    server.boot,
                    limit.limit_per_s,
                    now() - limit.observed_at,
                    limit.demand,
                    self._limit_shares.granted_per_s(name),
                )
        wanted = [name for name, report in reports.items() if report.demand]
        self._limit_shares.record_report(wanted)
        return reports

    def apply_limits(
        self,
        grants: dict[BackendServerName, LimitGrant],
        entry_count: int,
        granted_until: Deadline,
    ) -> None:
        """Apply the limits and shares in an answer of the leader.

        Parameters
        ----------
        grants : dict
            Limits with this entry's shares, by backend server.
        entry_count : int
            Number of live entries, this one included.
        granted_until : Deadline
            Deadline of the lease with which the shares were granted.
        """
        for name, grant in grants.items():
            server = self._servers.get(name)
            if server is not None:
                observed_at = now() - grant.age_s
                server.learn_request_limit(grant.boot, grant.limit_per_s, observed_at)
        granted = {name: grant.granted_per_s for name, grant in grants.items()}
        self._limit_shares.grant(granted, entry_count, granted_until)

    async def close(self) -> None:
        """Stop all probes."""
        for server in self._servers.values():
            self._schedule_stop(server)
        await asyncio.gather(*self._stop_tasks, return_exceptions=True)

    def _has_valid_address(self, announcement: Announcement) -> bool:
        """Return whether requests can be sent to the announced address.

        Control instances of earlier releases recorded addresses that cannot be read.
        """
        try:
            parse_address(announcement.address)
        except ValueError as error:
            name = announcement.server
            if self._invalid_addresses.get(name) != announcement.address:
                self._invalid_addresses[name] = announcement.address
                self._events.record("server.ignored", server=name, reason=str(error))
            return False
        self._invalid_addresses.pop(announcement.server, None)
        return True

    def _schedule_stop(self, server: BackendServer) -> None:
        if server.is_leaving:
            self._left_boots[server.boot] = None
            if len(self._left_boots) > _MAX_LEFT_BOOT_COUNT:
                del self._left_boots[next(iter(self._left_boots))]
        task = asyncio.get_running_loop().create_task(server.stop())
        self._stop_tasks.add(task)
        task.add_done_callback(self._stop_tasks.discard)


def _is_same_process(server: BackendServer, announcement: Announcement) -> bool:
    known = server.announcement
    is_same_start = known.started_at_ms == announcement.started_at_ms
    return is_same_start and (known.address, known.service) == (
        announcement.address,
        announcement.service,
    )
