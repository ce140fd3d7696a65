"""Control instances, entry processes and engines on the platform, in one event loop."""

from __future__ import annotations

import asyncio
import base64
import shutil
from pathlib import Path

import aiohttp

from fakes.platform_engine import PlatformEngine
from fakes.platform_scorer import PlatformScorer
from fakes.ports import free_ports
from fakes.relay import Relay
from pollenlb.commands.control import format_bootstrap_folder
from pollenlb.platform.control import make_control_application
from pollenlb.platform.duties import PlatformDutyChannel
from pollenlb.platform.entry_protocol import platform_protocol
from pollenlb.platform.orders import PlatformOrderChannel
from pollenlb.process.control import ControlProcess
from pollenlb.process.entry import EntryProcess
from pollenlb.process.metrics import Metrics
from pollenlb.process.usage_meter import UsageMeter
from pollenlb.settings.control import ControlSettings
from pollenlb.settings.entry import EntrySettings

from ..local_system import FAILURE_DOMAINS, wait_until

HOST = "h.example"
ROLLOUT_PATH_PREFIX = "/rollouts/"
MODEL = "model-a"


def configuration(version: int = 1, **options) -> dict:
    """Return a configuration in the platform's format.

    Parameters
    ----------
    version : int
        Version of the configuration.
    **options
        Keys of the route of batch jobs that are changed.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": "r-rollouts",
                "host": HOST,
                "path_prefix": ROLLOUT_PATH_PREFIX,
                "kind": "rollout",
                "timeout_ms": 10000,
                "target_latency_ms": 400,
                "priority": 1,
                "service": "engines",
                "max_attempts": 3,
                "max_queue_s": 40.0,
                "due_ms": 7500,
                "single_version": False,
                "sticky": True,
                "resumable": True,
                **options,
            },
            {
                "name": "r-safe",
                "host": HOST,
                "path_prefix": "/safe/",
                "kind": "safe",
                "timeout_ms": 2000,
                "target_latency_ms": 200,
                "service": "engines",
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": "engines",
                "health_path": "/healthz",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 8, "models": [{"name": MODEL}]},
            }
        ],
        "limits": {"idle_timeout_ms": 15000},
    }


def batch_job(lengths: dict[str, int], **options) -> dict:
    """Return a batch job in the platform's format.

    Parameters
    ----------
    lengths : dict
        Number of events that an item generates, by its id.
    **options
        Keys of the batch job that are changed.
    """
    return {
        "step": 0,
        "model": MODEL,
        "min_version": 1,
        "group_count": 1,
        "requests": [
            {
                "id": item,
                "path": ROLLOUT_PATH_PREFIX + item,
                "headers": {"X-Model": MODEL, "X-Length-Hint": str(length)},
                "body": base64.b64encode(b"%d" % length).decode(),
                "tokens": length,
                "group": "g",
            }
            for item, length in lengths.items()
        ],
        **options,
    }


class PlatformSystem:
    """A small system that speaks the platform's protocol.

    Parameters
    ----------
    folder : Path
        Parent of the data folders of all instances.
    controls, entries, engines : int
        Number of control instances, entry processes and engines to start.
    control_options : dict, optional
        Control settings that are changed.
    """

    def __init__(
        self,
        folder: Path,
        controls: int = 1,
        entries: int = 2,
        engines: int = 2,
        control_options: dict | None = None,
    ) -> None:
        self.control_options = control_options or {}
        self.folder = folder
        self.counts = (controls, entries, engines)
        self.controls: list[ControlProcess] = []
        self.entries: list[EntryProcess] = []
        self.engines: list[PlatformEngine] = []
        self.scorers: list[PlatformScorer] = []
        self.control_urls: list[str] = []
        self.relays: list[Relay] = []
        self.session: aiohttp.ClientSession

    async def start(self) -> None:
        """Start all processes and wait for a leader; no configuration is sent."""
        controls, entries, engines = self.counts
        self.session = aiohttp.ClientSession()
        self.seeds = [f"127.0.0.1:{port}" for port in free_ports(controls)]
        for number in range(controls):
            await self.add_control(number, self.seeds[number], bootstrap=True)
        for number in range(entries):
            await self.add_entry(number)
        for number in range(engines):
            await self.add_engine(f"i-{number}")
        await wait_until(
            lambda: any(control.replica.leadership for control in self.controls)
        )
        self.leader_machine = self.controls[0].machine

    async def stop(self) -> None:
        """Stop all processes."""
        for server in [*self.engines, *self.scorers]:
            await server.stop()
        for entry in self.entries:
            entry._settings.values["shutdown_grace_s"] = 0.0
            await entry.stop()
        for control in self.controls:
            await control.stop()
        for relay in self.relays:
            await relay.stop()
        await self.session.close()

    async def add_control(self, number: int, listen: str, **options) -> ControlProcess:
        """Start a control instance.

        With ``bootstrap=True`` its empty data folder is formatted as that of a
        seed first.
        """
        (port,) = free_ports(1)
        settings = ControlSettings.check(
            {
                "name": f"store-{number}",
                "failure_domain": FAILURE_DOMAINS[number % 3],
                "listen": listen,
                "http_listen": f"127.0.0.1:{port}",
                "data_folder": str(self.folder / f"store-{number}"),
                "seeds": self.seeds,
                "heartbeat_s": 0.05,
                "election_timeout_s": 0.3,
                "replace_after_s": 0.6,
                "lease_s": 0.8,
                "order_lifetime_s": 0.5,
                **self.control_options,
                **options,
            }
        ).unwrap()
        if settings.bootstrap:
            await format_bootstrap_folder(settings)
        process = _control_process(settings)
        await process.start()
        self.controls.append(process)
        self.control_urls.append(f"http://127.0.0.1:{port}")
        return process

    async def restart_controls(self, numbers: list[int], gap_s: float = 0.0) -> None:
        """Stop control instances, and start each again with its disk.

        Parameters
        ----------
        numbers : list of int
            Control instances to restart.
        gap_s : float
            Seconds between a start and the next stop; 0 restarts all at once.
        """
        if not gap_s:
            await asyncio.gather(*(self.controls[number].stop() for number in numbers))
        for number in numbers:
            if gap_s:
                await self.controls[number].stop()
            self.controls[number] = _control_process(self.controls[number]._settings)
            await self.controls[number].start()
            await asyncio.sleep(gap_s)

    async def replace_control(self, number: int) -> None:
        """Stop a control instance, and start it again with an empty disk."""
        settings = self.controls[number]._settings
        await self.controls[number].stop()
        shutil.rmtree(settings.data_folder)
        self.controls[number] = _control_process(settings)
        await self.controls[number].start()

    async def add_entry(self, number: int) -> EntryProcess:
        """Start an entry process."""
        port, ready_port, relay_port = free_ports(3)
        settings = EntrySettings.check(
            {
                "name": f"front-{number}",
                "failure_domain": FAILURE_DOMAINS[number % 3],
                "listen": f"127.0.0.1:{port}",
                "ready_listen": f"127.0.0.1:{ready_port}",
                "relay_listen": f"127.0.0.1:{relay_port}",
                "control": self.seeds,
                "data_folder": str(self.folder / f"front-{number}"),
                "serves_without_lease": True,
                "probe_interval_s": 0,
                "progress_timeout_s": 2.0,
                "balancer_delay_s": 0.0,
                "shutdown_grace_s": 2.0,
            }
        ).unwrap()
        process = EntryProcess(settings, platform_protocol())
        await process.start()
        self.entries.append(process)
        return process

    async def add_relay(self, port: int) -> Relay:
        """Start a relay to a port of the loopback address."""
        relay = Relay(port)
        await relay.start()
        self.relays.append(relay)
        return relay

    async def add_engine(self, name: str, software: str = "v1") -> PlatformEngine:
        """Start a fake engine that announces itself to the control instances."""
        (port,) = free_ports(1)
        engine = PlatformEngine(name, "engines", port, list(self.control_urls), MODEL)
        engine.software = software
        await engine.start()
        self.engines.append(engine)
        return engine

    async def add_scorer(self, name: str, service: str = "scorers") -> PlatformScorer:
        """Start a fake service of reward calls, and wait until the entries know it."""
        (port,) = free_ports(1)
        scorer = PlatformScorer(name, service, port, list(self.control_urls), "")
        await scorer.start()
        self.scorers.append(scorer)
        await wait_until(
            lambda: all(
                name in entry.context.directory.servers for entry in self.entries
            )
        )
        return scorer

    async def crash_entry(self, number: int) -> None:
        """Stop an entry as a crash would and remove it from ``entries``."""
        entry = self.entries.pop(number)
        # A crashed process does not report what it has counted.
        entry.context.usage = UsageMeter(entry.context.events, Metrics())
        await entry._lease_renewer.stop()
        for connection in list(entry._http._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        entry._settings.values["shutdown_grace_s"] = 0.0
        entry._http._runner._shutdown_timeout = 0.01
        await entry.stop()

    async def wait_until_served(self) -> None:
        """Wait until every entry has a configuration and knows all engines."""
        await wait_until(
            lambda: all(
                entry.context.configuration.is_received
                and len(entry.context.directory.servers) == len(self.engines)
                for entry in self.entries
            )
        )

    async def call_control(self, method: str, path: str, body: object = None) -> tuple:
        """Call the next control instance in turn; return status and body.

        A body of bytes is sent as it is, any other as JSON.
        """
        self.control_urls.append(self.control_urls.pop(0))
        data = body if isinstance(body, bytes) else None
        json = None if isinstance(body, bytes) else body
        async with self.session.request(
            method, self.control_urls[0] + path, json=json, data=data
        ) as response:
            return response.status, await response.read()

    async def call_entry(
        self, method: str, number: int, path: str, body: object = None, **headers
    ) -> tuple:
        """Call an entry; return status, body and headers.

        Underscores in the keyword arguments become hyphens in header names. A body of
        bytes is sent as it is, any other as JSON.
        """
        request_headers = {
            "Host": HOST,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = f"http://{self.entries[number].context.identity.http}{path}"
        content = {"data": body} if isinstance(body, bytes) else {"json": body}
        async with self.session.request(
            method, url, headers=request_headers, **content
        ) as response:
            return response.status, await response.read(), response.headers

    async def submit(self, number: int, name: str, body: dict | bytes) -> int:
        """Submit a batch job and return the status."""
        status, _, _ = await self.call_entry(
            "POST",
            number,
            ROLLOUT_PATH_PREFIX + name,
            body,
            X_Request_Id=name,
            X_Deadline_Ms="9000",
        )
        return status

    async def read_page(self, number: int, name: str, after: int = 0) -> tuple:
        """Read the results of a batch job from a position on; return status and page.

        The page is None unless the status is 200.
        """
        path = f"/-/lots/{name}?after={after}"
        async with self.session.get(
            f"http://{self.entries[number].context.identity.http}{path}",
            headers={"Host": HOST, "X-Wait-Ms": "1000"},
        ) as response:
            page = await response.json() if response.status == 200 else None
            return response.status, page

    async def read_all_results(self, number: int, name: str) -> list[dict]:
        """Read a batch job until all its items have results, and return these."""
        results: list[dict] = []
        while True:
            status, page = await self.read_page(number, name, len(results))
            if status != 200:
                continue
            results += page["results"]
            if len(results) == page["total"]:
                return results


def _control_process(settings: ControlSettings) -> ControlProcess:
    return ControlProcess(
        settings,
        make_control_application,
        PlatformOrderChannel(),
        PlatformDutyChannel(),
    )
