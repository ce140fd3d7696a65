"""Limits that backend servers named, and the shares that the leader grants."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from ..clock import Deadline, now, remaining_time_s
from ..connection.control_api import LimitGrant, LimitReport
from ..connection.request_limit import GRANTED_RATIO
from ..ids import BackendServerName, BootId

# Entries that do not use a backend server learn of the end of its limit from the
# leader, which reports it for this long.
_ENDED_LIMIT_KEPT_S = 10.0
# Changes of a limit or a share by less than this ratio of the limit wait for the
# next renewal of an entry.
_NOTABLE_CHANGE_RATIO = 0.1
_CALL_WINDOW_S = 4.0


@dataclass
class _ServerLimit:
    """Limit of one process of a backend server.

    Attributes
    ----------
    limit_per_s : float or None
        Requests a second from all entries; None after the limit has ended.
    observed_at : float
        Monotonic time in seconds of the latest observation.
    notable_limit_per_s : float or None
        Limit at the latest change that raised the version of the table.
    demands : dict
        Demand that an entry reported last, by entry.
    held : dict
        Share that an entry may be using, in requests a second, by entry.
    calls_at : list of float
        Monotonic times in seconds of this leader's own calls to the server.
    """

    boot: BootId
    limit_per_s: float | None
    observed_at: float
    notable_limit_per_s: float | None = None
    demands: dict[BootId, float] = field(default_factory=dict)
    held: dict[BootId, float] = field(default_factory=dict)
    calls_at: list[float] = field(default_factory=list)

    @property
    def grantable_per_s(self) -> float:
        """Requests a second that all grants together may reach."""
        if self.limit_per_s is None:
            return 0.0
        self.calls_at = [at for at in self.calls_at if at > now() - _CALL_WINDOW_S]
        own_per_s = len(self.calls_at) / _CALL_WINDOW_S
        return max(0.0, GRANTED_RATIO * self.limit_per_s - own_per_s)


class LimitTable:
    """Divides the limits of backend servers among the entries, in one term.

    A share that was granted counts as used until the entry has reported a smaller
    one or its lease has expired, so that all shares together never exceed the limit
    while they change.

    Parameters
    ----------
    earlier_leases_expire_at : Deadline
        Until then entries may use shares that an earlier leader granted, and no
        share is raised.
    first_version : int
        Version of the empty table, higher than those of earlier terms.
    """

    def __init__(
        self, earlier_leases_expire_at: Deadline, first_version: int = 0
    ) -> None:
        self._earlier_leases_expire_at = earlier_leases_expire_at
        self._version = first_version
        self._limits: dict[BackendServerName, _ServerLimit] = {}

    @property
    def version(self) -> int:
        """Version of the limits; rises when one begins, ends or clearly changes."""
        return self._version

    def record_reports(
        self, entry: BootId, reports: Mapping[BackendServerName, LimitReport]
    ) -> bool:
        """Record what an entry reported; return whether others should learn of it."""
        earlier_version = self._version
        is_notable = False
        for server, report in reports.items():
            limit = self._observe(server, report)
            if limit.boot != report.boot:
                continue
            has_begun_to_need = report.demand and not limit.demands.get(entry)
            has_given_up = report.granted_per_s < limit.held.get(entry, 0.0)
            is_notable = is_notable or bool(has_begun_to_need) or has_given_up
            limit.demands[entry] = report.demand
            limit.held[entry] = report.granted_per_s
        for server, limit in self._limits.items():
            if server not in reports:
                limit.demands.pop(entry, None)
                limit.held.pop(entry, None)
        return is_notable or self._version != earlier_version

    def _observe(self, server: BackendServerName, report: LimitReport) -> _ServerLimit:
        """Return the limit of a server, updated if the report is the latest."""
        limit = self._limits.get(server)
        observed_at = now() - report.age_s
        if limit is not None and observed_at <= limit.observed_at:
            return limit
        if limit is None or limit.boot != report.boot:
            limit = _ServerLimit(report.boot, None, observed_at)
            self._limits[server] = limit
        limit.limit_per_s = report.limit_per_s
        limit.observed_at = observed_at
        if _is_notable_change(limit.notable_limit_per_s, limit.limit_per_s):
            limit.notable_limit_per_s = limit.limit_per_s
            self._version += 1
        return limit

    def record_call(self, server: BackendServerName) -> None:
        """Record a call of this leader to a backend server, such as an order."""
        if server in self._limits:
            self._limits[server].calls_at.append(now())

    def grant(
        self, entry: BootId, live: Collection[BootId]
    ) -> dict[BackendServerName, LimitGrant]:
        """Return the limits with the shares of an entry, which it holds from now on.

        Parameters
        ----------
        entry : BootId
            The entry.
        live : collection of BootId
            Entries whose leases have not expired.
        """
        self._forget_unused_limits(live)
        grants = {}
        for server, limit in self._limits.items():
            share_per_s = self._share_per_s(limit, entry, live)
            limit.held[entry] = max(limit.held.get(entry, 0.0), share_per_s)
            grants[server] = LimitGrant(
                limit.boot,
                limit.limit_per_s,
                max(0.0, now() - limit.observed_at),
                share_per_s,
            )
        return grants

    def is_share_outdated(
        self,
        entry: BootId,
        reports: Mapping[BackendServerName, LimitReport],
        live: Collection[BootId],
    ) -> bool:
        """Return whether a share of an entry should clearly change.

        Parameters
        ----------
        entry : BootId
            The entry.
        reports : mapping
            What it reported in the renewal that waits for an answer.
        live : collection of BootId
            Entries whose leases have not expired.
        """
        for server, report in reports.items():
            limit = self._limits.get(server)
            if limit is None or limit.limit_per_s is None or limit.boot != report.boot:
                continue
            change_per_s = self._share_per_s(limit, entry, live) - report.granted_per_s
            if abs(change_per_s) > _NOTABLE_CHANGE_RATIO * limit.limit_per_s:
                return True
        return False

    def _share_per_s(
        self, limit: _ServerLimit, entry: BootId, live: Collection[BootId]
    ) -> float:
        grantable_per_s = limit.grantable_per_s
        demands = {boot: limit.demands.get(boot, 0.0) for boot in live}
        total = sum(demands.values())
        wanted_per_s = (
            grantable_per_s * demands.get(entry, 0.0) / total if total else 0.0
        )
        if remaining_time_s(self._earlier_leases_expire_at):
            return min(wanted_per_s, limit.held.get(entry, 0.0))
        others_per_s = sum(limit.held.get(boot, 0.0) for boot in live if boot != entry)
        return max(0.0, min(wanted_per_s, grantable_per_s - others_per_s))

    def _forget_unused_limits(self, live: Collection[BootId]) -> None:
        """Forget limits that have ended, and those that no entry reports."""
        kept_from = now() - _ENDED_LIMIT_KEPT_S
        self._limits = {
            server: limit
            for server, limit in self._limits.items()
            if limit.observed_at > kept_from
            or (
                limit.limit_per_s is not None and not limit.held.keys().isdisjoint(live)
            )
        }


def _is_notable_change(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is not after
    return abs(after - before) > _NOTABLE_CHANGE_RATIO * before
