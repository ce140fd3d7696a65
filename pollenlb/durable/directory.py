"""Replicated directory of announced backend servers and released weight versions."""

from __future__ import annotations

import msgspec

from ..ids import BackendServerName, BootId, ModelName, ServiceName, WeightVersion
from .command_base import Done, Refused
from .commands import AnyResult
from .configuration_commands import (
    AbandonLoad,
    Announcement,
    AnnounceServer,
    AssignEngines,
    ForgetServer,
    NoteModelVersion,
    NoteOrder,
    ReleaseVersion,
    ServerState,
    VersionSuperseded,
    WithdrawServer,
)

MAX_WITHDRAWN_COUNT = 2_000  # withdrawn servers whose late announcements are refused


class OrderRecord(msgspec.Struct, frozen=True):
    """Latest order that a leader was about to send to a backend server.

    An order tells the backend server to change its weights; the fencing number
    lets it refuse an older order that arrives later.

    Attributes
    ----------
    fencing : int
        Fencing number of the order.
    at_ms : int
        Wall time of the leader, milliseconds since the epoch.
    boot : BootId
        Process that is to load the version.
    model : ModelName
        Model whose version it is to load; empty once the load was abandoned, or if
        owners of batch jobs need not know of it.
    version : WeightVersion
        Version that it is to load.
    """

    fencing: int
    at_ms: int
    boot: BootId = BootId("")
    model: ModelName = ModelName("")
    version: WeightVersion = WeightVersion(0)


class Directory(msgspec.Struct):
    """Latest announcement of each backend server, and what was released and ordered.

    Attributes
    ----------
    servers : dict
        Announcement by name of the backend server.
    withdrawn : dict
        Start time of the process of a backend server that left, in milliseconds
        since the epoch by its own clock, by name; late announcements of that
        process are refused.
    releases : dict
        Weight version that backend servers should have, by model.
    orders : dict
        Latest order by name of the backend server.
    fencing : int
        Highest fencing number of an order so far.
    assigned : dict
        Model of each engine by service, for services whose engines are not divided
        evenly among their models.
    """

    servers: dict[BackendServerName, Announcement] = {}
    withdrawn: dict[BackendServerName, int] = {}
    releases: dict[ModelName, WeightVersion] = {}
    orders: dict[BackendServerName, OrderRecord] = {}
    fencing: int = 0
    assigned: dict[ServiceName, dict[BackendServerName, ModelName]] = {}

    def announce(self, command: AnnounceServer) -> AnyResult:
        """Add or replace an announcement, unless a newer one is known.

        A server that started later at the same address replaces the one that was
        registered there. A server that has announced that it leaves stays marked as
        leaving until its process is started again.
        """
        announcement = command.announcement
        known = self.servers.get(announcement.server)
        if known is not None and _is_newer(known, announcement):
            return Refused(
                f"cannot announce {known.server}: a newer announcement is registered"
            )
        if self._is_withdrawn(announcement):
            return Refused(
                f"cannot announce {announcement.server}: its process has left"
            )
        for other in self._others_at_address(announcement):
            if other.started_at_ms > announcement.started_at_ms:
                return Refused(
                    f"cannot announce {announcement.server} at {other.address}: "
                    f"{other.server} was started there later"
                )
            self._remove(other)
        if known is not None and _is_known_leaving(known, announcement):
            announcement = msgspec.structs.replace(
                announcement, state=ServerState.LEAVING
            )
        self.servers[announcement.server] = announcement
        return Done()

    def displaced_by(self, announcement: Announcement) -> list[Announcement]:
        """Return what is registered under the name or at the address of a server."""
        known = self.servers.get(announcement.server)
        others = self._others_at_address(announcement)
        return others if known is None else [known, *others]

    def withdraw(self, command: WithdrawServer) -> AnyResult:
        """Remove a backend server that leaves, unless it was started again since."""
        known = self.servers.get(command.server)
        if known is not None and 0 < command.started_at_ms < known.started_at_ms:
            return Done()
        if known is not None:
            self._remove(known)
        return Done()

    def forget(self, command: ForgetServer) -> AnyResult:
        """Remove a silent backend server, unless it has been started again since."""
        known = self.servers.get(command.server)
        if known is None or known.boot != command.boot:
            return Refused(
                f"cannot remove {command.server}: "
                f"it is not registered with boot id {command.boot}"
            )
        del self.servers[command.server]
        return Done()

    def record_version(self, command: NoteModelVersion) -> AnyResult:
        """Record the weight version of a model that a backend server serves."""
        known = self.servers.get(command.server)
        if known is None or known.boot != command.boot:
            return Refused(
                f"cannot record a model version of {command.server}: "
                f"it is not registered with boot id {command.boot}"
            )
        models = {**known.models, command.model: command.version}
        self.servers[command.server] = msgspec.structs.replace(known, models=models)
        return Done()

    def release(self, command: ReleaseVersion) -> AnyResult:
        """Set the weight version of a model that backend servers should have."""
        current = self.releases.get(command.model, WeightVersion(0))
        if command.version < current:
            return VersionSuperseded(current)
        self.releases[command.model] = command.version
        return Done()

    def record_order(self, command: NoteOrder, at_ms: int) -> AnyResult:
        """Record an order about to be sent, if its fencing number is the highest.

        Parameters
        ----------
        command : NoteOrder
            Backend server and fencing number of the order.
        at_ms : int
            Wall time of the leader, milliseconds since the epoch.
        """
        if command.fencing <= self.fencing:
            return Refused(
                f"cannot record order {command.fencing} for {command.server}: "
                f"order {self.fencing} was recorded before"
            )
        self.fencing = command.fencing
        self.orders[command.server] = OrderRecord(
            command.fencing, at_ms, command.boot, command.model, command.version
        )
        return Done()

    def abandon_load(self, command: AbandonLoad) -> AnyResult:
        """Record that the load of an order does not take place."""
        record = self.orders.get(command.server)
        if record is not None and record.fencing == command.fencing:
            self.orders[command.server] = OrderRecord(record.fencing, record.at_ms)
        return Done()

    def assign_engines(self, command: AssignEngines) -> AnyResult:
        """Divide the engines of a service among its models."""
        self.assigned[command.service] = command.models
        return Done()

    def planned_loads(self) -> dict[BackendServerName, OrderRecord]:
        """Return the orders whose version their backend server does not serve yet.

        An order to an earlier process of the backend server does not count.
        """
        planned = {}
        for server, record in self.orders.items():
            known = self.servers.get(server)
            if known is None or not record.model or known.boot != record.boot:
                continue
            if known.models.get(record.model, WeightVersion(0)) < record.version:
                planned[server] = record
        return planned

    def _is_withdrawn(self, announcement: Announcement) -> bool:
        """Return whether the announcing process, or a later one, has left already."""
        withdrawn_start_ms = self.withdrawn.get(announcement.server)
        return (
            withdrawn_start_ms is not None
            and announcement.started_at_ms <= withdrawn_start_ms
        )

    def _others_at_address(self, announcement: Announcement) -> list[Announcement]:
        return [
            other
            for other in self.servers.values()
            if other.address == announcement.address
            and other.server != announcement.server
        ]

    def _remove(self, known: Announcement) -> None:
        """Remove a backend server; record its start time, if known, as withdrawn."""
        del self.servers[known.server]
        self.orders.pop(known.server, None)
        if known.started_at_ms:
            self.withdrawn.pop(known.server, None)
            self.withdrawn[known.server] = known.started_at_ms
        while len(self.withdrawn) > MAX_WITHDRAWN_COUNT:
            del self.withdrawn[next(iter(self.withdrawn))]


def _is_newer(known: Announcement, announcement: Announcement) -> bool:
    """Return whether the known announcement was sent after the given one."""
    return (known.started_at_ms, known.sequence) > (
        announcement.started_at_ms,
        announcement.sequence,
    )


def _is_known_leaving(known: Announcement, announcement: Announcement) -> bool:
    """Return whether the same process announced before that it leaves.

    Always False for a process that does not report its start time.
    """
    is_same_boot = known.boot == announcement.boot
    is_numbered = announcement.started_at_ms > 0
    return is_same_boot and is_numbered and known.state is ServerState.LEAVING
