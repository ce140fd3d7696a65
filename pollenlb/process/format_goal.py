"""When an upgrade is finished, so that the log may use a newer format."""

from __future__ import annotations

from ..clock import now
from ..durable.leases import LeaseTable
from ..exceptions import NotLeaderError
from ..ids import FormatVersion
from ..release import THIS_RELEASE
from .control_context import ControlContext

# Longer than an entry process takes to start again and to renew its lease.
_SETTLED_S = 10.0


class FormatGoal:
    """Newest format that the log may use as far as entry processes are concerned.

    They do not read the log. But an upgrade is not finished while one of them runs a
    former release, and until then all instances can go back to it.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context
        self._settled_since: float | None = None

    def newest(self) -> FormatVersion:
        """Return the format; 0 unless this process has led for long enough to know."""
        try:
            leases = self._context.leader_state.leases
        except NotLeaderError:
            self._settled_since = None
            return FormatVersion(0)
        if not self._all_entries_read_it(leases):
            self._settled_since = None
            return FormatVersion(0)
        if self._settled_since is None:
            self._settled_since = now()
        is_settled = now() >= self._settled_since + _SETTLED_S
        return THIS_RELEASE.reads if is_settled else FormatVersion(0)

    def _all_entries_read_it(self, leases: LeaseTable) -> bool:
        if now() < leases.earlier_leases_expire_at:
            return False
        return all(
            lease.entry.release.reads >= THIS_RELEASE.reads
            for lease in leases.live_leases()
        )
