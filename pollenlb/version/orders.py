"""Brings backend servers to the released weight versions."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from ..connection.backend_api import ORDER_PATH, PROBE_PATH, ProbeAnswer, decode_probe
from ..connection.sessions import ConnectionLostError, open_session
from ..durable.configuration_commands import Announcement, ServerState
from ..durable.leadership import Leadership
from ..durable.machine import Machine
from ..durable.replica import Replica
from ..exceptions import LogError
from ..ids import BackendServerName, ServiceName, WeightVersion
from ..process.clock import Deadline, deadline_in, now, remaining, sleep_until
from ..process.events import EventLog
from ..settings.cluster import ClusterSettings, ServiceSettings
from ..settings.control import ControlSettings
from .order_api import FencingNumber, Order, OrderKind, encode_order

_ROUND_S = 0.25
_PROBE_TIMEOUT_S = 1.0
_ORDER_TIMEOUT_S = 2.0
_ORDER_AGAIN_S = 10.0
_HTTP_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)


class OrderIssuer:
    """Gives orders while its instance leads, and reads back what they did.

    Parameters
    ----------
    settings : ControlSettings
        Lifetime of orders.
    replica : Replica
        Tells whether this instance leads.
    machine : Machine
        The released versions and the announced backend servers.
    events : EventLog
        Gets each order and its end.
    """

    def __init__(
        self,
        settings: ControlSettings,
        replica: Replica,
        machine: Machine,
        events: EventLog,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._machine = machine
        self._events = events
        self._session: aiohttp.ClientSession | None = None
        self._sequence = 0
        self._swapping: dict[BackendServerName, Deadline] = {}
        self._leadership: Leadership | None = None

    async def run(self) -> None:
        """Give orders for as long as this instance leads."""
        self._session = open_session(is_pooled=True)
        while True:
            await sleep_until(deadline_in(_ROUND_S))
            leadership = self._replica.leadership
            if leadership is None or not leadership.is_ready:
                continue
            if leadership is not self._leadership:
                self._leadership = leadership
                self._swapping.clear()
            await self._give_orders(leadership)

    async def close(self) -> None:
        """Close connections."""
        if self._session is not None:
            await self._session.close()

    async def _give_orders(self, leadership: Leadership) -> None:
        state = self._machine.state
        services = ClusterSettings.check(state.configuration.document).unwrap().services
        for name, version in list(state.directory.releases.items()):
            service = services.get(name)
            if service is None or service.kind != "engine":
                continue
            if self._may_order(service, leadership):
                await self._swap_service(name, service, version, leadership)

    def _may_order(self, service: ServiceSettings, leadership: Leadership) -> bool:
        if service.checks_fencing:
            return True
        # A backend server that takes any order must not hear two leaders.
        wait_s = self._settings.lease_s + self._settings.order_lifetime_s
        wait_s *= 1 + self._settings.clock_drift
        return now() > leadership.started_at + wait_s

    async def _swap_service(
        self,
        name: ServiceName,
        service: ServiceSettings,
        version: WeightVersion,
        leadership: Leadership,
    ) -> None:
        servers = [
            each
            for each in self._machine.state.directory.servers.values()
            if each.service == name and each.state is ServerState.SERVING
        ]
        probes = await asyncio.gather(*(self._probe(each) for each in servers))
        behind = []
        for server, probe in zip(servers, probes):
            if probe is not None and probe.version == version:
                self._note_swapped(server, version)
            elif probe is not None and probe.state is ServerState.SERVING:
                behind.append(server)
        for server in behind:
            if self._busy() >= service.max_swaps:
                return
            if not remaining(self._swapping.get(server.server, Deadline(0.0))):
                await self._order(server, version, leadership)

    def _busy(self) -> int:
        return sum(remaining(until) > 0 for until in self._swapping.values())

    def _note_swapped(self, server: Announcement, version: WeightVersion) -> None:
        if self._swapping.pop(server.server, None) is not None:
            self._events.record("order.done", server=server.server, version=version)

    async def _probe(self, server: Announcement) -> ProbeAnswer | None:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S)
        url = f"http://{server.address}{PROBE_PATH}"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return decode_probe(await response.read())
        except (*_HTTP_ERRORS, msgspec.MsgspecError):
            return None

    async def _order(
        self, server: Announcement, version: WeightVersion, leadership: Leadership
    ) -> None:
        try:
            await self._replica.confirm_reads()
        except LogError:
            return
        valid_until = leadership.quorum_contact_at + self._settings.lease_s
        self._sequence += 1
        fencing = FencingNumber(leadership.term, self._sequence)
        lifetime_ms = int(1000 * self._settings.order_lifetime_s)
        order = Order(OrderKind.SWAP, version, fencing, lifetime_ms)
        if self._replica.leadership is not leadership or now() > valid_until:
            return
        self._swapping[server.server] = deadline_in(_ORDER_AGAIN_S)
        status = await self._send(server, order)
        self._events.record(
            "order.given",
            server=server.server,
            version=version,
            fencing=f"{fencing.term}.{fencing.sequence}",
            status=status,
        )
        if status >= 400:
            self._swapping[server.server] = deadline_in(_ROUND_S)

    async def _send(self, server: Announcement, order: Order) -> int:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)
        url = f"http://{server.address}{ORDER_PATH}"
        try:
            async with self._session.post(
                url, data=encode_order(order), timeout=timeout
            ) as response:
                return response.status
        except _HTTP_ERRORS:
            return 0
