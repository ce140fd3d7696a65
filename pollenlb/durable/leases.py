"""Leases of entry processes, which the leader keeps in memory."""

from __future__ import annotations

import asyncio

import msgspec

from ..clock import Deadline, now, remaining_time_s
from ..exceptions import ControlError
from ..ids import (
    Address,
    BackendServerName,
    BatchJobId,
    BootId,
    FailureDomain,
    InstanceName,
    ModelName,
    Revision,
)
from ..release import UNREPORTED, Release
from .key_commands import Claimant


class EntryInfo(msgspec.Struct, frozen=True, omit_defaults=True):
    """Identity and location of one entry process, as it reports them.

    Attributes
    ----------
    instance : InstanceName
        Instance on which the process runs.
    boot : BootId
        Identifies this run of the process.
    http : Address
        HTTP address for callers and operators.
    failure_domain : FailureDomain
        Failure domain of the instance.
    relay : Address
        HTTP address for requests that other entries relay; empty without one.
    release : Release
        Release that the process runs.
    """

    instance: InstanceName
    boot: BootId
    http: Address
    failure_domain: FailureDomain
    relay: Address = Address("")
    release: Release = UNREPORTED

    @property
    def claimant(self) -> Claimant:
        """The process as the owner of claims in the replicated log."""
        return Claimant(self.instance, self.boot)


class AppliedVersions(msgspec.Struct, frozen=True):
    """Versions of the shared state that an entry process has applied.

    Attributes
    ----------
    revision : Revision
        Revision of the configuration.
    quarantine : int
        Version of the quarantine.
    directory : int
        Version of the directory of backend servers.
    loads : int
        Version of the planned loads; -1 if the process does not use them.
    """

    revision: Revision = Revision(0)
    quarantine: int = 0
    directory: int = 0
    loads: int = -1

    def knows_loads(self, version: int) -> bool:
        """Return whether a version of the planned loads is applied or not used."""
        return self.loads < 0 or self.loads >= version

    def covers(self, other: AppliedVersions) -> bool:
        """Return whether no version is older than the other's."""
        return (
            self.revision >= other.revision
            and self.quarantine >= other.quarantine
            and self.directory >= other.directory
        )


class EntryHealth(msgspec.Struct, frozen=True):
    """Health and load of an entry process, as it reports them.

    Attributes
    ----------
    is_draining : bool
        Whether the process is draining before it stops.
    lag_s : float
        Smoothed delay with which its event loop ran due callbacks, in seconds.
    batch_jobs : list of BatchJobId
        Batch jobs that it runs.
    running : dict of BackendServerName to int
        Number of items of these batch jobs that run, by engine.
    waiting : dict of ModelName to int
        Number of items of these batch jobs that wait for a slot, by model.
    in_flight : dict of BackendServerName to int
        Number of all requests of the process in flight, by backend server; only if
        the leader asks for it.
    is_stranded : bool
        Whether it is taken to reach no backend server.
    """

    is_draining: bool = False
    lag_s: float = 0.0
    batch_jobs: list[BatchJobId] = []
    running: dict[BackendServerName, int] = {}
    waiting: dict[ModelName, int] = {}
    in_flight: dict[BackendServerName, int] = {}
    is_stranded: bool = False


class Lease(msgspec.Struct):
    """Lease that a leader granted to one entry process.

    Attributes
    ----------
    entry : EntryInfo
        The entry process.
    expires_at : Deadline
        Monotonic time of the leader, in seconds, at which the lease has expired
        by every clock whose drift is within the configured bound.
    in_force : AppliedVersions
        Versions that the entry process has applied.
    since : float
        Monotonic time in seconds at which the lease was first granted.
    health : EntryHealth
        Health that the entry process last reported.
    """

    entry: EntryInfo
    expires_at: Deadline
    in_force: AppliedVersions
    since: float
    health: EntryHealth = EntryHealth()


class LeaseTable:
    """Leases granted in one term.

    The duration of a lease counts from the last contact of the leader with a
    quorum. The leader does not know the leases of earlier terms, so any entry
    process may hold one until the longest of them must have expired.

    Parameters
    ----------
    lease_s : float
        Duration of a lease in seconds.
    clock_drift : float
        Bound on the relative difference in speed between clocks, as a ratio.
    election_started_at : float
        Monotonic time in seconds just before the votes of the term were
        requested.
    """

    def __init__(
        self, lease_s: float, clock_drift: float, election_started_at: float
    ) -> None:
        self._lease_s = lease_s
        self._guarded_lease_s = lease_s * (1 + clock_drift) / (1 - clock_drift)
        self._earlier_leases_expire_at = Deadline(
            election_started_at + self._guarded_lease_s
        )
        self._leases: dict[BootId, Lease] = {}
        self._changed = asyncio.Condition()

    @property
    def earlier_leases_expire_at(self) -> Deadline:
        """Deadline by which all leases of earlier leaders have expired."""
        return self._earlier_leases_expire_at

    async def renew(
        self,
        entry: EntryInfo,
        in_force: AppliedVersions,
        last_quorum_contact_at: float,
        health: EntryHealth | None = None,
    ) -> float:
        """Grant or extend the lease of an entry process.

        Leases of earlier runs of the process on the same instance expire at once.

        Parameters
        ----------
        entry : EntryInfo
            The entry process.
        in_force : AppliedVersions
            Versions that it has applied.
        last_quorum_contact_at : float
            Monotonic time in seconds at which a quorum last followed this leader.
        health : EntryHealth or None
            Health that it reported; None to keep what it reported last.

        Returns
        -------
        float
            Seconds until the lease expires; 0 when the last contact with a quorum
            is too long ago, in which case nothing is granted.
        """
        remaining_s = self._lease_s - (now() - last_quorum_contact_at)
        if remaining_s <= 0:
            return 0.0
        expires_at = Deadline(last_quorum_contact_at + self._guarded_lease_s)
        known = self._leases.get(entry.boot)
        since = known.since if known is not None else now()
        if health is None:
            health = known.health if known is not None else EntryHealth()
        self._leases[entry.boot] = Lease(entry, expires_at, in_force, since, health)
        self._expire_earlier_boots(entry)
        async with self._changed:
            self._changed.notify_all()
        return remaining_s

    def _expire_earlier_boots(self, entry: EntryInfo) -> None:
        # An instance runs one entry process: a new boot means that the process of
        # the earlier boot has ended.
        for lease in self._leases.values():
            is_same_instance = lease.entry.instance == entry.instance
            if is_same_instance and lease.entry.boot != entry.boot:
                lease.expires_at = Deadline(0.0)

    def live_leases(self) -> list[Lease]:
        """Return the leases that have not expired."""
        checked_at = now()
        return [
            lease for lease in self._leases.values() if lease.expires_at > checked_at
        ]

    def live_boots(self) -> set[BootId]:
        """Return the entry processes whose leases have not expired."""
        return {lease.entry.boot for lease in self.live_leases()}

    def remove_expired(self) -> list[EntryInfo]:
        """Remove the expired leases and return their entry processes."""
        checked_at = now()
        expired = [
            lease.entry
            for lease in self._leases.values()
            if lease.expires_at <= checked_at
        ]
        for entry in expired:
            del self._leases[entry.boot]
        return expired

    async def wait_until_applied(
        self, change: AppliedVersions, deadline: Deadline
    ) -> None:
        """Return once every entry process with a lease has applied a change.

        Also waits until the leases of earlier leaders have expired, since their
        entry processes may not have applied it.

        Parameters
        ----------
        change : AppliedVersions
            Versions that have to be applied.
        deadline : Deadline
            Monotonic time in seconds at which the wait ends.

        Raises
        ------
        ControlError
            When the deadline passes first.
        """
        while (wait_s := self._longest_wait_s(change)) > 0:
            if not remaining_time_s(deadline):
                raise ControlError(
                    "not every entry process applied a change before the deadline: "
                    f"revision {change.revision}, quarantine {change.quarantine}, "
                    f"directory {change.directory}"
                )
            try:
                async with asyncio.timeout(
                    min(wait_s, remaining_time_s(deadline)) + 0.001
                ):
                    async with self._changed:
                        await self._changed.wait()
            except TimeoutError:
                continue

    async def wait_until_loads_known(
        self, boots: set[BootId], version: int, deadline: Deadline
    ) -> set[BootId]:
        """Wait until entry processes with a lease have applied the planned loads.

        Parameters
        ----------
        boots : set of BootId
            Entry processes to wait for.
        version : int
            Version of the planned loads.
        deadline : Deadline
            Monotonic time in seconds at which the wait ends.

        Returns
        -------
        set of BootId
            Those that have not applied it by the deadline.
        """
        while uninformed := {
            lease.entry.boot
            for lease in self.live_leases()
            if lease.entry.boot in boots and not lease.in_force.knows_loads(version)
        }:
            try:
                async with asyncio.timeout(remaining_time_s(deadline)):
                    async with self._changed:
                        await self._changed.wait()
            except TimeoutError:
                break
        return uninformed

    def _longest_wait_s(self, change: AppliedVersions) -> float:
        checked_at = now()
        waits_s = [self._earlier_leases_expire_at - checked_at]
        waits_s += [
            lease.expires_at - checked_at
            for lease in self._leases.values()
            if not lease.in_force.covers(change)
        ]
        return max(waits_s)
