"""Renewal of entries' leases, and the changes that the answers carry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from ..clock import now
from ..connection.control_api import (
    CallStatus,
    EntriesView,
    LedgerView,
    RenewAnswer,
    RenewRequest,
    WorkView,
)
from ..connection.packed_views import PackedViews
from ..durable.leases import AppliedVersions
from ..durable.views import (
    build_configuration_view,
    build_directory_view,
    build_ledger_view,
    build_loads_view,
    build_quarantine_view,
)
from ..exceptions import NotLeaderError
from ..ids import Address, UsageWindow
from .batch_job_service import build_batch_work, count_jobs_in_one_answer
from .control_context import VERSIONS_PER_TERM, ControlContext, LeaderState


class LeaseService:
    """Grants leases and answers renewals while its instance leads.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context
        self._entries_version = 0
        self._cached_ledger_view = LedgerView(-1, {})
        self._packed_views = PackedViews()

    async def renew(self, request: RenewRequest) -> RenewAnswer:
        """Extend a lease, and answer when a view changes or the wait ends."""
        context = self._context
        try:
            leader_state = context.leader_state
            if request.revision < 0 or not leader_state.leadership.is_ready:
                await context.replica.confirm_leadership()
            await self._register_entry(leader_state, request)
            await self._wait_for_changes(leader_state, request)
            return await self._renewal_answer(leader_state, request)
        except NotLeaderError as error:
            return RenewAnswer(CallStatus.NOT_LEADER, Address(error.leader))

    async def notify_entries_changed(self, leader_state: LeaderState) -> None:
        """Raise the version of the view of entries, and wake waiting renewals.

        Called when an entry has joined, its lease has expired, or it has lost or
        found the contact with backend servers.
        """
        first_of_term = leader_state.term * VERSIONS_PER_TERM
        self._entries_version = max(self._entries_version + 1, first_of_term)
        async with self._context.views_changed:
            self._context.views_changed.notify_all()

    def ledger_view(self) -> LedgerView:
        """Return the view of the rollout jobs, cached until it changes."""
        version = self._context.machine.table_version("ledger")
        if self._cached_ledger_view.version != version:
            self._cached_ledger_view = build_ledger_view(self._context.machine)
        return self._cached_ledger_view

    async def _register_entry(
        self, leader_state: LeaderState, request: RenewRequest
    ) -> None:
        context = self._context
        leases = leader_state.leases.live_leases()
        known_entries = {lease.entry for lease in leases}
        was_stranded = any(
            lease.health.is_stranded for lease in leases if lease.entry == request.entry
        )
        contact_at = leader_state.leadership.last_quorum_contact_at
        await leader_state.leases.renew(
            request.entry, applied_versions_of(request), contact_at, request.health
        )
        if context.settings.reports_usage:
            leader_state.usage.record(request, context.events)
        for server in request.announced:
            leader_state.announced_at[server] = now()
        is_stranded = request.health.is_stranded
        if request.entry not in known_entries:
            self._context.events.record(
                "entry.joined", entry=request.entry.instance, boot=request.entry.boot
            )
        if request.entry not in known_entries or is_stranded != was_stranded:
            await self.notify_entries_changed(leader_state)
        if leader_state.limits.record_reports(request.entry.boot, request.limits):
            async with self._context.views_changed:
                self._context.views_changed.notify_all()

    async def _wait_for_changes(
        self, leader_state: LeaderState, request: RenewRequest
    ) -> None:
        try:
            async with asyncio.timeout(request.wait_s):
                async with self._context.views_changed:
                    while not self._has_changes(leader_state, request):
                        await self._context.views_changed.wait()
        except TimeoutError:
            return

    def _has_changes(self, leader_state: LeaderState, request: RenewRequest) -> bool:
        machine = self._context.machine
        limits = leader_state.limits
        return (
            request.revision < machine.state.configuration.revision
            or request.directory < machine.table_version("directory")
            or request.ledger < machine.table_version("ledger")
            or request.quarantine < machine.table_version("quarantine")
            or request.entries < self._entries_version
            or self._lacks_loads(request)
            or request.work < self._work_version(request)
            or bool(request.lacks_work)
            or request.limits_version != limits.version
            or bool(request.limits)
            and limits.is_share_outdated(
                request.entry.boot, request.limits, leader_state.leases.live_boots()
            )
        )

    def _lacks_loads(self, request: RenewRequest) -> bool:
        """Return whether an entry that has been given batch jobs lacks a load."""
        is_older = 0 <= request.loads < self._context.machine.table_version("loads")
        return is_older and self._work_version(request) > 0

    def _work_version(self, request: RenewRequest) -> int:
        changed_at = self._context.machine.state.batch_jobs.changed_at
        return changed_at.get(request.entry.boot, 0)

    async def _renewal_answer(
        self, leader_state: LeaderState, request: RenewRequest
    ) -> RenewAnswer:
        replica = self._context.replica
        if replica.leadership is not leader_state.leadership:
            return RenewAnswer(CallStatus.NOT_LEADER, replica.leader_address)
        contact_at = leader_state.leadership.last_quorum_contact_at
        # A later request may have reported another health during the wait.
        lease_s = await leader_state.leases.renew(
            request.entry, applied_versions_of(request), contact_at
        )
        answer = RenewAnswer(
            CallStatus.DONE,
            leader=Address(self._context.settings.listen),
            lease_s=lease_s,
            work=self._work_view(request),
            controls=[member.address for member in replica.storage.members],
            limits=(
                leader_state.limits.grant(
                    request.entry.boot, leader_state.leases.live_boots()
                )
                if lease_s
                else {}
            ),
            limits_version=leader_state.limits.version if lease_s else 0,
            needs_load=self._context.settings.scales_services,
            usage_window_s=(
                self._context.settings.usage_window_s
                if self._context.settings.reports_usage
                else 0.0
            ),
            usage_sealed=(
                self._context.machine.state.duties.next_window or UsageWindow(0)
            ),
        )
        changed = self._changed_views(leader_state, request)
        if not request.accepts_packed:
            views: dict[str, Any] = {name: build() for name, _, build in changed}
            return msgspec.structs.replace(answer, **views)
        packed = {
            name: self._packed_views.pack(
                name,
                version,
                build,
                name == "configuration" and self._has_workspaces(request),
            )
            for name, version, build in changed
        }
        return msgspec.structs.replace(answer, packed=packed)

    def _changed_views(
        self, leader_state: LeaderState, request: RenewRequest
    ) -> list[tuple[str, int, Callable[[], msgspec.Struct]]]:
        """Return name, version and builder of each view that the entry lacks."""
        machine = self._context.machine
        configuration = machine.state.configuration
        revision = configuration.revision
        views: list[tuple[str, int, int, Callable[[], msgspec.Struct]]] = [
            (
                "configuration",
                request.revision,
                revision,
                partial(
                    build_configuration_view, machine, self._has_workspaces(request)
                ),
            ),
            (
                "directory",
                request.directory,
                machine.table_version("directory"),
                partial(build_directory_view, machine),
            ),
            (
                "ledger",
                request.ledger,
                machine.table_version("ledger"),
                self.ledger_view,
            ),
            (
                "quarantine",
                request.quarantine,
                machine.table_version("quarantine"),
                partial(build_quarantine_view, machine),
            ),
            (
                "entries",
                request.entries,
                self._entries_version,
                partial(self._entries_view, leader_state),
            ),
        ]
        if self._lacks_loads(request):
            version = machine.table_version("loads")
            build = partial(build_loads_view, machine)
            views.append(("loads", request.loads, version, build))
        return [
            (name, version, build)
            for name, known, version, build in views
            if known < version
        ]

    def _has_workspaces(self, request: RenewRequest) -> bool:
        """Return whether an entry has the workspaces of the newest configuration."""
        changed_at = self._context.machine.state.configuration.workspaces_revision
        return 0 < changed_at <= request.revision

    def _entries_view(self, leader_state: LeaderState) -> EntriesView:
        leases = leader_state.leases.live_leases()
        return EntriesView(
            self._entries_version,
            [lease.entry for lease in leases],
            [lease.entry.boot for lease in leases if lease.health.is_stranded],
        )

    def _work_view(self, request: RenewRequest) -> WorkView | None:
        version = self._work_version(request)
        if request.work >= version and not request.lacks_work:
            return None
        owned = self._context.machine.state.batch_jobs.open_jobs_owned_by(
            request.entry.boot
        )
        held = set(request.health.batch_jobs)
        missing = [job for job in owned if job.spec.batch_job not in held]
        changed = [
            job
            for job in owned
            if job.spec.batch_job in held and job.changed_at > request.work
        ]
        sent = missing
        if request.lacks_work is not None:
            sent = missing[: count_jobs_in_one_answer(missing)]
        return WorkView(
            version,
            [job.spec.batch_job for job in owned],
            [build_batch_work(job, self._context) for job in (*changed, *sent)],
            is_partial=len(sent) < len(missing),
        )


def applied_versions_of(request: RenewRequest) -> AppliedVersions:
    """Return the versions that an entry has applied, as its renewal reports."""
    return AppliedVersions(
        request.revision, request.quarantine, request.directory, request.loads
    )
