"""Leases of entry processes, held by a leader in memory."""

from __future__ import annotations

import asyncio

import msgspec

from ..clock import Deadline, now, remaining
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
from .key_commands import Claimant


class EntryInfo(msgspec.Struct, frozen=True):
    """One entry process, as it names itself.

    Attributes
    ----------
    http : Address
        HTTP address for callers and operators.
    """

    instance: InstanceName
    boot: BootId
    http: Address
    failure_domain: FailureDomain

    @property
    def claimant(self) -> Claimant:
        """The process as one that claims something for itself."""
        return Claimant(self.instance, self.boot)


class AppliedVersions(msgspec.Struct, frozen=True):
    """How far an entry has put changes in force.

    Attributes
    ----------
    revision : Revision
        Revision of the configuration.
    quarantine : int
        Version of the quarantine.
    directory : int
        Version of the directory of backend servers.
    """

    revision: Revision = Revision(0)
    quarantine: int = 0
    directory: int = 0

    def covers(self, other: AppliedVersions) -> bool:
        """Whether all that another one has in force is in force here too."""
        return (
            self.revision >= other.revision
            and self.quarantine >= other.quarantine
            and self.directory >= other.directory
        )


class EntryHealth(msgspec.Struct, frozen=True):
    """How an entry process does, by its own account.

    Attributes
    ----------
    lag_s : float
        How late its event loop ran what was due, in seconds, smoothed.
    batch_jobs : list of BatchJobId
        Batch jobs that it runs.
    running : dict
        Items of these that it runs, by engine.
    waiting : dict
        Items of these that wait for a slot, by model.
    """

    is_draining: bool = False
    lag_s: float = 0.0
    batch_jobs: list[BatchJobId] = []
    running: dict[BackendServerName, int] = {}
    waiting: dict[ModelName, int] = {}


class Lease(msgspec.Struct):
    """What a leader granted to one entry process.

    Attributes
    ----------
    expires_at : float
        Monotonic seconds of the leader at which no clock within the stated
        drift still counts the lease as valid.
    in_force : AppliedVersions
        What the entry has in force.
    since : float
        Monotonic time at which it was first granted, in seconds.
    """

    entry: EntryInfo
    expires_at: Deadline
    in_force: AppliedVersions
    since: float
    health: EntryHealth = EntryHealth()


class LeaseTable:
    """Leases granted in one term.

    A lease lasts from the last time at which a quorum followed the leader.
    Leases of earlier terms are unknown, so nothing counts as expired before
    the longest of them has run out.

    Parameters
    ----------
    lease_s : float
        Length of a lease in seconds.
    clock_drift : float
        Greatest difference in speed of two clocks, as a share.
    started_at : float
        Monotonic time at which the term began, in seconds.
    """

    def __init__(self, lease_s: float, clock_drift: float, started_at: float) -> None:
        self._lease_s = lease_s
        self._guarded_s = lease_s * (1 + clock_drift) / (1 - clock_drift)
        self._unknown_until = Deadline(started_at + self._guarded_s)
        self._leases: dict[BootId, Lease] = {}
        self._changed = asyncio.Condition()

    @property
    def earlier_leases_expire_at(self) -> Deadline:
        """Deadline of the leases that earlier leaders may have granted."""
        return self._unknown_until

    async def renew(
        self,
        entry: EntryInfo,
        in_force: AppliedVersions,
        quorum_contact_at: float,
        health: EntryHealth = EntryHealth(),
    ) -> float:
        """Extend an entry's lease and return its length in seconds.

        Parameters
        ----------
        entry : EntryInfo
            The entry process.
        in_force : AppliedVersions
            What it has in force.
        quorum_contact_at : float
            Monotonic time at which a quorum last followed this leader.
        health : EntryHealth
            How it does.
        """
        left_s = self._lease_s - (now() - quorum_contact_at)
        if left_s <= 0:
            return 0.0
        expires_at = Deadline(quorum_contact_at + self._guarded_s)
        known = self._leases.get(entry.boot)
        since = known.since if known is not None else now()
        self._leases[entry.boot] = Lease(entry, expires_at, in_force, since, health)
        self._end_earlier_boots(entry)
        async with self._changed:
            self._changed.notify_all()
        return left_s

    def _end_earlier_boots(self, entry: EntryInfo) -> None:
        # A process that runs again at its instance has ended before.
        for lease in self._leases.values():
            is_same_place = lease.entry.instance == entry.instance
            if is_same_place and lease.entry.boot != entry.boot:
                lease.expires_at = Deadline(0.0)

    def live_leases(self) -> list[Lease]:
        """Return the leases that may still be in use."""
        moment = now()
        return [each for each in self._leases.values() if each.expires_at > moment]

    def remove_expired(self) -> list[EntryInfo]:
        """Remove leases that no entry can still use and return their entries."""
        moment = now()
        expired = [
            lease.entry for lease in self._leases.values() if lease.expires_at <= moment
        ]
        for entry in expired:
            del self._leases[entry.boot]
        return expired

    async def wait_until_applied(
        self, change: AppliedVersions, deadline: Deadline
    ) -> None:
        """Return once every entry with a live lease has a change in force.

        Raises
        ------
        ControlError
            When the deadline passes before.
        """
        while (behind := self._behind(change)) > 0:
            if not remaining(deadline):
                raise ControlError("a change is not in force everywhere in time")
            try:
                async with asyncio.timeout(min(behind, remaining(deadline)) + 0.001):
                    async with self._changed:
                        await self._changed.wait()
            except TimeoutError:
                continue

    def _behind(self, change: AppliedVersions) -> float:
        moment = now()
        waits = [self._unknown_until - moment]
        waits += [
            lease.expires_at - moment
            for lease in self._leases.values()
            if not lease.in_force.covers(change)
        ]
        return max(waits)
