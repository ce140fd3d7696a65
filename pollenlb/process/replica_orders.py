"""Orders of numbers of backend servers, from the load that entries report."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp

from ..clock import Deadline, deadline_in, now, remaining_time_s
from ..connection.control_api import ReplicaView
from ..durable.configuration_commands import Announcement, ServerState
from ..durable.duties import ReplicaOrder
from ..durable.duty_commands import (
    DutyCall,
    EndReplicaOrder,
    OrderReplicas,
    ReplicaSubject,
)
from ..durable.leadership import Leadership
from ..ids import Address, FailureDomain, Revision, ServiceName
from ..scheduling.replicas import (
    CountOrder,
    DemandSample,
    DomainServers,
    ScalingRules,
    plan_order,
)
from ..settings.cluster import ClusterSettings, ServiceSettings
from .control_context import ControlContext
from .duty_channel import DutyChannel, DutyHolder, DutyResponse

_SAMPLE_INTERVAL_S = 0.5
# A server that has not announced itself for longer may be cut off; its failure domain
# keeps what it has.
_CONTACT_TIMEOUT_S = 4.0
# The first numbers are those that were announced unchanged for this long: an order
# gives a total, so that one from a number that is too low would remove servers.
_STABLE_S = 10.0
# A new server has to announce itself within this many start-up times.
_STARTING_RATIO = 2.0
_MIN_STARTING_S = 5.0
# Reclaimable servers that were refused or reclaimed are not ordered again sooner.
_UNAVAILABLE_S = 30.0
# Requests of plain services come at random times and wait for each other above this
# use of slots. Items of batch jobs are sent only to free slots, which may all be used.
_PLAIN_USE = 0.8

SendCall = Callable[[DutyHolder], Awaitable[DutyResponse]]
MakeCall = Callable[[str, SendCall, Leadership], Awaitable[DutyResponse | None]]


@dataclass
class _ObservedService:
    """What this leader has observed of a service.

    Attributes
    ----------
    samples : deque of DemandSample
        Recent demand, oldest first.
    counts : dict
        Announced servers of each kind.
    changed_at : dict
        Monotonic time in seconds of the last change of such a number.
    next_change_at : Deadline
        When the next number may be changed.
    """

    samples: deque[DemandSample] = field(default_factory=lambda: deque(maxlen=2000))
    counts: dict[tuple[FailureDomain, bool], int] = field(default_factory=dict)
    changed_at: dict[FailureDomain, float] = field(default_factory=dict)
    next_change_at: Deadline = Deadline(0.0)


class ReplicaOrderer:
    """Samples the load of each service, and orders numbers of servers.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    channel : DutyChannel
        Protocol of the calls.
    make_call : callable
        Makes a call if this instance holds the duties.
    """

    def __init__(
        self, context: ControlContext, channel: DutyChannel, make_call: MakeCall
    ) -> None:
        self._context = context
        self._channel = channel
        self._make_call = make_call
        self._leadership: Leadership | None = None
        self._services: dict[ServiceName, _ObservedService] = {}
        self._unavailable: dict[ReplicaSubject, Deadline] = {}
        self._sample_at = Deadline(0.0)
        self._revision = Revision(-1)
        self._scaled: dict[ServiceName, ServiceSettings] = {}

    async def step(
        self, session: aiohttp.ClientSession, leadership: Leadership
    ) -> None:
        """Send an order that has no response yet, or decide on the next one."""
        if leadership is not self._leadership:
            self._leadership = leadership
            self._services.clear()
            self._unavailable.clear()
        for order in self._context.machine.state.duties.replica_orders:
            if order.call is None:
                await self._send(order, session, leadership)
                return
        if remaining_time_s(self._sample_at):
            return
        self._sample_at = deadline_in(_SAMPLE_INTERVAL_S)
        for name, settings in self._scaled_services().items():
            await self._decide(name, settings)

    def views(self) -> list[ReplicaView]:
        """Return the servers of scaled services, ordered and present."""
        state = self._context.machine.state
        present: dict[ReplicaSubject, int] = {
            order.subject: 0 for order in state.duties.replica_orders
        }
        for server in state.directory.servers.values():
            subject = ReplicaSubject(
                server.service, server.failure_domain, server.is_reclaimable
            )
            is_scaled = server.service in self._scaled_services()
            if is_scaled and server.state is ServerState.SERVING:
                present[subject] = present.get(subject, 0) + 1
        views = []
        for subject, count in present.items():
            order = state.duties.replica_order(subject)
            call = order.call if order is not None else None
            views.append(
                ReplicaView(
                    subject.service,
                    subject.failure_domain,
                    subject.is_reclaimable,
                    order.count if order is not None else None,
                    count,
                    order.reason if order is not None else "",
                    call.status if call is not None else None,
                )
            )
        return sorted(views, key=lambda view: (view.service, view.failure_domain))

    def _scaled_services(self) -> dict[ServiceName, ServiceSettings]:
        """Return the services that may be scaled, validated once per revision."""
        table = self._context.machine.state.configuration
        if self._revision != table.revision:
            self._revision = table.revision
            services = ClusterSettings.check(table.document).unwrap().services
            self._scaled = {
                name: settings
                for name, settings in services.items()
                if settings.max_servers > 0
            }
        return self._scaled

    async def _decide(self, name: ServiceName, settings: ServiceSettings) -> None:
        observed = self._services.setdefault(name, _ObservedService())
        servers = [
            server
            for server in self._context.machine.state.directory.servers.values()
            if server.service == name and server.state is ServerState.SERVING
        ]
        if not servers:
            return
        self._observe_counts(observed, servers)
        running = self._running(servers)
        observed.samples.append(
            DemandSample(
                now(),
                sum(running.values()),
                self._waiting(settings.models or [name]),
                len(self._context.leader_state.leases.live_leases()),
            )
        )
        if remaining_time_s(observed.next_change_at):
            return
        rules = _rules(settings)
        order = plan_order(
            rules,
            min(server.slots for server in servers),
            observed.samples,
            self._domains(name, rules, observed, servers, running),
            {
                (subject.failure_domain, subject.is_reclaimable)
                for subject, until in self._unavailable.items()
                if subject.service == name and remaining_time_s(until)
            },
            now(),
        )
        if order is not None:
            observed.next_change_at = deadline_in(rules.start_s)
            await self._order(name, order, observed)

    def _observe_counts(
        self, observed: _ObservedService, servers: list[Announcement]
    ) -> None:
        counts: dict[tuple[FailureDomain, bool], int] = {
            key: 0 for key in observed.counts
        }
        for server in servers:
            key = (server.failure_domain, server.is_reclaimable)
            counts[key] = counts.get(key, 0) + 1
        for key, count in counts.items():
            if observed.counts.get(key) != count:
                observed.changed_at[key[0]] = now()
        observed.counts = counts

    def _running(self, servers: list[Announcement]) -> dict[FailureDomain, int]:
        domains = {server.server: server.failure_domain for server in servers}
        running = dict.fromkeys(domains.values(), 0)
        for lease in self._context.leader_state.leases.live_leases():
            for name, count in lease.health.in_flight.items():
                if name in domains:
                    running[domains[name]] += count
        return running

    def _waiting(self, models: list[str]) -> int:
        """Return the items that wait, with those of batch jobs that nobody runs yet."""
        leases = self._context.leader_state.leases.live_leases()
        waiting = sum(
            count
            for lease in leases
            for model, count in lease.health.waiting.items()
            if model in models
        )
        run = {job for lease in leases for job in lease.health.batch_jobs}
        for batch_job in self._context.machine.state.batch_jobs.batch_jobs.values():
            spec = batch_job.spec
            if batch_job.is_open and spec.batch_job not in run and spec.model in models:
                waiting += len(spec.items) - len(batch_job.results)
        return waiting

    def _domains(
        self,
        name: ServiceName,
        rules: ScalingRules,
        observed: _ObservedService,
        servers: list[Announcement],
        running: dict[FailureDomain, int],
    ) -> list[DomainServers]:
        views = []
        for domain in sorted({key[0] for key in observed.counts}):
            regular = self._ordered(name, domain, False, observed, rules)
            reclaimable = self._ordered(name, domain, True, observed, rules)
            present = sum(
                observed.counts.get((domain, each), 0) for each in (False, True)
            )
            absent = max(0, regular + reclaimable - present)
            starts_until = observed.changed_at.get(domain, 0.0) + _starting_s(rules)
            is_starting = absent > 0 and (
                now()
                < max(starts_until, self._ordered_at(name, domain) + _starting_s(rules))
            )
            is_stable = now() >= observed.changed_at.get(domain, now()) + _STABLE_S
            has_order = any(
                order.subject.service == name and order.subject.failure_domain == domain
                for order in self._context.machine.state.duties.replica_orders
            )
            views.append(
                DomainServers(
                    domain,
                    regular,
                    reclaimable,
                    present,
                    absent if is_starting else 0,
                    running.get(domain, 0),
                    is_certain=(
                        (has_order or is_stable)
                        and regular + reclaimable == present
                        and all(
                            self._is_in_contact(server)
                            for server in servers
                            if server.failure_domain == domain
                        )
                    ),
                )
            )
        return views

    def _ordered_at(self, name: ServiceName, domain: FailureDomain) -> float:
        """Return the monotonic time of the last order of a domain, in seconds."""
        ages_s = [
            time.time() - order.at_ms / 1000
            for order in self._context.machine.state.duties.replica_orders
            if order.subject.service == name and order.subject.failure_domain == domain
        ]
        return now() - min(ages_s) if ages_s else 0.0

    def _ordered(
        self,
        name: ServiceName,
        domain: FailureDomain,
        is_reclaimable: bool,
        observed: _ObservedService,
        rules: ScalingRules,
    ) -> int:
        """Return the number that is in force.

        Reclaimable servers that are gone count no more once they had the time to
        start again.
        """
        subject = ReplicaSubject(name, domain, is_reclaimable)
        present = observed.counts.get((domain, is_reclaimable), 0)
        order = self._context.machine.state.duties.replica_order(subject)
        if order is None:
            return present
        is_old = now() > self._ordered_at(name, domain) + _starting_s(rules)
        return min(order.count, present) if is_reclaimable and is_old else order.count

    def _is_in_contact(self, server: Announcement) -> bool:
        leader_state = self._context.leader_state
        last_at = leader_state.announced_at.get(
            server.server, leader_state.leadership.election_started_at
        )
        return now() < last_at + _CONTACT_TIMEOUT_S

    async def _order(
        self, name: ServiceName, order: CountOrder, observed: _ObservedService
    ) -> None:
        subject = ReplicaSubject(name, order.domain, order.is_reclaimable)
        known = self._context.machine.state.duties.replica_order(subject)
        present = observed.counts.get((order.domain, order.is_reclaimable), 0)
        earlier = known.count if known is not None else present
        self._context.events.record(
            "replicas.decided",
            service=name,
            failure_domain=order.domain,
            is_reclaimable=order.is_reclaimable,
            earlier=earlier,
            count=order.count,
            reason=order.reason,
        )
        await self._context.execute(
            OrderReplicas(subject, order.count, earlier, order.reason)
        )

    async def _send(
        self,
        order: ReplicaOrder,
        session: aiohttp.ClientSession,
        leadership: Leadership,
    ) -> None:
        subject, count = order.subject, order.count
        kind = "reclaimable" if subject.is_reclaimable else "regular"
        about = f"replicas {subject.service} {subject.failure_domain} {kind} {count}"

        async def send(holder: DutyHolder) -> DutyResponse:
            address = Address(self._context.settings.duty_address)
            return await self._channel.order_replicas(
                session, address, holder, subject, count
            )

        response = await self._make_call(about, send, leadership)
        if response is None or not (response.is_accepted or response.is_refused):
            return
        if response.is_refused:
            self._unavailable[subject] = deadline_in(_UNAVAILABLE_S)
        await self._context.execute(
            EndReplicaOrder(
                subject,
                count,
                response.is_accepted,
                DutyCall(about, time.time_ns() // 1_000_000, response.status),
            )
        )


def _rules(settings: ServiceSettings) -> ScalingRules:
    return ScalingRules(
        settings.min_servers,
        settings.max_servers,
        settings.start_s,
        settings.reclaimable_price,
        settings.domain_prices,
        _PLAIN_USE if settings.kind == "plain" else 1.0,
    )


def _starting_s(rules: ScalingRules) -> float:
    return max(_MIN_STARTING_S, _STARTING_RATIO * rules.start_s)
