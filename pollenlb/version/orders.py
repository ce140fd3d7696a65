"""Orders backend servers to load the released weight versions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp

from ..clock import Deadline, deadline_in, now, remaining_time_s, sleep_until
from ..connection.sessions import open_session
from ..durable.batch_jobs import BatchJob
from ..durable.command_base import Refused
from ..durable.configuration_commands import (
    AbandonLoad,
    Announcement,
    NoteModelVersion,
    NoteOrder,
    ServerState,
)
from ..durable.leadership import Leadership
from ..exceptions import LogError
from ..ids import (
    BackendServerName,
    BootId,
    InstanceName,
    ModelName,
    Revision,
    ServiceName,
    WeightVersion,
)
from ..process.control_context import ControlContext
from ..scheduling.swap_plan import EngineView, ModelGoal, Swap, next_swaps
from ..settings.cluster import ClusterSettings, ServiceSettings
from .engine_division import EngineDivider
from .order_channel import EngineReport, OrderChannel, OrderOutcome, SwapOrder

_POLL_INTERVAL_S = 0.1
# A change of weights takes at least 0.9 s, so asking earlier whether it is done
# would be useless.
_FIRST_CHECK_DELAY_S = 0.95
_CHECK_INTERVAL_S = 0.25
# An order that has had no effect within this time may be issued again.
_ORDER_RETRY_S = 10.0
# The same for an order to which the backend server did not respond.
_UNANSWERED_RETRY_S = 1.0
# A trainer submits its next step within this time after a release.
_NEW_RELEASE_S = 0.6
# An order is sent within this time after its log entry was proposed, or not at
# all.
_SEND_WINDOW_S = 0.5
# Owners of batch jobs get this long to learn of a load before its order is sent. A
# renewal takes a few milliseconds; an owner that does not answer delays orders only
# by this much, within the send window.
_OWNER_NOTICE_S = 0.15
# A load that this leader does not track, as after a change of leader, is abandoned
# after this time. Owners stop waiting for it by their own clocks.
_UNTRACKED_LOAD_S = 4.0
# An engine that refused an order, or got items before its owner knew of the load,
# gets the next order after this pause, so that owners may use it meanwhile.
_REFUSED_ORDER_PAUSE_S = 0.5
_NO_VERSION = WeightVersion(0)
# An engine whose last announcement is older gets no order. Engines that do not
# report the start of their process are exempt.
_ANNOUNCEMENT_TIMEOUT_S = 4.0


@dataclass
class _PendingOrder:
    """An order whose effect has not been observed yet.

    Attributes
    ----------
    check_at : Deadline
        When the backend server is next asked for its version.
    abandon_at : Deadline
        When the order is dropped, so that another one may be issued.
    """

    server: Announcement
    swap: Swap
    fencing: int
    check_at: Deadline
    abandon_at: Deadline


@dataclass(frozen=True)
class _RecordedOrder:
    """An order that is recorded in the log and not sent yet.

    Attributes
    ----------
    report : EngineReport
        Report of the engine before the order was recorded.
    proposed_at : float
        Monotonic time in seconds just before the record was proposed.
    """

    server: Announcement
    swap: Swap
    fencing: int
    report: EngineReport
    proposed_at: float


class OrderIssuer:
    """Issues orders while its instance leads, and checks their effect.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    channel : OrderChannel
        Protocol in which backend servers report and receive orders.
    """

    def __init__(self, context: ControlContext, channel: OrderChannel) -> None:
        self._context = context
        self._channel = channel
        self._session: aiohttp.ClientSession | None = None
        self._pending: dict[BackendServerName, _PendingOrder] = {}
        self._leadership: Leadership | None = None
        self._observed_fencing: dict[BackendServerName, int] = {}
        self._observed_at: dict[BackendServerName, float] = {}
        self._own_fencing: set[int] = set()
        self._divider = EngineDivider(context)
        self._paused_until: dict[BackendServerName, Deadline] = {}
        self._services_revision = Revision(-1)
        self._services: dict[ServiceName, ServiceSettings] = {}
        self._observed_releases: dict[ModelName, tuple[WeightVersion | None, float]] = (
            {}
        )

    async def run(self) -> None:
        """Issue orders whenever this instance leads; runs until it is cancelled."""
        self._session = open_session(is_pooled=True)
        while True:
            await sleep_until(deadline_in(_POLL_INTERVAL_S))
            self._observe_orders()
            leadership = self._context.replica.leadership
            if leadership is None or not leadership.is_ready:
                continue
            if leadership is not self._leadership:
                self._leadership = leadership
                self._pending.clear()
                self._own_fencing.clear()
                self._divider = EngineDivider(self._context)
            try:
                await self._check_pending()
                await self._abandon_untracked_loads()
                await self._issue_orders(leadership)
            except LogError as error:
                self._context.events.record("orders.interrupted", reason=str(error))

    async def close(self) -> None:
        """Close the connections to backend servers."""
        if self._session is not None:
            await self._session.close()

    @property
    def _announcements(self) -> dict[BackendServerName, Announcement]:
        return self._context.machine.state.directory.servers

    def _observe_orders(self) -> None:
        for server, record in self._context.machine.state.directory.orders.items():
            if self._observed_fencing.get(server) != record.fencing:
                self._observed_fencing[server] = record.fencing
                self._observed_at[server] = now()

    async def _check_pending(self) -> None:
        for pending in list(self._pending.values()):
            await self._check_order(pending)

    async def _check_order(self, pending: _PendingOrder) -> None:
        name = pending.server.server
        swap = pending.swap
        announced = self._announcements.get(name)
        is_stopped = announced is None or announced.boot != pending.server.boot
        reported = announced.models.get(swap.model) if announced is not None else None
        if is_stopped or (reported is not None and reported >= swap.version):
            del self._pending[name]
            return
        if remaining_time_s(pending.check_at):
            return
        report = await self._fetch_report(pending.server)
        version = report.versions.get(swap.model) if report is not None else None
        if version is not None and version >= swap.version:
            del self._pending[name]
            await self._record_swap(pending.server, swap.model, version)
        elif remaining_time_s(pending.abandon_at):
            pending.check_at = deadline_in(_CHECK_INTERVAL_S)
        else:
            del self._pending[name]
            if report is None or not report.is_busy:
                await self._abandon_load(name, pending.fencing, "no effect")

    async def _abandon_untracked_loads(self) -> None:
        """Abandon loads that failed after a change of leader or without a response."""
        planned = self._context.machine.state.directory.planned_loads()
        for server, record in planned.items():
            observed_at = self._observed_at.get(server, now())
            is_old = now() > observed_at + _UNTRACKED_LOAD_S
            if server not in self._pending and is_old:
                await self._abandon_load(server, record.fencing, "not tracked")

    async def _abandon_load(
        self, server: BackendServerName, fencing: int, reason: str
    ) -> None:
        """Tell owners of batch jobs that an engine does not load a version."""
        record = self._context.machine.state.directory.orders.get(server)
        if record is None or record.fencing != fencing or not record.model:
            return
        self._context.events.record(
            "load.abandoned",
            server=server,
            model=record.model,
            version=record.version,
            fencing=fencing,
            reason=reason,
        )
        await self._context.execute(AbandonLoad(server, fencing))

    async def _record_swap(
        self, server: Announcement, model: ModelName, version: WeightVersion
    ) -> None:
        self._context.events.record(
            "order.done", server=server.server, model=model, version=version
        )
        if server.models:
            command = NoteModelVersion(server.server, server.boot, model, version)
            await self._context.execute(command)

    async def _issue_orders(self, leadership: Leadership) -> None:
        for name, service in self._configured_services().items():
            goals = self._goals(name, service)
            if goals and service.kind == "engine":
                await self._issue_service_orders(name, service, goals, leadership)

    def _configured_services(self) -> dict[ServiceName, ServiceSettings]:
        """Return the configured services, validated once per revision."""
        table = self._context.machine.state.configuration
        if self._services_revision != table.revision:
            self._services_revision = table.revision
            self._services = ClusterSettings.check(table.document).unwrap().services
        return self._services

    def _goals(self, name: ServiceName, service: ServiceSettings) -> list[ModelGoal]:
        state = self._context.machine.state
        goals = []
        for model in service.models or [name]:
            released = state.directory.releases.get(model)
            announces_versions = bool(service.models)
            if released is None and not announces_versions:
                continue
            # Engines that do not announce versions pause their running streams
            # while they change weights, so batch jobs need not be considered.
            open_jobs = [
                batch_job
                for batch_job in state.batch_jobs.batch_jobs.values()
                if announces_versions
                and batch_job.is_open
                and batch_job.spec.model == model
            ]
            specs = [batch_job.spec for batch_job in open_jobs]
            goals.append(
                ModelGoal(
                    ModelName(model),
                    released or WeightVersion(1),
                    max((spec.least_version for spec in specs), default=_NO_VERSION),
                    sum(len(job.spec.items) - len(job.results) for job in open_jobs),
                    sum(self._waiting_item_count(job) for job in open_jobs),
                    any(spec.is_single_version for spec in specs),
                    announces_versions
                    and now() < self._released_at(ModelName(model)) + _NEW_RELEASE_S,
                )
            )
        return goals

    def _released_at(self, model: ModelName) -> float:
        """Return when this process first observed the model's released version.

        The time is in monotonic seconds.
        """
        version = self._context.machine.state.directory.releases.get(model)
        observed = self._observed_releases.get(model)
        if observed is None or observed[0] != version:
            observed = self._observed_releases[model] = (version, now())
        return observed[1]

    def _waiting_item_count(self, batch_job: BatchJob) -> int:
        """Return how many items wait for a slot, as the owner of a batch job reports.

        The owner reports them by model, so items of its other batch jobs of the
        model are included. All open items of the batch job count until the owner
        reports that it runs it.
        """
        for lease in self._context.leader_state.leases.live_leases():
            if lease.entry.boot == batch_job.owner:
                if batch_job.spec.batch_job in lease.health.batch_jobs:
                    return lease.health.waiting.get(batch_job.spec.model, 0)
        return len(batch_job.spec.items) - len(batch_job.results)

    def _running_item_count(self, server: BackendServerName) -> int:
        leases = self._context.leader_state.leases.live_leases()
        return sum(lease.health.running.get(server, 0) for lease in leases)

    async def _issue_service_orders(
        self,
        name: ServiceName,
        service: ServiceSettings,
        goals: list[ModelGoal],
        leadership: Leadership,
    ) -> None:
        servers = [
            server
            for server in self._announcements.values()
            if server.service == name
            and server.state is ServerState.SERVING
            and self._is_announcing(server)
        ]
        assigned = await self._divide_engines(name, servers, goals)
        if all(
            self._is_up_to_date(server, goals) for server in servers if server.models
        ):
            servers = [server for server in servers if not server.models]
        views = [view for view in await self._engine_views(servers) if view is not None]
        max_swaps = max(service.max_swaps, int(service.swap_share * len(views)))
        swaps = [
            (server, swap)
            for swap in next_swaps(views, goals, max_swaps, assigned)
            if (server := self._announcements.get(swap.server)) is not None
            and self._may_order(server, service)
            and not self._is_paused(server)
        ]
        if swaps:
            recorded = await self._record_orders(swaps)
            uninformed = await self._inform_owners(recorded)
            goals = self._goals(name, service)
            due = [order for order in recorded if self._is_still_due(order, goals)]
            for order in recorded:
                if order not in due:
                    await self._give_up_order(order, "in use")
            await self._send_orders(due, len(uninformed), leadership)

    async def _divide_engines(
        self, name: ServiceName, servers: list[Announcement], goals: list[ModelGoal]
    ) -> dict[BackendServerName, ModelName] | None:
        """Return the model of each engine; None for the even division."""
        if len(goals) < 2 or not servers or not all(each.models for each in servers):
            return None
        views = [view for view in await self._engine_views(servers) if view is not None]
        return await self._divider.divide(name, servers, views, goals)

    def _is_announcing(self, server: Announcement) -> bool:
        leader_state = self._context.leader_state
        last_at = leader_state.announced_at.get(
            server.server, leader_state.leadership.election_started_at
        )
        return not server.started_at_ms or now() < last_at + _ANNOUNCEMENT_TIMEOUT_S

    def _is_up_to_date(self, server: Announcement, goals: list[ModelGoal]) -> bool:
        return all(
            server.models.get(goal.model, WeightVersion(0)) >= goal.version
            for goal in goals
        )

    async def _engine_views(
        self, servers: list[Announcement]
    ) -> list[EngineView | None]:
        return await asyncio.gather(*(self._engine_view(server) for server in servers))

    async def _engine_view(self, server: Announcement) -> EngineView | None:
        is_swapping = server.server in self._pending
        if server.models:
            running_items = self._running_item_count(server.server)
            return EngineView(server.server, server.models, is_swapping, running_items)
        report = await self._fetch_report(server)
        if report is None:
            return None
        is_busy = is_swapping or report.is_busy
        return EngineView(server.server, report.versions, is_busy)

    async def _fetch_report(self, server: Announcement) -> EngineReport | None:
        assert self._session is not None
        self._context.record_call(server.server)
        return await self._channel.fetch_report(self._session, server)

    def _may_order(self, server: Announcement, service: ServiceSettings) -> bool:
        if service.checks_fencing:
            return True
        if self._observed_fencing.get(server.server) in self._own_fencing:
            return True
        # A backend server that does not check fencing numbers must not receive
        # orders of two leaders: wait until an order of another leader can neither
        # be sent nor be valid any more on any clock within the stated drift.
        settings = self._context.settings
        lifetime_s = settings.order_lifetime_s * (1 + settings.clock_drift)
        observed_at = self._observed_at.get(server.server, float("-inf"))
        return now() > observed_at + lifetime_s + _SEND_WINDOW_S

    async def _record_orders(
        self, swaps: list[tuple[Announcement, Swap]]
    ) -> list[_RecordedOrder]:
        """Record the orders to engines that report that they are not busy."""
        reports = await asyncio.gather(
            *(self._fetch_report(server) for server, _ in swaps)
        )
        recorded = []
        for (server, swap), report in zip(swaps, reports, strict=True):
            if report is None or report.is_busy:
                continue
            fencing = self._context.machine.state.directory.fencing + 1
            command = NoteOrder(server.server, fencing)
            if server.models:
                command = NoteOrder(
                    server.server, fencing, server.boot, swap.model, swap.version
                )
            proposed_at = now()
            result = await self._context.execute(command)
            if isinstance(result, Refused):
                continue
            self._own_fencing.add(fencing)
            recorded.append(_RecordedOrder(server, swap, fencing, report, proposed_at))
        return recorded

    async def _inform_owners(self, recorded: list[_RecordedOrder]) -> set[BootId]:
        """Wait until the owners of batch jobs know of the loads.

        Returns
        -------
        set of BootId
            Owners that have a lease and do not know of them in time.
        """
        owners = self._context.machine.state.batch_jobs.open_job_owners()
        if not owners or not any(order.server.models for order in recorded):
            return set()
        return await self._context.leader_state.leases.wait_until_loads_known(
            owners,
            self._context.machine.table_version("loads"),
            deadline_in(_OWNER_NOTICE_S),
        )

    def _is_still_due(self, order: _RecordedOrder, goals: list[ModelGoal]) -> bool:
        """Return whether an engine is to load a version once owners are informed.

        An owner may have placed items on an idle engine before it was informed. The
        engine would refuse others until these end.
        """
        if not order.server.models or self._is_too_old(order, goals):
            return True
        return not self._running_item_count(order.server.server)

    def _is_too_old(self, order: _RecordedOrder, goals: list[ModelGoal]) -> bool:
        version = order.server.models.get(order.swap.model, WeightVersion(0))
        return any(
            goal.model == order.swap.model
            and goal.open_items
            and version < goal.least_version
            for goal in goals
        )

    def _is_paused(self, server: Announcement) -> bool:
        paused_until = self._paused_until.get(server.server, Deadline(0.0))
        return remaining_time_s(paused_until) > 0

    async def _give_up_order(self, order: _RecordedOrder, reason: str) -> None:
        name = order.server.server
        if order.server.models:
            self._paused_until[name] = deadline_in(_REFUSED_ORDER_PAUSE_S)
        await self._abandon_load(name, order.fencing, reason)

    async def _send_orders(
        self,
        recorded: list[_RecordedOrder],
        uninformed_count: int,
        leadership: Leadership,
    ) -> None:
        results = await asyncio.gather(
            *(
                self._send_order(order, uninformed_count, leadership)
                for order in recorded
            ),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result

    async def _send_order(
        self, recorded: _RecordedOrder, uninformed_count: int, leadership: Leadership
    ) -> None:
        server = recorded.server
        swap = recorded.swap
        order = SwapOrder(
            server=server,
            model=swap.model,
            version=swap.version,
            mode=swap.mode,
            holder=InstanceName(self._context.settings.name),
            term=leadership.term,
            fencing=recorded.fencing,
            expected_orders=recorded.report.orders,
            lifetime_s=self._context.settings.order_lifetime_s,
        )
        await self._context.replica.confirm_leadership()
        if self._context.replica.leadership is not leadership:
            return
        if now() > recorded.proposed_at + _SEND_WINDOW_S:
            await self._abandon_load(server.server, recorded.fencing, "not sent")
            return
        pending = self._pending[server.server] = _PendingOrder(
            server,
            swap,
            recorded.fencing,
            deadline_in(_FIRST_CHECK_DELAY_S),
            deadline_in(_ORDER_RETRY_S),
        )
        assert self._session is not None
        self._context.record_call(server.server)
        outcome = await self._channel.send_order(self._session, order)
        self._context.events.record(
            "order.given",
            server=server.server,
            model=swap.model,
            version=swap.version,
            mode=swap.mode.value,
            fencing=recorded.fencing,
            expected_orders=recorded.report.orders,
            uninformed_owners=uninformed_count,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.REFUSED:
            del self._pending[server.server]
            await self._give_up_order(recorded, "refused")
        elif outcome is OrderOutcome.UNKNOWN:
            pending.abandon_at = deadline_in(_UNANSWERED_RETRY_S)
