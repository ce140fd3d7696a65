"""Settings of a control instance."""

from __future__ import annotations

from .options import (
    Folder,
    Integer,
    Name,
    Number,
    Option,
    Problem,
    Settings,
    SocketAddress,
    TableOf,
)


class MemberSettings(Settings):
    """One of the first control instances."""

    address: Option[str] = SocketAddress()
    """Where its gRPC server listens."""

    failure_domain: Option[str] = Name()
    """The failure domain it runs in."""


class ControlSettings(Settings):
    """Settings of ``pollen-control``."""

    name: Option[str] = Name()
    """Name of this instance; one of the members for a first start."""

    failure_domain: Option[str] = Name()
    """The failure domain this instance runs in."""

    listen: Option[str] = SocketAddress()
    """Address of the gRPC server, for replicas and entries."""

    data_folder = Folder()
    """Folder of the log, the snapshot and the events."""

    members = TableOf(MemberSettings)
    """The control instances of the first start, by name: 1, 3 or 5."""

    heartbeat_s = Number(0.02, 5, 0.15)
    """Seconds between two messages of a leader to a replica."""

    election_timeout_s = Number(0.1, 60, 1.0)
    """Least silence of a leader, in seconds, before an election."""

    lease_s = Number(0.5, 60, 3.0)
    """Seconds for which an entry may act on what it was told."""

    clock_drift = Number(0, 0.5, 0.05)
    """Greatest difference in speed of two instances' clocks, as a share."""

    snapshot_every = Integer(10, 1_000_000, 5000)
    """Log entries between two snapshots."""

    order_lifetime_s = Number(0.5, 600, 5.0)
    """Seconds after which an order that was given is no longer in effect."""

    forget_after_s = Number(5, 86_400, 60.0)
    """Seconds without an announcement until a backend server is forgotten."""

    def further_problems(self) -> list[Problem]:
        """Check the options that depend on each other."""
        problems = []
        if self.name not in self.members:
            problems.append(
                Problem("name", f"{self.name!r} is not among members", is_error=False)
            )
        if len(self.members) not in (1, 3, 5):
            problems.append(Problem("members", "must be 1, 3 or 5 instances"))
        if self.election_timeout_s < 3 * self.heartbeat_s:
            problems.append(
                Problem("election_timeout_s", "must be at least 3 x heartbeat_s")
            )
        return problems
