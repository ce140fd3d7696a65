"""Backend servers that announced themselves, and the versions they should have."""

from __future__ import annotations

import msgspec

from ..ids import BackendServerName, ModelName, WeightVersion
from .command_base import Done, Refused
from .commands import AnyResult
from .configuration_commands import (
    Announcement,
    AnnounceServer,
    ForgetServer,
    NoteModelVersion,
    NoteOrder,
    ReleaseVersion,
    ServerState,
    VersionSuperseded,
    WithdrawServer,
)

MOST_WITHDRAWN = 2_000


class OrderRecord(msgspec.Struct, frozen=True):
    """The latest order that a leader was about to send to a backend server.

    Attributes
    ----------
    at_ms : int
        Wall time of the leader, milliseconds since the epoch.
    """

    fencing: int
    at_ms: int


class Directory(msgspec.Struct):
    """Latest announcement of each backend server.

    Attributes
    ----------
    servers : dict
        Announcement by name.
    withdrawn : dict
        When the process of a backend server that left had started, in
        milliseconds, by name; its late announcements are ignored.
    releases : dict
        Weight version by model that backend servers should have.
    orders : dict
        Latest order by backend server.
    fencing : int
        Highest number of an order.
    """

    servers: dict[BackendServerName, Announcement] = {}
    withdrawn: dict[BackendServerName, int] = {}
    releases: dict[ModelName, WeightVersion] = {}
    orders: dict[BackendServerName, OrderRecord] = {}
    fencing: int = 0

    def announce(self, command: AnnounceServer) -> AnyResult:
        """Enter or replace an announcement, unless a later one is known."""
        announcement = command.announcement
        known = self.servers.get(announcement.server)
        if known is not None and _is_later(known, announcement):
            return Refused(f"{known.server} announced itself later than that")
        if self._has_left(announcement):
            return Refused(f"{announcement.server} has left")
        for other in self._others_at(announcement):
            if other.started_at_ms > announcement.started_at_ms:
                return Refused(f"{other.server} runs at {other.address} since then")
            self._remove(other)
        if known is not None and _has_said_it_leaves(known, announcement):
            announcement = msgspec.structs.replace(
                announcement, state=ServerState.LEAVING
            )
        self.servers[announcement.server] = announcement
        return Done()

    def withdraw(self, command: WithdrawServer) -> AnyResult:
        """Remove a backend server that leaves."""
        known = self.servers.get(command.server)
        if known is not None and 0 < command.started_at_ms < known.started_at_ms:
            return Done()
        if known is not None:
            self._remove(known)
        return Done()

    def forget(self, command: ForgetServer) -> AnyResult:
        """Remove a backend server, unless it was started again since."""
        known = self.servers.get(command.server)
        if known is None or known.boot != command.boot:
            return Refused(f"{command.server} is not known with boot {command.boot}")
        del self.servers[command.server]
        return Done()

    def note_version(self, command: NoteModelVersion) -> AnyResult:
        """Enter a version that a backend server serves."""
        known = self.servers.get(command.server)
        if known is None or known.boot != command.boot:
            return Refused(f"{command.server} is not known with boot {command.boot}")
        models = {**known.models, command.model: command.version}
        self.servers[command.server] = msgspec.structs.replace(known, models=models)
        return Done()

    def release(self, command: ReleaseVersion) -> AnyResult:
        """Set the version that backend servers should have."""
        current = self.releases.get(command.model, WeightVersion(0))
        if command.version < current:
            return VersionSuperseded(current)
        self.releases[command.model] = command.version
        return Done()

    def note_order(self, command: NoteOrder, at_ms: int) -> AnyResult:
        """Enter an order that is about to be sent."""
        if command.fencing <= self.fencing:
            return Refused(f"order {self.fencing} was given before")
        self.fencing = command.fencing
        self.orders[command.server] = OrderRecord(command.fencing, at_ms)
        return Done()

    def _has_left(self, announcement: Announcement) -> bool:
        left = self.withdrawn.get(announcement.server)
        return left is not None and announcement.started_at_ms <= left

    def _others_at(self, announcement: Announcement) -> list[Announcement]:
        return [
            other
            for other in self.servers.values()
            if other.address == announcement.address
            and other.server != announcement.server
        ]

    def _remove(self, known: Announcement) -> None:
        del self.servers[known.server]
        self.orders.pop(known.server, None)
        if known.started_at_ms:
            self.withdrawn.pop(known.server, None)
            self.withdrawn[known.server] = known.started_at_ms
        while len(self.withdrawn) > MOST_WITHDRAWN:
            del self.withdrawn[next(iter(self.withdrawn))]


def _is_later(known: Announcement, announcement: Announcement) -> bool:
    return (known.started_at_ms, known.sequence) > (
        announcement.started_at_ms,
        announcement.sequence,
    )


def _has_said_it_leaves(known: Announcement, announcement: Announcement) -> bool:
    is_same_boot = known.boot == announcement.boot
    is_numbered = announcement.started_at_ms > 0
    return is_same_boot and is_numbered and known.state is ServerState.LEAVING
