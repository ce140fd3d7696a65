"""Settings of an entry instance."""

from __future__ import annotations

from typing import Any

from ..ids import Address
from .options import (
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
    address_at,
)


class EntrySettings(Settings):
    """Settings of ``pollen-entry``."""

    name: Option[str] = Name()
    """Name of this instance."""

    failure_domain: Option[str] = Name()
    """The failure domain this instance runs in."""

    listen: Option[str] = SocketAddress()
    """Address of the HTTP server for callers, backend servers and operators."""

    control: Option[list] = ListOf(SocketAddress(), least=1)
    """Addresses of the control instances."""

    control_port = Integer(0, 65535, 0)
    """Port of the control instances' gRPC servers; 0 when ``control`` names it."""

    ready_listen: Option[str] = SocketAddress("")
    """Address that tells a balancer whether this instance is ready, if any."""

    serves_without_lease = Flag(False)
    """Whether to go on with the last configuration while control is not reached."""

    batch_results_kept_s = Number(1, 86_400, 120.0)
    """Seconds after its submission for which a batch job can be read."""

    data_folder: Option[Any] = Folder(None)
    """Folder of the event file; without one, events go to standard output."""

    max_header_bytes = Integer(1024, 1_048_576, 16_384)
    """Greatest size of a request's headers, in bytes."""

    max_body_bytes = Integer(1024, 1_073_741_824, 16_777_216)
    """Greatest size of a request's body, in bytes."""

    replay_body_bytes = Integer(0, 16_777_216, 65_536)
    """Bodies up to this size, in bytes, are kept to be sent a second time."""

    max_timeout_s = Number(0.1, 86_400, 3600.0)
    """Greatest timeout, in seconds, that a caller may ask for."""

    probe_interval_s = Number(0, 10, 0.8)
    """Seconds between two probes of a backend server; 0 probes none."""

    usable_s = Number(0.5, 10, 2.5)
    """Seconds after its last answer in which a backend server gets new work."""

    connect_timeout_s = Number(0.05, 60, 1.0)
    """Seconds to open a connection to a backend server."""

    progress_timeout_s = Number(0.2, 3600, 10.0)
    """Longest silence, in seconds, of a stream before it counts as lost."""

    balancer_delay_s = Number(0, 60, 1.0)
    """Seconds between failing readiness and taking no new connections."""

    shutdown_grace_s = Number(0, 3600, 60.0)
    """Seconds that requests in flight have to finish at a shutdown."""

    max_items_in_flight = Integer(1, 100_000, 4096)
    """Samples and items of batch jobs that this instance runs at the same time."""

    @property
    def control_addresses(self) -> list[Address]:
        """Addresses of the gRPC servers of control instances."""
        return [address_at(each, self.control_port) for each in self.control]

    def further_problems(self) -> list[Problem]:
        """Check the options that depend on each other."""
        if self.usable_s < 2 * self.probe_interval_s:
            return [Problem("usable_s", "must be at least 2 x probe_interval_s")]
        return []
