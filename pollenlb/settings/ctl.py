"""Settings of the operators' command line."""

from __future__ import annotations

from .options import ListOf, Number, Option, Settings, SocketAddress, Text


class CtlSettings(Settings):
    """Settings of ``pollenctl``."""

    entries: Option[list] = ListOf(SocketAddress(), min_length=1)
    """HTTP addresses of entries, of a load balancer in front of them, or both."""

    operator: Option[str] = Text("operator")
    """Name that is recorded with each change."""

    event_folders: Option[list] = ListOf(Text(), default=[])
    """Folders with the event files that ``timeline`` merges."""

    timeout_s = Number(0.1, 60, 0.9)
    """Seconds within which a query must be answered."""

    command_timeout_s = Number(1, 600, 30.0)
    """Seconds within which a command must be answered, retries included."""
