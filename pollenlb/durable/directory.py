"""Backend servers that announced themselves, and the versions they should have."""

from __future__ import annotations

import msgspec

from ..ids import BackendServerName, ServiceName, WeightVersion
from .command import Done, Refused
from .commands import AnyResult
from .configuration_commands import (
    Announcement,
    AnnounceServer,
    ForgetServer,
    ReleaseVersion,
)


class Directory(msgspec.Struct):
    """Latest announcement of each backend server.

    Attributes
    ----------
    servers : dict
        Announcement by name.
    releases : dict
        Weight version by service that its backend servers should have.
    """

    servers: dict[BackendServerName, Announcement] = {}
    releases: dict[ServiceName, WeightVersion] = {}

    def announce(self, command: AnnounceServer) -> AnyResult:
        """Enter or replace an announcement."""
        self.servers[command.announcement.server] = command.announcement
        return Done()

    def forget(self, command: ForgetServer) -> AnyResult:
        """Remove a backend server, unless it was started again since."""
        known = self.servers.get(command.server)
        if known is None or known.boot != command.boot:
            return Refused(f"{command.server} is not known with boot {command.boot}")
        del self.servers[command.server]
        return Done()

    def release(self, command: ReleaseVersion) -> AnyResult:
        """Set the version that a service should have."""
        current = self.releases.get(command.service, 0)
        if command.version < current:
            return Refused(
                f"version {command.version} is older than {current}, which is released"
            )
        self.releases[command.service] = command.version
        return Done()
