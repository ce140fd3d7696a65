"""The configuration that an entry has applied, and its lease on it."""

from __future__ import annotations

from typing import Any

from result import Err, Ok

from ..clock import Deadline, now
from ..connection.control_api import ConfigurationView
from ..ids import Revision
from ..settings.cluster import ClusterSettings


class AppliedConfiguration:
    """The applied configuration revision, valid while the lease lasts."""

    def __init__(self) -> None:
        self._revision = Revision(-1)
        self._settings = ClusterSettings({"services": {}, "routes": {}})
        self._lease_expires_at = Deadline(0.0)
        self._workspaces: dict[str, Any] = {}

    @property
    def revision(self) -> Revision:
        """Applied revision; -1 before the first one was received."""
        return self._revision

    @property
    def settings(self) -> ClusterSettings:
        """Applied services and routes; empty before the first revision."""
        return self._settings

    @property
    def is_received(self) -> bool:
        """Whether a configuration that was once accepted has been received.

        Revision 0 is the empty configuration before the first change.
        """
        return self._revision > 0

    @property
    def is_leased(self) -> bool:
        """Whether a revision is applied and the lease on it is valid now."""
        return self._revision >= 0 and now() < self._lease_expires_at

    def is_lease_newer_than(self, age_s: float) -> bool:
        """Return whether the lease is valid or expired less than so long ago."""
        return now() < self._lease_expires_at + age_s

    def extend_lease(self, until: Deadline) -> None:
        """Extend the lease to a deadline; an earlier one has no effect."""
        self._lease_expires_at = max(self._lease_expires_at, until)

    def apply(self, view: ConfigurationView) -> bool:
        """Apply a revision if it is later; return whether it was.

        Raises
        ------
        ValueError
            When the document of the revision is not valid.
        """
        if view.revision <= self._revision:
            return False
        document = view.document
        if view.keeps_workspaces:
            document = {**document, "workspaces": self._workspaces}
        match ClusterSettings.check(document):
            case Ok(settings):
                self._settings = settings
            case Err(problems):
                raise ValueError(
                    f"configuration revision {view.revision} is invalid: {problems[0]}"
                )
        self._workspaces = document.get("workspaces", {})
        self._revision = view.revision
        return True
