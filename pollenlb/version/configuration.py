"""The configuration that an entry has in force, and its lease on it."""

from __future__ import annotations

from result import Err, Ok

from ..clock import Deadline, now
from ..connection.control_api import ConfigurationView
from ..ids import Revision
from ..settings.cluster import ClusterSettings


class AppliedConfiguration:
    """Configuration revision in force, valid while the lease lasts."""

    def __init__(self) -> None:
        self._revision = Revision(-1)
        self._settings = ClusterSettings({"services": {}, "routes": {}})
        self._lease_until = Deadline(0.0)

    @property
    def revision(self) -> Revision:
        """Revision in force; -1 before the first one was received."""
        return self._revision

    @property
    def settings(self) -> ClusterSettings:
        """Services and routes in force."""
        return self._settings

    @property
    def is_received(self) -> bool:
        """Whether a configuration that was ever accepted was received."""
        return self._revision > 0

    @property
    def is_leased(self) -> bool:
        """Whether new work may be taken now."""
        return self._revision >= 0 and now() < self._lease_until

    def extend_lease(self, until: Deadline) -> None:
        """Extend the lease; it never gets shorter."""
        self._lease_until = max(self._lease_until, until)

    def apply(self, view: ConfigurationView) -> bool:
        """Put a revision in force and tell whether it was a later one."""
        if view.revision <= self._revision:
            return False
        match ClusterSettings.check(view.document):
            case Ok(settings):
                self._settings = settings
            case Err(problems):
                raise ValueError(f"revision {view.revision} holds {problems[0]}")
        self._revision = view.revision
        return True
