"""Settings of a control instance."""

from __future__ import annotations

from pathlib import Path

from ..ids import Address
from .http_server import HttpServerSettings
from .options import (
    Choice,
    Flag,
    Folder,
    Integer,
    ListOf,
    Name,
    NameSet,
    Number,
    Option,
    OptionalAddress,
    Problem,
    Settings,
    SocketAddress,
    TableOf,
    with_port,
)

USAGE_DUTY = "usage"
SCALE_DUTY = "autoscale"


class MemberSettings(Settings):
    """One of the control instances that form a new cluster."""

    address: Option[str] = SocketAddress()
    """Address of its gRPC server."""

    failure_domain: Option[str] = Name()
    """Failure domain that it runs in."""


class ControlSettings(HttpServerSettings):
    """Settings of ``pollen-control``."""

    name: Option[str] = Name()
    """Name of this instance; one of ``members`` at the first start of a cluster."""

    failure_domain: Option[str] = Name()
    """Failure domain that this instance runs in."""

    listen: Option[str] = SocketAddress()
    """Address of the gRPC server for other replicas and for entries."""

    data_folder = Folder()
    """Folder of the replicated log, the snapshot and the event file."""

    members = TableOf(MemberSettings, default={})
    """Control instances that form a new cluster, by name: 1, 3 or 5."""

    seeds: Option[list] = ListOf(SocketAddress(), default=[])
    """Addresses of control instances to contact when joining a cluster."""

    seed_port = Integer(0, 65535, 0)
    """Port of the seeds' gRPC servers; 0 uses the port given in ``seeds``."""

    bootstrap = Flag(False)
    """Whether the seeds may form a new cluster at the very first start."""

    tolerated_losses = Integer(0, 10, 1)
    """Control instances that may fail at the same time; 1 requires 3 voters."""

    tolerated_domain_losses = Integer(0, 10, 0)
    """Failure domains that may fail at the same time."""

    http_listen: Option[str] = SocketAddress("")
    """Address of the HTTP server for operators and backend servers, if any."""

    heartbeat_s = Number(0.02, 5, 0.15)
    """Seconds between two heartbeats of the leader to a replica."""

    election_timeout_s = Number(0.1, 60, 1.0)
    """Shortest time, in seconds, without contact from the leader before an election."""

    replace_after_s = Number(0.2, 3600, 2.0)
    """Seconds without contact after which another replica replaces a voter."""

    event_output: Option[str] = Choice("file", "stdout", default="file")
    """Where events are written: the data folder or standard output."""

    lease_s = Number(0.5, 60, 3.0)
    """Seconds for which an entry may act on the state that it last received."""

    clock_drift = Number(0, 0.5, 0.05)
    """Largest relative difference in speed between the clocks of two instances."""

    snapshot_every = Integer(10, 1_000_000, 5000)
    """Number of log entries between two snapshots."""

    snapshot_bytes = Integer(10_000, 1_073_741_824, 33_554_432)
    """Size of the replicated log, in bytes, above which a snapshot replaces it. Above
    twice the size, the leader appends nothing while a snapshot is being written."""

    order_lifetime_s = Number(0.5, 600, 5.0)
    """Seconds after which an order to a backend server is no longer valid."""

    forget_after_s = Number(5, 86_400, 60.0)
    """Seconds without an announcement after which a backend server is removed."""

    duty_address: Option[str] = OptionalAddress("")
    """Address of the infrastructure's API, which duties call; empty for none."""

    duties: Option[list] = NameSet([])
    """Duties to carry out, separated by commas: ``usage``, ``autoscale``."""

    duty_per_s = Number(0.01, 1_000_000, 10.0)
    """Calls a second that the API accepts from all instances together."""

    duty_lease_ms = Number(0, 600_000, 3000.0)
    """Milliseconds without a call before a new instance may make its first call."""

    usage_window_s = Number(0.1, 86_400, 5.0)
    """Duration, in seconds, of the windows in which requests are counted."""

    usage_late_s = Number(0.2, 86_400, 10.0)
    """Seconds after the end of a window by which its usage report is due."""

    @property
    def reports_usage(self) -> bool:
        """Whether requests are counted and reported."""
        return bool(self.duty_address) and USAGE_DUTY in self.duties

    @property
    def scales_services(self) -> bool:
        """Whether the numbers of backend servers are ordered."""
        return bool(self.duty_address) and SCALE_DUTY in self.duties

    @property
    def voter_count(self) -> int:
        """Number of voters with which a majority survives the tolerated failures."""
        losses = max(self.tolerated_losses, self.tolerated_domain_losses)
        return 2 * losses + 1

    @property
    def event_folder(self) -> Path | None:
        """Folder of the event file; None when events go to standard output."""
        return self.data_folder if self.event_output == "file" else None

    @property
    def seed_addresses(self) -> list[Address]:
        """Addresses of the gRPC servers of members and seeds."""
        return [
            *(Address(member.address) for member in self.members.values()),
            *(with_port(seed, self.seed_port) for seed in self.seeds),
        ]

    def cross_option_problems(self) -> list[Problem]:
        """Check the options that depend on each other."""
        problems = []
        if self.members and self.name not in self.members:
            problems.append(
                Problem(
                    "name", f"{self.name!r} is not listed in members", is_error=False
                )
            )
        if self.members and len(self.members) not in (1, 3, 5):
            problems.append(Problem("members", "must hold 1, 3 or 5 control instances"))
        if not self.members and not self.seeds:
            problems.append(Problem("members", "is required unless seeds are given"))
        for duty in self.duties:
            if duty not in (USAGE_DUTY, SCALE_DUTY):
                problems.append(
                    Problem("duties", f"{duty!r} is not a known duty", is_error=False)
                )
        if self.election_timeout_s < 3 * self.heartbeat_s:
            problems.append(
                Problem("election_timeout_s", "must be at least 3 times heartbeat_s")
            )
        return problems
