"""Settings of an entry instance."""

from __future__ import annotations

from typing import Any

from ..ids import Address
from .http_server import HttpServerSettings
from .options import (
    Flag,
    Folder,
    Integer,
    ListOf,
    Name,
    Number,
    Option,
    Problem,
    SocketAddress,
    with_port,
)


class EntrySettings(HttpServerSettings):
    """Settings of ``pollen-entry``."""

    name: Option[str] = Name()
    """Name of this instance."""

    failure_domain: Option[str] = Name()
    """Failure domain that this instance runs in."""

    listen: Option[str] = SocketAddress()
    """Address of the HTTP server for callers, backend servers and operators."""

    control: Option[list] = ListOf(SocketAddress(), min_length=1)
    """Addresses of the control instances' gRPC servers."""

    control_port = Integer(0, 65535, 0)
    """Port of the control instances' gRPC servers; 0 uses that given in ``control``."""

    ready_listen: Option[str] = SocketAddress("")
    """Address of a separate readiness endpoint for a load balancer, if any. Health and
    metrics are served there, too, and all paths at ``listen`` are those of callers."""

    relay_listen: Option[str] = SocketAddress("")
    """Address at which other entries relay requests to this one while they reach no
    backend server, if any. Callers must not reach it."""

    serves_without_lease = Flag(False)
    """Whether to keep serving on the last configuration without contact to control."""

    batch_results_kept_s = Number(1, 86_400, 120.0)
    """Seconds after its submission during which a batch job can be read."""

    data_folder: Option[Any] = Folder(None)
    """Folder of the event file; if unset, events go to standard output."""

    max_header_bytes = Integer(1024, 1_048_576, 16_384)
    """Greatest size of the request line and of each header field, in bytes."""

    max_answer_header_bytes = Integer(1024, 1_048_576, 32_768)
    """Greatest size, in bytes, of each header field of a backend server's answer."""

    max_body_bytes = Integer(1024, 1_073_741_824, 16_777_216)
    """Greatest size of a request's body, in bytes."""

    replay_body_bytes = Integer(0, 16_777_216, 65_536)
    """Bodies up to this size, in bytes, are buffered to allow retries."""

    max_timeout_s = Number(0.1, 86_400, 3600.0)
    """Greatest timeout, in seconds, that a caller may request."""

    probe_interval_s = Number(0, 10, 0.8)
    """Seconds between two probes of a backend server; 0 disables probes."""

    usable_s = Number(0.5, 10, 2.5)
    """Seconds after its last answer during which a backend server gets new work."""

    connect_timeout_s = Number(0.05, 60, 1.0)
    """Timeout, in seconds, for opening a connection to a backend server."""

    progress_timeout_s = Number(0.2, 3600, 10.0)
    """Seconds without an answer after which another attempt may start beside the first,
    and seconds without a complete event after which a resumable stream goes on at
    another server."""

    balancer_delay_s = Number(0, 60, 1.0)
    """Seconds between failing readiness checks and refusing new connections."""

    shutdown_grace_s = Number(0, 3600, 60.0)
    """Seconds from the signal to stop until the process has ended. Requests in flight
    have until shortly before."""

    max_items_in_flight = Integer(1, 100_000, 4096)
    """Greatest number of samples and batch job items that run here concurrently."""

    @property
    def control_addresses(self) -> list[Address]:
        """Addresses of the gRPC servers of control instances."""
        return [with_port(address, self.control_port) for address in self.control]

    def cross_option_problems(self) -> list[Problem]:
        """Check the options that depend on each other."""
        if self.usable_s < 2 * self.probe_interval_s:
            return [Problem("usable_s", "must be at least 2 times probe_interval_s")]
        return []
