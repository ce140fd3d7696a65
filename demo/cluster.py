"""Starts a complete system as processes on the loopback address."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from fakes.ports import free_ports

ROOT = Path(__file__).resolve().parent.parent
DOMAINS = ("cba-norte", "cba-centro", "cba-sur")
_STOP_TIMEOUT_S = 15
_POLL_INTERVAL_S = 0.05


@dataclass
class ClusterPlan:
    """Sizes and settings of a system.

    Attributes
    ----------
    folder : Path
        Folder for settings files, data folders and output files.
    controls, entries : int
        Number of control instances and of entries.
    services, routes : dict
        Configuration of each service and of each route, by name.
    engines, plain_services : dict
        Number of fake engines and of fake plain services, by service.
    control_options, entry_options : dict
        Additional settings of the control instances and of the entries.
    token_s : float
        Time in which an engine generates a token, in seconds.
    processing_s : float
        Time in which a plain service processes a request, in seconds.
    slots : int
        Slots of each fake backend server.
    """

    folder: Path
    controls: int = 3
    entries: int = 7
    services: dict = field(default_factory=dict)
    routes: dict = field(default_factory=dict)
    engines: dict = field(default_factory=dict)
    plain_services: dict = field(default_factory=dict)
    control_options: dict = field(default_factory=dict)
    entry_options: dict = field(default_factory=dict)
    token_s: float = 0.01
    processing_s: float = 0.005
    slots: int = 8


class Cluster:
    """Processes of one system, by name.

    Parameters
    ----------
    plan : ClusterPlan
        Sizes and settings of the system.

    Attributes
    ----------
    processes : dict
        Last started process of each name.
    commands : dict
        Command line of each process.
    ports : dict
        Port of each process on the loopback address.
    """

    def __init__(self, plan: ClusterPlan) -> None:
        self.plan = plan
        self.processes: dict[str, subprocess.Popen] = {}
        self.commands: dict[str, list[str]] = {}
        self.ports: dict[str, int] = {}

    @property
    def balancer_url(self) -> str:
        """Base URL of the balancer."""
        return f"http://127.0.0.1:{self.ports['balancer']}"

    @property
    def entry_urls(self) -> list[str]:
        """Base URLs of the entries."""
        return [self.url(f"entry-{i}") for i in range(self.plan.entries)]

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return f"http://127.0.0.1:{self.ports[name]}"

    async def start(self) -> None:
        """Start all processes, set the configuration and wait for the backend servers.

        Raises
        ------
        TimeoutError
            If the entries are not ready, or not all backend servers usable, in time.
        RuntimeError
            If the configuration is refused.
        """
        self.plan.folder.mkdir(parents=True, exist_ok=True)
        self._choose_ports()
        self._prepare_controls()
        self._prepare_entries()
        self._prepare_fakes()
        for name in self.commands:
            self.start_process(name)
        await self.wait_until_entries_ready(
            [f"entry-{i}" for i in range(self.plan.entries)]
        )
        await self._configure()
        await self._wait_until_servers_usable()

    def start_process(self, name: str) -> None:
        """Start or restart a process; its output is appended to a file."""
        log = (self.plan.folder / f"{name}.out").open("ab")
        self.processes[name] = subprocess.Popen(
            self.commands[name], cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL) and wait for its end."""
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self) -> None:
        """Terminate all processes, also suspended ones; kill those that do not end."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    async def wait_until_entries_ready(
        self, names: list[str], timeout_s: float = 30
    ) -> None:
        """Wait until the readiness checks of entries pass.

        Raises
        ------
        TimeoutError
            If they do not all pass within ``timeout_s`` seconds.
        """
        async with aiohttp.ClientSession() as session, asyncio.timeout(timeout_s):
            for name in names:
                while not await _is_ok(session, self.url(name) + "/readyz"):
                    await asyncio.sleep(_POLL_INTERVAL_S)

    async def _configure(self) -> None:
        changes = {}
        for name, options in self.plan.services.items():
            for key, value in options.items():
                changes[f"services.{name}.{key}"] = value
        for name, options in self.plan.routes.items():
            for key, value in options.items():
                changes[f"routes.{name}.{key}"] = value
        url = self.url("entry-0") + "/pollenlb/v1/operator/configuration"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json={"changes": changes}) as response:
                if response.status != 200:
                    raise RuntimeError(
                        f"setting the configuration at {url} failed with status "
                        f"{response.status}: {await response.text()}"
                    )

    async def _wait_until_servers_usable(self, timeout_s: float = 30) -> None:
        expected = sum(self.plan.engines.values()) + sum(
            self.plan.plain_services.values()
        )
        async with aiohttp.ClientSession() as session, asyncio.timeout(timeout_s):
            for url in self.entry_urls:
                while await _count_usable_servers(session, url) < expected:
                    await asyncio.sleep(_POLL_INTERVAL_S)

    def _choose_ports(self) -> None:
        names = ["balancer"]
        names += [f"control-{i}" for i in range(self.plan.controls)]
        for i in range(self.plan.entries):
            names.append(f"entry-{i}")
        for service, count in (self.plan.engines | self.plan.plain_services).items():
            names += [f"{service}-{i}" for i in range(count)]
        self.ports.update(zip(names, free_ports(len(names))))

    def _prepare_controls(self) -> None:
        members = {
            f"control-{i}": {
                "address": f"127.0.0.1:{self.ports[f'control-{i}']}",
                "failure_domain": DOMAINS[i % len(DOMAINS)],
            }
            for i in range(self.plan.controls)
        }
        for name, member in members.items():
            settings = {
                "name": name,
                "failure_domain": member["failure_domain"],
                "listen": member["address"],
                "data_folder": str(self.plan.folder / name),
                **self.plan.control_options,
            }
            path = self._write_settings(name, settings, members)
            command = [_program_path("pollen-control"), "--settings", str(path)]
            subprocess.run([*command, "init"], check=True, cwd=ROOT)
            self.commands[name] = command

    def _prepare_entries(self) -> None:
        control = [
            f"127.0.0.1:{self.ports[f'control-{i}']}" for i in range(self.plan.controls)
        ]
        for i in range(self.plan.entries):
            name = f"entry-{i}"
            settings = {
                "name": name,
                "failure_domain": DOMAINS[i % len(DOMAINS)],
                "listen": f"127.0.0.1:{self.ports[name]}",
                "control": control,
                "data_folder": str(self.plan.folder / name),
                "balancer_delay_s": 0.7,
                **self.plan.entry_options,
            }
            path = self._write_settings(name, settings, {})
            self.commands[name] = [
                _program_path("pollen-entry"),
                "--settings",
                str(path),
            ]

    def _prepare_fakes(self) -> None:
        entries = ",".join(
            f"127.0.0.1:{self.ports[f'entry-{i}']}" for i in range(self.plan.entries)
        )
        fake = [sys.executable, "-m", "fakes"]
        port = str(self.ports["balancer"])
        self.commands["balancer"] = [
            *fake,
            "balancer",
            "--port",
            port,
            "--entries",
            entries,
        ]
        for kind, counts in (
            ("engine", self.plan.engines),
            ("plain", self.plan.plain_services),
        ):
            for service, count in counts.items():
                for i in range(count):
                    name = f"{service}-{i}"
                    self.commands[name] = [
                        *fake, kind, "--name", name, "--service", service,
                        "--failure-domain", DOMAINS[i % len(DOMAINS)],
                        "--port", str(self.ports[name]),
                        "--balancer", self.balancer_url,
                        "--slots", str(self.plan.slots),
                        "--token-s", str(self.plan.token_s),
                        "--work-s", str(self.plan.processing_s),
                        "--log", str(self.plan.folder / f"{name}.tokens"),
                    ]  # fmt: skip

    def _write_settings(self, name: str, settings: dict, members: dict) -> Path:
        lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
        for member, options in members.items():
            lines.append(f"[members.{member}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in options.items()]
        path = self.plan.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path


def _program_path(name: str) -> str:
    return str(Path(sys.executable).parent / name)


async def _is_ok(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def _count_usable_servers(session: aiohttp.ClientSession, url: str) -> int:
    async with session.get(url + "/pollenlb/v1/operator/entry") as response:
        status = await response.json()
    return sum(server["is_usable"] for server in status["servers"])
