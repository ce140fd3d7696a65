"""Duties: calls to the infrastructure's API, made by the leader of the log."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Awaitable, Callable

import aiohttp

from ..clock import Deadline, deadline_in, now, remaining_time_s, sleep_until
from ..connection.control_api import DutiesView
from ..connection.sessions import open_session
from ..durable.duties import DutyTable
from ..durable.duty_commands import (
    CloseUsage,
    DutyCall,
    OpenUsage,
    RecordUsage,
    SealUsage,
    SkipUsage,
    TakeDuties,
)
from ..durable.leadership import Leadership
from ..exceptions import LogError
from ..ids import Address, InstanceName, UsageWindow
from ..scheduling.usage_seal import SealAction, decide_seal
from .control_context import ControlContext
from .duty_channel import DutyChannel, DutyHolder, DutyResponse
from .replica_orders import ReplicaOrderer

_POLL_INTERVAL_S = 0.1
_RECORD_INTERVAL_S = 1.0
# Added to the time without calls before the first call of a new holder. The last
# call of the holder before it may be sent this long after its quorum was confirmed.
_SEND_WINDOW_S = 0.5
# A call is not sent later than this after the quorum was confirmed; the rest of the
# time above is left to connect.
_CONFIRMED_S = 0.25
# An entry process renews its lease at the new leader within this time.
_SETTLING_S = 2.0
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 1.0
# Reports of sealed windows are sent for this many times the time in which they are
# due.
_REPORT_KEPT_RATIO = 30
# Part of the calls that the API accepts in a second that this instance makes: those
# of the holder before may be counted with them.
_RATE_RATIO = 0.8
# Reports of entry processes that have been silent for longer are forgotten.
_REPORTER_KEPT_S = 60.0

SendCall = Callable[[DutyHolder], Awaitable[DutyResponse]]


class _Backoff:
    """Pauses after failed calls of one duty."""

    def __init__(self) -> None:
        self.retry_at = Deadline(0.0)
        self._failure_count = 0

    def record(self, response: DutyResponse) -> None:
        """Set when the next call of the duty may be made."""
        if response.is_accepted or response.is_refused:
            self._failure_count = 0
            return
        retry_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2**self._failure_count)
        self._failure_count = min(10, self._failure_count + 1)
        self.retry_at = deadline_in(response.retry_after_s or retry_s)


class DutyIssuer:
    """Carries out the duties while its instance leads.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    channel : DutyChannel
        Protocol of the calls.
    """

    def __init__(self, context: ControlContext, channel: DutyChannel) -> None:
        self._context = context
        self._channel = channel
        self._settings = context.settings
        self._name = InstanceName(context.settings.name)
        self._session: aiohttp.ClientSession | None = None
        self._leadership: Leadership | None = None
        # Infinite until this process has waited after it took the duties.
        self._may_call_at = Deadline(math.inf)
        self._next_call_at = Deadline(0.0)
        self._next_record_at = Deadline(0.0)
        self._last_call: DutyCall | None = None
        self._usage_backoff = _Backoff()
        replica_backoff = _Backoff()

        async def call(
            subject: str, send: SendCall, leadership: Leadership
        ) -> DutyResponse | None:
            return await self._call(subject, send, leadership, replica_backoff)

        self._replicas = ReplicaOrderer(context, channel, call)

    @property
    def _table(self) -> DutyTable:
        return self._context.machine.state.duties

    def view(self) -> DutiesView:
        """Return the state of the duties for operators."""
        table = self._table
        return DutiesView(
            table.holder,
            table.fencing,
            table.last_call,
            self._last_call,
            sorted(table.sealed_counts),
            self._replicas.views(),
        )

    async def run(self) -> None:
        """Carry out the duties whenever this instance leads, until cancelled."""
        # A connection is used once: one that is cut while it is idle would deliver a
        # call when it is restored, maybe after a call of the next holder.
        self._session = open_session(is_pooled=False)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._repeat(self._maintain))
            if self._settings.reports_usage:
                tasks.create_task(self._repeat(self._send_next_report))
            if self._settings.scales_services:
                tasks.create_task(self._repeat(self._order_replicas))

    async def close(self) -> None:
        """Close the connections to the API."""
        if self._session is not None:
            await self._session.close()

    async def _repeat(self, step: Callable[[Leadership], Awaitable[None]]) -> None:
        while True:
            await sleep_until(deadline_in(_POLL_INTERVAL_S))
            leadership = self._context.replica.leadership
            if leadership is None or not leadership.is_ready:
                continue
            try:
                await step(leadership)
            except LogError as error:
                self._context.events.record("duties.interrupted", reason=str(error))

    async def _maintain(self, leadership: Leadership) -> None:
        if leadership is not self._leadership:
            await self._take_duties()
            self._leadership = leadership
        if self._settings.reports_usage:
            await self._open_usage()
            if not remaining_time_s(self._next_record_at):
                self._next_record_at = deadline_in(_RECORD_INTERVAL_S)
                await self._record_usage()
            await self._seal_windows(leadership)

    async def _take_duties(self) -> None:
        """Become the holder, and wait until no call of the one before can arrive.

        A process that is the last holder keeps its number: no other instance has
        made a call since. After a restart it waits again, since the process before
        may not have waited long enough.
        """
        is_holder = self._table.holder == self._name
        if is_holder and self._may_call_at < math.inf:
            return
        is_first = not self._table.holder
        if not is_holder:
            await self._context.execute(TakeDuties(self._name))
        wait_s = self._settings.duty_lease_ms / 1000 * (1 + self._settings.clock_drift)
        self._may_call_at = deadline_in(0.0 if is_first else wait_s + _SEND_WINDOW_S)
        self._context.events.record(
            "duties.taken", fencing=self._table.fencing, is_first=is_first
        )

    async def _open_usage(self) -> None:
        if self._table.next_window is not None:
            return
        leases = self._context.leader_state.leases.live_leases()
        if leases:
            since_s = time.time() - (now() - min(lease.since for lease in leases))
            await self._context.execute(OpenUsage(self._window_at(since_s)))

    def _window_at(self, wall_s: float) -> UsageWindow:
        return UsageWindow(int(wall_s // self._settings.usage_window_s))

    async def _record_usage(self) -> None:
        usage = self._context.leader_state.usage
        usage.forget(now() - _REPORTER_KEPT_S)
        if changes := usage.changes(self._table):
            await self._context.execute(RecordUsage(changes))

    async def _seal_windows(self, leadership: Leadership) -> None:
        window = self._table.next_window
        if window is None:
            return
        leader_state = self._context.leader_state
        length_s = self._settings.usage_window_s
        live = [lease.entry for lease in leader_state.leases.live_leases()]
        settled_at = leadership.election_started_at + _SETTLING_S
        decision = decide_seal(
            window_end_s=(window + 1) * length_s,
            wall_s=time.time(),
            late_s=self._settings.usage_late_s,
            reporters=leader_state.usage.reporters(live, window * length_s),
            is_settled=now()
            >= max(settled_at, leader_state.leases.earlier_leases_expire_at),
        )
        if decision.action is SealAction.SKIP:
            ended_s = time.time() - self._settings.usage_late_s
            before = self._window_at(ended_s)
            self._context.events.record("usage.skipped", first=window, before=before)
            await self._context.execute(SkipUsage(before))
        elif decision.action is SealAction.SEAL:
            while changes := leader_state.usage.changes(self._table, window):
                await self._context.execute(RecordUsage(changes))
            leader_state.usage.record_sealed(window, self._table)
            await self._context.execute(SealUsage(window))
            self._context.events.record(
                "usage.sealed",
                window=window,
                requests=sum(self._table.sealed_counts.get(window, {}).values()),
                unknown_of=decision.missing,
            )

    async def _send_next_report(self, leadership: Leadership) -> None:
        wall_s = time.time()
        windows = sorted(
            self._table.sealed_counts,
            key=lambda each: (self._is_late(each, wall_s), each),
        )
        if not windows:
            return
        window = windows[0]
        end_s = (window + 1) * self._settings.usage_window_s
        if wall_s > end_s + _REPORT_KEPT_RATIO * self._settings.usage_late_s:
            self._context.events.record("usage.given_up", window=window)
            await self._context.execute(CloseUsage(window))
            return
        counts = dict(self._table.sealed_counts[window])

        async def send(holder: DutyHolder) -> DutyResponse:
            assert self._session is not None
            address = Address(self._settings.duty_address)
            return await self._channel.send_usage(
                self._session, address, holder, window, counts
            )

        response = await self._call(
            f"usage {window}", send, leadership, self._usage_backoff
        )
        if response is not None and response.is_accepted:
            call = DutyCall(
                f"usage {window}", time.time_ns() // 1_000_000, response.status
            )
            await self._context.execute(CloseUsage(window, call))

    async def _order_replicas(self, leadership: Leadership) -> None:
        assert self._session is not None
        await self._replicas.step(self._session, leadership)

    def _is_late(self, window: UsageWindow, wall_s: float) -> bool:
        end_s = (window + 1) * self._settings.usage_window_s
        return wall_s > end_s + self._settings.usage_late_s

    def _may_call(self, leadership: Leadership) -> bool:
        return (
            leadership is self._leadership
            and self._context.replica.leadership is leadership
            and self._table.holder == self._name
            and now() >= max(self._may_call_at, self._next_call_at)
        )

    async def _call(
        self,
        subject: str,
        send: SendCall,
        leadership: Leadership,
        backoff: _Backoff,
    ) -> DutyResponse | None:
        """Make a call if this instance certainly holds the duties.

        Returns
        -------
        DutyResponse or None
            The response; None if the call was not sent.
        """
        if remaining_time_s(backoff.retry_at) or not self._may_call(leadership):
            return None
        confirmed_at = now()
        await self._context.replica.confirm_leadership()
        if not self._may_call(leadership) or now() > confirmed_at + _CONFIRMED_S:
            return None
        holder = DutyHolder(self._name, self._table.fencing)
        pause_s = 1 / (_RATE_RATIO * self._settings.duty_per_s)
        self._next_call_at = deadline_in(pause_s)
        response = await send(holder)
        backoff.record(response)
        at_ms = time.time_ns() // 1_000_000
        self._last_call = DutyCall(subject, at_ms, response.status)
        self._context.events.record(
            "duty.called",
            subject=subject,
            fencing=holder.fencing,
            status=response.status,
            reason=response.reason,
        )
        return response
