"""Leases of entries, and the news that entries get with their renewal."""

from __future__ import annotations

import asyncio

from ..clock import now
from ..connection.control_api import (
    CallStatus,
    EntriesView,
    LedgerView,
    RenewAnswer,
    RenewRequest,
    WorkView,
)
from ..durable.leases import AppliedVersions
from ..durable.views import (
    configuration_view,
    directory_view,
    ledger_view,
    quarantine_view,
)
from ..exceptions import NotLeaderError
from ..ids import Address
from .batch_job_service import build_batch_work
from .control_context import ControlContext, LeaderState

_VERSIONS_PER_TERM = 1_000_000


class LeaseService:
    """Answers renewals at the leader.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context
        self._entries_version = 0
        self._latest_ledger = LedgerView(-1, {})

    async def renew(self, request: RenewRequest) -> RenewAnswer:
        """Extend a lease and answer as soon as there is news."""
        context = self._context
        try:
            duties = context.leader_state
            if request.revision < 0 or not duties.leadership.is_ready:
                await context.replica.confirm_leadership()
            await self._note_entry(duties, request)
            await self._wait_for_news(request)
            return await self._renewed(duties, request)
        except NotLeaderError as error:
            return RenewAnswer(CallStatus.NOT_LEADER, Address(error.leader))

    async def entries_changed(self, duties: LeaderState) -> None:
        """Tell all entries that one began or ended."""
        least = duties.term * _VERSIONS_PER_TERM
        self._entries_version = max(self._entries_version + 1, least)
        async with self._context.views_changed:
            self._context.views_changed.notify_all()

    def ledger_view(self) -> LedgerView:
        """Return the view of the jobs, made once for each change."""
        version = self._context.machine.table_version("ledger")
        if self._latest_ledger.version != version:
            self._latest_ledger = ledger_view(self._context.machine)
        return self._latest_ledger

    async def _note_entry(self, duties: LeaderState, request: RenewRequest) -> None:
        known = {lease.entry for lease in duties.leases.live_leases()}
        contact_at = duties.leadership.last_quorum_contact_at
        await duties.leases.renew(
            request.entry, in_force_at(request), contact_at, request.health
        )
        for server in request.announced:
            duties.announced_at[server] = now()
        if request.entry not in known:
            self._context.events.record(
                "entry.joined", entry=request.entry.instance, boot=request.entry.boot
            )
            await self.entries_changed(duties)

    async def _wait_for_news(self, request: RenewRequest) -> None:
        try:
            async with asyncio.timeout(request.wait_s):
                async with self._context.views_changed:
                    while not self._has_news(request):
                        await self._context.views_changed.wait()
        except TimeoutError:
            return

    def _has_news(self, request: RenewRequest) -> bool:
        machine = self._context.machine
        return (
            request.revision < machine.state.configuration.revision
            or request.directory < machine.table_version("directory")
            or request.ledger < machine.table_version("ledger")
            or request.quarantine < machine.table_version("quarantine")
            or request.entries < self._entries_version
            or request.work < self._work_version(request)
        )

    def _work_version(self, request: RenewRequest) -> int:
        changed_at = self._context.machine.state.batch_jobs.changed_at
        return changed_at.get(request.entry.boot, 0)

    async def _renewed(self, duties: LeaderState, request: RenewRequest) -> RenewAnswer:
        replica = self._context.replica
        if replica.leadership is not duties.leadership:
            return RenewAnswer(CallStatus.NOT_LEADER, replica.leader_address)
        contact_at = duties.leadership.last_quorum_contact_at
        lease_s = await duties.leases.renew(
            request.entry, in_force_at(request), contact_at, request.health
        )
        machine = self._context.machine
        revision = machine.state.configuration.revision
        return RenewAnswer(
            CallStatus.DONE,
            leader=Address(self._context.settings.listen),
            lease_s=lease_s,
            configuration=(
                configuration_view(machine) if request.revision < revision else None
            ),
            directory=(
                directory_view(machine)
                if request.directory < machine.table_version("directory")
                else None
            ),
            ledger=(
                self.ledger_view()
                if request.ledger < machine.table_version("ledger")
                else None
            ),
            quarantine=(
                quarantine_view(machine)
                if request.quarantine < machine.table_version("quarantine")
                else None
            ),
            entries=(
                self._entries_view(duties)
                if request.entries < self._entries_version
                else None
            ),
            work=self._work_view(request),
            controls=[each.address for each in replica.storage.members],
        )

    def _entries_view(self, duties: LeaderState) -> EntriesView:
        entries = [lease.entry for lease in duties.leases.live_leases()]
        return EntriesView(self._entries_version, entries)

    def _work_view(self, request: RenewRequest) -> WorkView | None:
        version = self._work_version(request)
        if request.work >= version:
            return None
        owned = self._context.machine.state.batch_jobs.open_jobs_owned_by(
            request.entry.boot
        )
        return WorkView(
            version,
            [each.spec.batch_job for each in owned],
            [
                build_batch_work(each, self._context)
                for each in owned
                if each.spec.batch_job not in request.health.batch_jobs
                or each.changed_at > request.work
            ],
        )


def in_force_at(request: RenewRequest) -> AppliedVersions:
    """Return what an entry has in force by its renewal."""
    return AppliedVersions(request.revision, request.quarantine, request.directory)
