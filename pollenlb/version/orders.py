"""Brings backend servers to the released weight versions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp

from ..clock import Deadline, deadline_in, now, remaining, sleep_until
from ..connection.sessions import open_session
from ..durable.batch_jobs import BatchJob
from ..durable.command_base import Refused
from ..durable.configuration_commands import (
    Announcement,
    NoteModelVersion,
    NoteOrder,
    ServerState,
)
from ..durable.leadership import Leadership
from ..exceptions import LogError
from ..ids import (
    BackendServerName,
    InstanceName,
    ModelName,
    Revision,
    ServiceName,
    WeightVersion,
)
from ..process.control_context import ControlContext
from ..settings.cluster import ClusterSettings, ServiceSettings
from .order_channel import EngineReport, OrderChannel, OrderOutcome, SwapOrder
from .swap_plan import EngineView, ModelGoal, Swap, next_swaps

_ROUND_S = 0.1
_FIRST_CHECK_S = 0.95  # a change of weights takes 0.9 s and more
_CHECK_AGAIN_S = 0.25
_ORDER_AGAIN_S = 10.0
_UNANSWERED_AGAIN_S = 1.0
_NEW_S = 0.6  # a trainer hands in its next step within this time of a release
_SEND_WINDOW_S = 0.5  # an order goes out this long after it was entered, or not
_NO_VERSION = WeightVersion(0)
_SILENT_S = 4.0  # an engine that announced nothing for longer gets no order


@dataclass
class _Pending:
    """An order whose effect has not been seen yet."""

    server: Announcement
    swap: Swap
    check_at: Deadline
    give_up_at: Deadline


class OrderIssuer:
    """Gives orders while its instance leads, and reads back what they did.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    channel : OrderChannel
        How backend servers are asked and told.
    """

    def __init__(self, context: ControlContext, channel: OrderChannel) -> None:
        self._context = context
        self._channel = channel
        self._session: aiohttp.ClientSession | None = None
        self._pending: dict[BackendServerName, _Pending] = {}
        self._leadership: Leadership | None = None
        self._seen: dict[BackendServerName, int] = {}
        self._seen_at: dict[BackendServerName, float] = {}
        self._own: set[int] = set()
        self._services_at = Revision(-1)
        self._services: dict[ServiceName, ServiceSettings] = {}
        self._releases: dict[ModelName, tuple[WeightVersion | None, float]] = {}

    async def run(self) -> None:
        """Give orders for as long as this instance leads."""
        self._session = open_session(is_pooled=True)
        while True:
            await sleep_until(deadline_in(_ROUND_S))
            self._note_records()
            leadership = self._context.replica.leadership
            if leadership is None or not leadership.is_ready:
                continue
            if leadership is not self._leadership:
                self._leadership = leadership
                self._pending.clear()
                self._own.clear()
            try:
                await self._check_pending()
                await self._give_orders(leadership)
            except LogError as error:
                self._context.events.record("orders.interrupted", reason=str(error))

    async def close(self) -> None:
        """Close connections."""
        if self._session is not None:
            await self._session.close()

    @property
    def _announcements(self) -> dict[BackendServerName, Announcement]:
        return self._context.machine.state.directory.servers

    def _note_records(self) -> None:
        for server, record in self._context.machine.state.directory.orders.items():
            if self._seen.get(server) != record.fencing:
                self._seen[server] = record.fencing
                self._seen_at[server] = now()

    async def _check_pending(self) -> None:
        for pending in list(self._pending.values()):
            await self._check(pending)

    async def _check(self, pending: _Pending) -> None:
        name = pending.server.server
        swap = pending.swap
        announced = self._announcements.get(name)
        is_gone = announced is None or announced.boot != pending.server.boot
        told = announced.models.get(swap.model) if announced is not None else None
        if is_gone or (told is not None and told >= swap.version):
            del self._pending[name]
            return
        if remaining(pending.check_at):
            return
        report = await self._report(pending.server)
        version = report.versions.get(swap.model) if report is not None else None
        if version is not None and version >= swap.version:
            del self._pending[name]
            await self._note_swapped(pending.server, swap.model, version)
        elif remaining(pending.give_up_at):
            pending.check_at = deadline_in(_CHECK_AGAIN_S)
        else:
            del self._pending[name]

    async def _note_swapped(
        self, server: Announcement, model: ModelName, version: WeightVersion
    ) -> None:
        self._context.events.record(
            "order.done", server=server.server, model=model, version=version
        )
        if server.models:
            command = NoteModelVersion(server.server, server.boot, model, version)
            await self._context.execute(command)

    async def _give_orders(self, leadership: Leadership) -> None:
        for name, service in self._configured_services().items():
            goals = self._goals(name, service)
            if goals and service.kind == "engine":
                await self._swap_service(name, service, goals, leadership)

    def _configured_services(self) -> dict[ServiceName, ServiceSettings]:
        """Return the services in force; they are checked once a revision."""
        table = self._context.machine.state.configuration
        if self._services_at != table.revision:
            self._services_at = table.revision
            self._services = ClusterSettings.check(table.document).unwrap().services
        return self._services

    def _goals(self, name: ServiceName, service: ServiceSettings) -> list[ModelGoal]:
        state = self._context.machine.state
        goals = []
        for model in service.models or [name]:
            released = state.directory.releases.get(model)
            is_told = bool(service.models)  # versions come with announcements
            if released is None and not is_told:
                continue
            # Other engines hold running streams while they change weights.
            open_jobs = [
                each
                for each in state.batch_jobs.batch_jobs.values()
                if is_told and each.is_open and each.spec.model == model
            ]
            specs = [each.spec for each in open_jobs]
            goals.append(
                ModelGoal(
                    ModelName(model),
                    released or WeightVersion(1),
                    max((each.least_version for each in specs), default=_NO_VERSION),
                    sum(len(each.spec.items) - len(each.results) for each in open_jobs),
                    sum(self._unstarted(each) for each in open_jobs),
                    any(each.is_single_version for each in specs),
                    is_told and now() < self._released_at(ModelName(model)) + _NEW_S,
                )
            )
        return goals

    def _released_at(self, model: ModelName) -> float:
        """Return when this process first saw the model's released version."""
        version = self._context.machine.state.directory.releases.get(model)
        known = self._releases.get(model)
        if known is None or known[0] != version:
            known = self._releases[model] = (version, now())
        return known[1]

    def _unstarted(self, batch_job: BatchJob) -> int:
        """Return how many items of a batch job may still be placed anywhere."""
        for lease in self._context.leader_state.leases.live_leases():
            if lease.entry.boot == batch_job.owner:
                if batch_job.spec.batch_job in lease.health.batch_jobs:
                    return lease.health.waiting.get(batch_job.spec.model, 0)
        return len(batch_job.spec.items) - len(batch_job.results)

    def _running(self, server: BackendServerName) -> int:
        leases = self._context.leader_state.leases.live_leases()
        return sum(each.health.running.get(server, 0) for each in leases)

    async def _swap_service(
        self,
        name: ServiceName,
        service: ServiceSettings,
        goals: list[ModelGoal],
        leadership: Leadership,
    ) -> None:
        servers = [
            each
            for each in self._announcements.values()
            if each.service == name
            and each.state is ServerState.SERVING
            and self._is_heard(each)
        ]
        if all(self._is_up_to_date(each, goals) for each in servers if each.models):
            servers = [each for each in servers if not each.models]
        views = [each for each in await self._views(servers) if each is not None]
        most = max(service.max_swaps, int(service.swap_share * len(views)))
        for swap in next_swaps(views, goals, most):
            server = self._announcements.get(swap.server)
            if server is not None and self._may_order(server, service):
                await self._order(server, swap, leadership)

    def _is_heard(self, server: Announcement) -> bool:
        duties = self._context.leader_state
        last = duties.announced_at.get(
            server.server, duties.leadership.election_started_at
        )
        return not server.started_at_ms or now() < last + _SILENT_S

    def _is_up_to_date(self, server: Announcement, goals: list[ModelGoal]) -> bool:
        return all(
            server.models.get(goal.model, WeightVersion(0)) >= goal.version
            for goal in goals
        )

    async def _views(self, servers: list[Announcement]) -> list[EngineView | None]:
        return await asyncio.gather(*(self._view(each) for each in servers))

    async def _view(self, server: Announcement) -> EngineView | None:
        is_swapping = server.server in self._pending
        if server.models:
            running = self._running(server.server)
            return EngineView(server.server, server.models, is_swapping, running)
        report = await self._report(server)
        if report is None:
            return None
        is_behind = is_swapping or report.is_busy
        return EngineView(server.server, report.versions, is_behind)

    async def _report(self, server: Announcement) -> EngineReport | None:
        assert self._session is not None
        return await self._channel.fetch_report(self._session, server)

    def _may_order(self, server: Announcement, service: ServiceSettings) -> bool:
        if service.checks_fencing:
            return True
        if self._seen.get(server.server) in self._own:
            return True
        # A backend server that takes any order must not hear two leaders.
        settings = self._context.settings
        lifetime_s = settings.order_lifetime_s * (1 + settings.clock_drift)
        seen_at = self._seen_at.get(server.server, float("-inf"))
        return now() > seen_at + lifetime_s + _SEND_WINDOW_S

    async def _order(
        self, server: Announcement, swap: Swap, leadership: Leadership
    ) -> None:
        report = await self._report(server)
        if report is None or report.is_busy:
            return
        fencing = self._context.machine.state.directory.fencing + 1
        entered_at = now()
        result = await self._context.execute(NoteOrder(server.server, fencing))
        if isinstance(result, Refused):
            return
        self._own.add(fencing)
        order = SwapOrder(
            server=server,
            model=swap.model,
            version=swap.version,
            mode=swap.mode,
            holder=InstanceName(self._context.settings.name),
            term=leadership.term,
            fencing=fencing,
            expected_orders=report.orders,
            lifetime_s=self._context.settings.order_lifetime_s,
        )
        await self._context.replica.confirm_leadership()
        is_led = self._context.replica.leadership is leadership
        if not is_led or now() > entered_at + _SEND_WINDOW_S:
            return
        self._pending[server.server] = _Pending(
            server,
            swap,
            deadline_in(_FIRST_CHECK_S),
            deadline_in(_ORDER_AGAIN_S),
        )
        assert self._session is not None
        outcome = await self._channel.send_order(self._session, order)
        self._context.events.record(
            "order.given",
            server=server.server,
            model=swap.model,
            version=swap.version,
            mode=swap.mode.value,
            fencing=fencing,
            expected_orders=report.orders,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.REFUSED:
            del self._pending[server.server]
        elif outcome is OrderOutcome.UNKNOWN:
            self._pending[server.server].give_up_at = deadline_in(_UNANSWERED_AGAIN_S)
