"""Settings of a control instance."""

from __future__ import annotations

from pathlib import Path

from ..ids import Address
from .options import (
    Choice,
    Flag,
    Folder,
    Integer,
    ListOf,
    Name,
    Number,
    Option,
    Problem,
    Settings,
    SocketAddress,
    TableOf,
    address_at,
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

    members = TableOf(MemberSettings, default={})
    """The control instances of the first start, by name: 1, 3 or 5."""

    seeds: Option[list] = ListOf(SocketAddress(), default=[])
    """Addresses at which other control instances may be found."""

    seed_port = Integer(0, 65535, 0)
    """Port of the seeds' gRPC servers; 0 when ``seeds`` names it."""

    bootstrap = Flag(False)
    """Whether the seeds may form a new cluster, at the very first start."""

    tolerated_losses = Integer(0, 10, 1)
    """Control instances that may be lost at once; 1 makes three of them vote."""

    tolerated_domain_losses = Integer(0, 10, 0)
    """Failure domains that may be lost at once."""

    http_listen: Option[str] = SocketAddress("")
    """Address of the HTTP server for operators and backend servers, if any."""

    heartbeat_s = Number(0.02, 5, 0.15)
    """Seconds between two messages of a leader to a replica."""

    election_timeout_s = Number(0.1, 60, 1.0)
    """Least silence of a leader, in seconds, before an election."""

    replace_after_s = Number(0.2, 3600, 2.0)
    """Silence, in seconds, after which another replica votes in place of one."""

    event_output: Option[str] = Choice("file", "stdout", default="file")
    """Where events are written: the data folder or standard output."""

    lease_s = Number(0.5, 60, 3.0)
    """Seconds for which an entry may act on what it was told."""

    clock_drift = Number(0, 0.5, 0.05)
    """Greatest difference in speed of two instances' clocks, as a share."""

    snapshot_every = Integer(10, 1_000_000, 5000)
    """Log entries between two snapshots."""

    snapshot_bytes = Integer(10_000, 1_073_741_824, 33_554_432)
    """Size of the log, in bytes, from which a snapshot replaces it."""

    order_lifetime_s = Number(0.5, 600, 5.0)
    """Seconds after which an order that was given is no longer in effect."""

    forget_after_s = Number(5, 86_400, 60.0)
    """Seconds without an announcement until a backend server is forgotten."""

    @property
    def voter_count(self) -> int:
        """Control instances that should vote, so that a majority outlives losses."""
        losses = max(self.tolerated_losses, self.tolerated_domain_losses)
        return 2 * losses + 1

    @property
    def event_folder(self) -> Path | None:
        """Folder of the event file; None when events go to standard output."""
        return self.data_folder if self.event_output == "file" else None

    @property
    def seed_addresses(self) -> list[Address]:
        """Addresses of gRPC servers of control instances that may be up."""
        return [
            *(Address(each.address) for each in self.members.values()),
            *(address_at(each, self.seed_port) for each in self.seeds),
        ]

    def further_problems(self) -> list[Problem]:
        """Check the options that depend on each other."""
        problems = []
        if self.members and self.name not in self.members:
            problems.append(
                Problem("name", f"{self.name!r} is not among members", is_error=False)
            )
        if self.members and len(self.members) not in (1, 3, 5):
            problems.append(Problem("members", "must be 1, 3 or 5 instances"))
        if not self.members and not self.seeds:
            problems.append(Problem("members", "members or seeds must be given"))
        if self.election_timeout_s < 3 * self.heartbeat_s:
            problems.append(
                Problem("election_timeout_s", "must be at least 3 x heartbeat_s")
            )
        return problems
