"""Tells an entry that it reaches no backend server from servers that fail.

Answers a network that is cut between this entry and all backend servers, while callers,
control and other entries still reach it. A single server that fails says nothing of
this entry; several different ones that fail after the last contact with any do.
"""

from __future__ import annotations

from ..ids import BackendServerName

# Different servers that fail without a contact in between.
MIN_FAILED_SERVERS = 2


class Reachability:
    """Which backend servers failed since the last contact with any of them."""

    def __init__(self) -> None:
        self._failed: set[BackendServerName] = set()
        self._contact_at = float("-inf")

    @property
    def is_stranded(self) -> bool:
        """Whether this entry is taken to reach no backend server."""
        return len(self._failed) >= MIN_FAILED_SERVERS

    @property
    def has_failures(self) -> bool:
        """Whether a server has failed since the last contact with any."""
        return bool(self._failed)

    @property
    def contact_at(self) -> float:
        """Monotonic time of the last contact with a server, in seconds."""
        return self._contact_at

    def record_contact(self, at: float) -> None:
        """Record that bytes of any backend server arrived.

        Parameters
        ----------
        at : float
            Monotonic time in seconds.
        """
        self._contact_at = max(self._contact_at, at)
        self._failed.clear()

    def record_failure(self, server: BackendServerName, started_at: float) -> None:
        """Record that a server could not be connected to, or fell silent.

        Parameters
        ----------
        server : BackendServerName
            The server.
        started_at : float
            Monotonic time in seconds at which the attempt began; one that began
            before the last contact says nothing.
        """
        if started_at >= self._contact_at:
            self._failed.add(server)
