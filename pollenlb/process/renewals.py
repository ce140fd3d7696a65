"""Renews an entry's lease, and with it the entry's views of the replicated state."""

from __future__ import annotations

import asyncio
import math
import time

import msgspec

from ..clock import Deadline, deadline_in, now, sleep_until
from ..connection.control_api import RenewAnswer, RenewRequest
from ..durable.leases import EntryHealth
from ..ids import BackendServerName
from .batch_runner import BatchRunner
from .context import EntryContext
from .loop_lag import LoopLag

# How long the leader may wait for a change before it answers a renewal.
_LONG_POLL_S = 0.6
_RENEWAL_TIMEOUT_S = 1.2
_RETRY_DELAY_S = 0.05
# A stopping process reports its last counts once; the rest of its grace is needed to
# close connections.
_LAST_REPORT_TIMEOUT_S = 0.3


class LeaseRenewer:
    """Renews the lease and applies changes until the process stops.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    batch_runner : BatchRunner
        Receives the batch jobs that the entry is to run.
    """

    def __init__(
        self,
        context: EntryContext,
        batch_runner: BatchRunner,
    ) -> None:
        self._context = context
        self._batch_runner = batch_runner
        self._lag = LoopLag()
        self._task: asyncio.Task | None = None
        self._was_leased = False
        self._limits_version = 0
        self._needs_load = False
        self._lacks_work = False
        self._interruptions = (
            batch_runner.engine_became_idle,
            batch_runner.contact_changed,
            context.directory.limit_shares.changed,
        )

    @property
    def _is_interrupted(self) -> bool:
        return any(event.is_set() for event in self._interruptions)

    def start(self) -> None:
        """Start the renewal task."""
        self._lag.start()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Cancel the renewal task, wait for its end and report the last counts."""
        self._lag.stop()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._context.usage.is_enabled:
            # Nothing is counted after the last report, so that no window waits for
            # another one.
            last = msgspec.structs.replace(
                self._request(), wait_s=0.0, usage_at_s=math.inf
            )
            answer = await self._context.control.renew_lease(
                last, _LAST_REPORT_TIMEOUT_S
            )
            if answer is None:
                self._context.events.record("usage.unreported")

    async def _run(self) -> None:
        while True:
            announced = set(self._context.announced_servers)
            sent_at = now()
            self._batch_runner.engine_became_idle.clear()
            self._batch_runner.contact_changed.clear()
            answer = await self._renew_until_interrupted()
            if answer is None and self._is_interrupted:
                continue
            if answer is None:
                self._record_lease_change()
                await sleep_until(deadline_in(_RETRY_DELAY_S))
                continue
            self._context.announced_servers -= announced
            self._apply(answer, sent_at)
            self._record_lease_change()

    async def _renew_until_interrupted(self) -> RenewAnswer | None:
        """Send a renewal and return its answer.

        Return None when no leader answers in time, and when an engine runs out of
        items, a limit changes, or this entry loses or finds the contact with backend
        servers first: the renewal is then cancelled, so that the next one reports
        this at once.
        """
        renewal = asyncio.create_task(
            self._context.control.renew_lease(self._request(), _RENEWAL_TIMEOUT_S)
        )
        waits = [asyncio.create_task(event.wait()) for event in self._interruptions]
        try:
            await asyncio.wait({renewal, *waits}, return_when=asyncio.FIRST_COMPLETED)
            return renewal.result() if renewal.done() else None
        finally:
            for wait in waits:
                wait.cancel()
            renewal.cancel()

    def _request(self) -> RenewRequest:
        context = self._context
        is_leased = context.configuration.is_leased
        usage_number, usage = context.usage.next_report()
        return RenewRequest(
            entry=context.identity,
            revision=context.configuration.revision,
            directory=context.directory.version,
            ledger=context.ledger.version,
            quarantine=context.quarantine.version,
            entries=context.live_entries.version,
            announced=sorted(context.announced_servers),
            wait_s=_LONG_POLL_S if is_leased and not self._lacks_work else 0.0,
            work=context.batch_jobs_version,
            health=EntryHealth(
                context.is_draining,
                self._lag.lag_s,
                self._batch_runner.batch_jobs,
                dict(self._batch_runner.running_items_by_server()),
                dict(self._batch_runner.waiting_items_by_model()),
                self._in_flight() if self._needs_load else {},
                self._batch_runner.is_stranded,
            ),
            limits=context.directory.report_limits(),
            limits_version=self._limits_version,
            usage=usage,
            usage_number=usage_number if context.usage.is_enabled else 0,
            usage_at_s=time.time() if context.usage.is_enabled else 0.0,
            loads=self._batch_runner.loads_version,
            lacks_work=self._lacks_work,
        )

    def _in_flight(self) -> dict[BackendServerName, int]:
        return {
            name: server.load.in_flight
            for name, server in self._context.directory.servers.items()
            if server.load.in_flight
        }

    def _apply(self, answer: RenewAnswer, sent_at: float) -> None:
        context = self._context
        if answer.configuration is not None:
            if context.configuration.apply(answer.configuration):
                context.events.record(
                    "configuration.applied", revision=answer.configuration.revision
                )
        context.control.set_members(answer.controls)
        if answer.directory is not None:
            context.directory.apply(answer.directory)
            self._batch_runner.wake()
        if answer.quarantine is not None:
            context.quarantine = answer.quarantine
        if answer.entries is not None:
            context.live_entries.apply(answer.entries)
        if answer.ledger is not None:
            context.ledger = answer.ledger
        if answer.loads is not None:
            self._batch_runner.apply_loads(answer.loads)
        self._lacks_work = answer.work is not None and answer.work.is_partial
        if answer.work is not None:
            self._batch_runner.apply(answer.work)
        leased_until = Deadline(sent_at + answer.lease_s)
        context.configuration.extend_lease(leased_until)
        context.directory.apply_limits(
            answer.limits, len(context.live_entries.all), leased_until
        )
        self._limits_version = answer.limits_version
        self._needs_load = answer.needs_load
        context.usage.configure(answer.usage_window_s, answer.usage_sealed)

    def _record_lease_change(self) -> None:
        is_leased = self._context.configuration.is_leased
        if is_leased != self._was_leased:
            self._was_leased = is_leased
            kind = "lease.held" if is_leased else "lease.lost"
            self._context.events.record(kind)
