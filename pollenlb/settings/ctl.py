"""Settings of the operator's desk."""

from __future__ import annotations

from .options import ListOf, Number, Option, Settings, SocketAddress, Text


class CtlSettings(Settings):
    """Settings of ``pollenctl``."""

    entries: Option[list] = ListOf(SocketAddress(), least=1)
    """HTTP addresses of entries, of the balancer, or both."""

    operator: Option[str] = Text("operator")
    """Name that is written beside each change."""

    event_folders: Option[list] = ListOf(Text(), default=[])
    """Folders with the event files that ``timeline`` merges."""

    timeout_s = Number(0.1, 60, 0.9)
    """Seconds in which a query must be answered."""

    command_timeout_s = Number(1, 600, 30.0)
    """Seconds in which a command must be answered."""
