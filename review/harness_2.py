"""Small deployment on loopback addresses for the scripts of the second review.

It starts the programs of ``deploy/system.toml`` as separate processes with settings
made from the deploy templates' fields. Backend servers and callers are stand-ins.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

ROOT = Path(__file__).resolve().parent.parent
HOST = "h.example"
ZONES = ("zone-a", "zone-b", "zone-c")


def free_port(addresses: list[str]) -> int:
    """Return a port that is free at all of these addresses."""
    while True:
        with socket.socket() as probe:
            probe.bind((addresses[0], 0))
            port = probe.getsockname()[1]
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        return port


class Machine:
    """One process of the system."""

    def __init__(self, role: str, name: str, settings: str, folder: Path) -> None:
        self.role = role
        self.name = name
        self.path = folder / f"{name}.toml"
        self.path.write_text(settings)
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "POLLENLB_CONFIG": str(self.path),
            "PYTHONPATH": "target/deps",
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-OO", "-m", "pollenlb.platform", self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        return self.process.poll() if self.process is not None else None

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Cluster:
    """Control instances and entries as on the machines of a small deployment."""

    def __init__(self, entries: int = 2, controls: int = 3) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="pollenlb-review-")
        self.folder = Path(self._temporary.name)
        block = 2 + os.getpid() % 200
        control_ips = [f"127.{block}.1.{n + 1}" for n in range(controls)]
        entry_ips = [f"127.{block}.2.{n + 1}" for n in range(entries)]
        everywhere = control_ips + entry_ips
        self.rpc_port = free_port(everywhere)
        self.http_port = free_port(everywhere)
        self.ready_port = free_port(everywhere)
        self.control_urls = [f"http://{ip}:{self.http_port}" for ip in control_ips]
        self.entry_urls = [f"http://{ip}:{self.http_port}" for ip in entry_ips]
        self.ready_urls = [f"http://{ip}:{self.ready_port}" for ip in entry_ips]
        seeds = [f"{ip}:{self.http_port}" for ip in control_ips[:3]]
        self.controls = []
        self.entries = []
        for n, ip in enumerate(control_ips):
            data = self.folder / f"data-{n}"
            data.mkdir()
            self.controls.append(
                Machine(
                    "control",
                    f"store-{n}",
                    _settings(
                        name=f"store-{n}",
                        failure_domain=ZONES[n % 3],
                        listen=f"{ip}:{self.rpc_port}",
                        http_listen=f"{ip}:{self.http_port}",
                        data_folder=str(data),
                        event_output="stdout",
                        seeds=seeds,
                        seed_port=self.rpc_port,
                        bootstrap=True,
                        tolerated_losses=1,
                        tolerated_domain_losses=0,
                        heartbeat_s=0.08,
                        election_timeout_s=0.45,
                        lease_s=1.0,
                        replace_after_s=1.5,
                        order_lifetime_s=3.0,
                    ),
                    self.folder,
                )
            )
        for n, ip in enumerate(entry_ips):
            self.entries.append(
                Machine(
                    "entry",
                    f"front-{n}",
                    _settings(
                        name=f"front-{n}",
                        failure_domain=ZONES[n % 3],
                        listen=f"{ip}:{self.http_port}",
                        ready_listen=f"{ip}:{self.ready_port}",
                        control=seeds,
                        control_port=self.rpc_port,
                        serves_without_lease=True,
                        probe_interval_s=0,
                        progress_timeout_s=2.0,
                        connect_timeout_s=0.5,
                        balancer_delay_s=3.0,
                        shutdown_grace_s=8.0,
                        max_body_bytes=67108864,
                        batch_results_kept_s=120,
                    ),
                    self.folder,
                )
            )

    @property
    def machines(self) -> list[Machine]:
        return [*self.controls, *self.entries]

    async def start(self, configuration: dict) -> None:
        """Start all processes, and send a configuration until it is acknowledged."""
        for machine in self.machines:
            machine.start()
        await self.put_configuration(configuration, 30)
        for url in self.ready_urls:
            await self.wait_for(url + "/-/ready", 20)

    async def put_configuration(self, configuration: dict, for_s: float) -> None:
        ends_at = time.monotonic() + for_s
        turn = 0
        while time.monotonic() < ends_at:
            url = self.control_urls[turn % len(self.control_urls)]
            turn += 1
            status = await post(url + "/-/Config.Replace", configuration)
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("no control instance acknowledged the configuration")

    async def wait_for(self, url: str, for_s: float) -> None:
        ends_at = time.monotonic() + for_s
        timeout = aiohttp.ClientTimeout(total=1)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < ends_at:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(0.1)
        raise RuntimeError(f"{url} did not become ready")

    def stop(self) -> None:
        for machine in self.machines:
            machine.end()
        self._temporary.cleanup()


async def post(url: str, body: object, for_s: float = 1.0) -> int | None:
    """Post JSON and return the status; None without an answer."""
    timeout = aiohttp.ClientTimeout(total=for_s)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.post(url, json=body) as response:
                return response.status
    except (aiohttp.ClientError, TimeoutError):
        return None


async def check_in(cluster: Cluster, server: str, body: dict) -> None:
    """Send check-ins of a backend server until cancelled."""
    turn = 0
    sequence = 0
    while True:
        sequence += 1
        url = cluster.control_urls[turn % len(cluster.control_urls)]
        status = await post(
            f"{url}/-/Instances.Heartbeat/{server}", {**body, "seq": sequence}
        )
        if status is None or status >= 300:
            turn += 1
            await asyncio.sleep(0.1)
        else:
            await asyncio.sleep(1.2)


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


def _settings(**values: object) -> str:
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items())


def main(play) -> None:
    """Run a case; ``play`` returns whether the rule held."""
    try:
        held = asyncio.run(asyncio.wait_for(play(), 115))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else 1)
