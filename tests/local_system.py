"""A small system whose control instances and entries run in the test process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import aiohttp
from result import Err

from fakes.engine import FakeEngine
from fakes.plain_service import FakePlainService
from fakes.ports import free_ports
from fakes.relay import Relay
from pollenlb.commands.control import format_data_folder
from pollenlb.connection.rpc import CallFailure, Method, RpcChannel
from pollenlb.ids import Address
from pollenlb.process.control import ControlProcess
from pollenlb.process.entry import EntryProcess
from pollenlb.request.native_protocol import native_protocol
from pollenlb.settings.control import ControlSettings
from pollenlb.settings.entry import EntrySettings

FAILURE_DOMAINS = ("north", "centre", "south")
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01

CONTROL_OPTIONS = {
    "heartbeat_s": 0.05,
    "election_timeout_s": 0.3,
    "lease_s": 1.5,
    "order_lifetime_s": 0.5,
}
ENTRY_OPTIONS = {
    "probe_interval_s": 0.2,
    "usable_s": 1.5,
    "balancer_delay_s": 0.1,
    "progress_timeout_s": 5.0,
    "shutdown_grace_s": 5.0,
}
SERVICES = {
    "model": {"kind": "engine", "checks_fencing": True, "max_swaps": 10},
    "shop": {"kind": "plain"},
}
ROUTES = {
    "model": {"service": "model", "path_prefix": "/v1", "repeatable": True},
    "shop": {"service": "shop", "path_prefix": "/shop", "repeatable": True},
    "billing": {"service": "shop", "path_prefix": "/billing"},
}


async def wait_until(
    condition: Callable[[], object], timeout_s: float = WAIT_TIMEOUT_S
) -> None:
    """Poll a condition until it is true.

    Raises
    ------
    TimeoutError
        When it is not true within ``timeout_s`` seconds.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)


def control_settings(folder: Path, count: int, **options) -> list[ControlSettings]:
    """Return the settings of the control instances of a new cluster."""
    ports = free_ports(count)
    members = {
        f"control-{i}": {
            "address": f"127.0.0.1:{ports[i]}",
            "failure_domain": FAILURE_DOMAINS[i % 3],
        }
        for i in range(count)
    }
    return [
        ControlSettings.check(
            {
                "name": name,
                "failure_domain": member["failure_domain"],
                "listen": member["address"],
                "data_folder": str(folder / name),
                "members": members,
                **CONTROL_OPTIONS,
                **options,
            }
        ).unwrap()
        for name, member in members.items()
    ]


class CutChannel:
    """Channel to a peer that cannot be reached: each call ends with its timeout."""

    def __init__(self, address: Address) -> None:
        self.address = address

    async def call(
        self, method: Method, request: object, timeout_s: float
    ) -> Err[CallFailure]:
        """Return the failure of a call that nobody answers."""
        await asyncio.sleep(timeout_s)
        return Err(CallFailure("DEADLINE_EXCEEDED: the connection is cut"))

    async def close(self) -> None:
        """Do nothing, since no connection is open."""


class LocalSystem:
    """Control instances, entries and fake backend servers in one event loop.

    Parameters
    ----------
    folder : Path
        Parent of all data folders.
    controls, entries, engines, plain_services : int
        Number of each to start.
    control_options, entry_options : dict or None
        Settings of every control instance and entry, on top of the defaults here.
    engine_options : dict or None
        Keyword arguments of every ``FakeEngine``.
    services : dict or None
        Configuration of each service by name, ``SERVICES`` by default.
    is_relaying : bool
        Whether entries take the requests of others that reach no backend server.

    Attributes
    ----------
    relays : list of Relay
        All relays, in the order in which they were started.
    """

    def __init__(
        self,
        folder: Path,
        controls: int = 1,
        entries: int = 2,
        engines: int = 0,
        plain_services: int = 0,
        control_options: dict | None = None,
        engine_options: dict | None = None,
        entry_options: dict | None = None,
        services: dict | None = None,
        is_relaying: bool = False,
    ) -> None:
        self.folder = folder
        self._process_counts = (controls, entries, engines, plain_services)
        self.control_options = control_options or {}
        self.engine_options = engine_options or {}
        self.entry_options = entry_options or {}
        self.services = services or SERVICES
        self.is_relaying = is_relaying
        self.controls: list[ControlProcess] = []
        self.entries: list[EntryProcess] = []
        self.engines: list[FakeEngine] = []
        self.plain_services: list[FakePlainService] = []
        self.relays: list[Relay] = []
        self.session: aiohttp.ClientSession

    @property
    def leader(self) -> ControlProcess:
        """The control process that is the Raft leader."""
        return next(control for control in self.controls if control.replica.leadership)

    def url(self, number: int, path: str = "") -> str:
        """Return the URL of a path at an entry."""
        return f"http://{self.entries[number].context.identity.http}{path}"

    async def start(self) -> None:
        """Start everything and wait until all backend servers are usable."""
        controls, entries, engines, plain_services = self._process_counts
        self.session = aiohttp.ClientSession()
        for settings in control_settings(self.folder, controls, **self.control_options):
            await format_data_folder(settings)
            process = ControlProcess(settings)
            await process.start()
            self.controls.append(process)
        for number in range(entries):
            await self.add_entry(number)
        await wait_until(
            lambda: all(entry.context.configuration.is_leased for entry in self.entries)
        )
        await self.change_configuration(
            {**_flatten("services", self.services), **_flatten("routes", ROUTES)}
        )
        for number in range(engines):
            await self.add_engine(f"engine-{number}", **self.engine_options)
        for number in range(plain_services):
            await self.add_plain_service(f"plain-{number}")
        names = [backend.name for backend in (*self.engines, *self.plain_services)]
        await self.wait_until_usable(names)

    async def stop(self) -> None:
        """Stop all processes, backend servers and relays."""
        await self.session.close()
        await asyncio.gather(*(entry.stop() for entry in self.entries))
        for backend in (*self.engines, *self.plain_services):
            await backend.stop()
        for control in self.controls:
            await control.stop()
        for relay in self.relays:
            await relay.stop()

    async def add_control_relays(self, number: int) -> list[Relay]:
        """Route an entry's connections to the control instances through new relays."""
        context = self.entries[number].context
        relays = []
        for control in self.controls:
            address = control.replica.settings.listen
            relay = await self.add_relay(int(address.rpartition(":")[2]))
            channel = RpcChannel(f"127.0.0.1:{relay.port}", context.events)
            await context.control._channels[address].close()
            context.control._channels[address] = channel
            relays.append(relay)
        return relays

    def split_controls(
        self, one_side: list[ControlProcess], other_side: list[ControlProcess]
    ) -> None:
        """Cut the connections between two groups of control instances.

        Entries still reach both groups.
        """
        for group, others in ((one_side, other_side), (other_side, one_side)):
            for control in group:
                for other in others:
                    address = Address(other.replica.settings.listen)
                    control.replica._channels[address] = CutChannel(address)

    async def add_relay(self, port: int) -> Relay:
        """Start a relay to a port of the loopback address."""
        relay = Relay(port)
        await relay.start()
        self.relays.append(relay)
        return relay

    async def crash_entry(self, number: int) -> None:
        """Stop an entry as a crash would and remove it from ``entries``.

        Its connections are aborted, and it neither drains nor renews its lease.
        """
        entry = self.entries.pop(number)
        await entry._lease_renewer.stop()
        for connection in list(entry._http._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        entry._settings.values["shutdown_grace_s"] = 0.0
        entry._settings.values["balancer_delay_s"] = 0.0
        entry._http._runner._shutdown_timeout = 0.01
        await entry.stop()

    async def get(self, number: int, path: str, **headers: str) -> tuple:
        """Send a GET request to an entry; return status, outcome and JSON body."""
        return await self.send_request("GET", number, path, headers)

    async def send_request(
        self, method: str, number: int, path: str, headers: dict, **options
    ) -> tuple:
        """Send a request to an entry; return status, outcome and JSON body."""
        async with self.session.request(
            method, self.url(number, path), headers=headers, **options
        ) as response:
            outcome = response.headers.get("Pollenlb-Outcome")
            return response.status, outcome, await response.json()

    async def add_entry(self, number: int) -> EntryProcess:
        """Start an entry process and add it to ``entries``."""
        port, relay_port = free_ports(2)
        relay = {"relay_listen": f"127.0.0.1:{relay_port}"} if self.is_relaying else {}
        settings = EntrySettings.check(
            {
                "name": f"entry-{number}",
                "failure_domain": FAILURE_DOMAINS[number % 3],
                "listen": f"127.0.0.1:{port}",
                "control": [
                    control.replica.settings.listen for control in self.controls
                ],
                "data_folder": str(self.folder / f"entry-{number}"),
                **relay,
                **ENTRY_OPTIONS,
                **self.entry_options,
            }
        ).unwrap()
        process = EntryProcess(settings, native_protocol())
        await process.start()
        self.entries.append(process)
        return process

    async def add_engine(
        self,
        name: str,
        is_relayed: bool = False,
        port: int = 0,
        software: str = "",
        **options,
    ) -> FakeEngine:
        """Start a fake engine, which announces the port of a relay if relayed."""
        port = port or free_ports(1)[0]
        urls = self._entry_urls()
        engine = FakeEngine(name, "model", "north", port, urls, slots=8, **options)
        engine.software = software
        if is_relayed:
            engine.announced_port = (await self.add_relay(port)).port
        await engine.start()
        self.engines.append(engine)
        return engine

    async def add_plain_service(
        self, name: str, is_relayed: bool = False, domain: str = "north"
    ) -> FakePlainService:
        """Start a fake plain service, which announces a relay's port if relayed."""
        (port,) = free_ports(1)
        plain_service = FakePlainService(
            name, "shop", domain, port, self._entry_urls(), slots=8
        )
        if is_relayed:
            plain_service.announced_port = (await self.add_relay(port)).port
        await plain_service.start()
        self.plain_services.append(plain_service)
        return plain_service

    async def wait_until_usable(self, names: list[str]) -> None:
        """Wait until the named backend servers are usable at every entry."""
        await wait_until(
            lambda: all(
                name in entry.context.directory.servers
                and entry.context.directory.servers[name].is_usable
                for entry in self.entries
                for name in names
            )
        )

    async def change_configuration(self, changes: dict) -> dict:
        """Change the configuration and return the answer of the entry."""
        url = self.url(0, "/pollenlb/v1/operator/configuration")
        async with self.session.post(url, json={"changes": changes}) as response:
            assert response.status == 200, await response.text()
            return await response.json()

    def _entry_urls(self) -> list[str]:
        return [self.url(number) for number in range(len(self.entries))]


def _flatten(name: str, tables: dict) -> dict:
    """Return nested tables as changes, with keys such as ``routes.shop.service``."""
    return {
        f"{name}.{table}.{key}": value
        for table, options in tables.items()
        for key, value in options.items()
    }
