"""Small deployment of the project's programs, with stand-ins for its surroundings.

Starts the programs of ``deploy/system.toml`` as processes on loopback addresses, with
settings files rendered from the templates of the deploy file. Each machine has a
loopback address of its own, since ports are the same on all machines.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_CASE_S = 105
HOST = "ficu95.example"
MODEL = "daka510000"
LOT_PREFIX = "/pufi791/"
SAFE_PREFIX = "/lohu930/"
UNSAFE_PREFIX = "/kebo114/"
STREAM_PREFIX = "/wiru402/"

_DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


class CannotRunError(Exception):
    """The case could not be set up, so that it shows nothing."""


class Record:
    """Lines of what was sent, answered and run, written to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the time since the start in seconds."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        self._file.write(line + "\n")
        print(line, flush=True)


def render(template: str, fields: dict) -> str:
    """Return a settings template of the deploy file, filled in from fields."""

    def section(match: re.Match) -> str:
        entries = _lookup(fields, match.group(1)) or []
        parts = []
        for number, entry in enumerate(entries):
            part = match.group(2).replace("{{.}}", str(entry))
            part = part.replace("{{,}}", "," if number < len(entries) - 1 else "")
            parts.append(part)
        return "".join(parts)

    def value(match: re.Match) -> str:
        name, _, form = match.group(1).partition("|")
        found = _lookup(fields, name)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", value, text)


def _lookup(fields: dict, name: str):
    found = fields
    for part in name.split("."):
        if isinstance(found, list):
            found = found[int(part)]
        elif isinstance(found, dict):
            found = found.get(part)
        else:
            return None
    return found


def free_port(addresses: list[str]) -> int:
    """Return a port that is free at all addresses."""
    for _ in range(200):
        port = random.randint(20_000, 32_000)
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
            return port
        except OSError:
            continue
    raise CannotRunError("no port is free")


class Deployment:
    """Processes of the project, and how to call them."""

    def __init__(
        self, record: Record, controls: int = 3, entries: int = 2, **bounds
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.zones = ["kitami-a", "kitami-b", "asahikawa"]
        subnet = random.randint(10, 250)
        self.control_ips = [f"127.77.{subnet}.{10 + n}" for n in range(controls)]
        self.entry_ips = [f"127.77.{subnet}.{100 + n}" for n in range(entries)]
        everywhere = self.control_ips + self.entry_ips
        self.ports: list[int] = []
        while len(self.ports) < 5:
            port = free_port(everywhere)
            if port not in self.ports:
                self.ports.append(port)
        self.control_port, self.front_port, self.ready_port = self.ports[:3]
        self.processes: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, Path] = {}
        self.roles: dict[str, str] = {}
        self.bounds = {"status_s": 120, **bounds}
        self.session: aiohttp.ClientSession | None = None

    @property
    def control_urls(self) -> list[str]:
        return [f"http://{ip}:{self.control_port}" for ip in self.control_ips]

    @property
    def entry_urls(self) -> list[str]:
        return [f"http://{ip}:{self.front_port}" for ip in self.entry_ips]

    def write_settings(self) -> None:
        """Render the settings file of each machine."""
        seeds = [f"{ip}:{self.control_port}" for ip in self.control_ips[:3]]
        for role, ips in (("control", self.control_ips), ("entry", self.entry_ips)):
            template = (ROOT / _DEPLOY["roles"][role]["template"]).read_text()
            for number, ip in enumerate(ips):
                name = f"{role}-{number}"
                fields = {
                    "node_name": name,
                    "ip": ip,
                    "zone": self.zones[number % len(self.zones)],
                    "listen": {
                        "front": f"{ip}:{self.front_port}",
                        "ready": f"{ip}:{self.ready_port}",
                        "control": f"{ip}:{self.control_port}",
                    },
                    "internal_ports": self.ports[3:5],
                    "seeds": seeds,
                    "bootstrap": True,
                    "data_dir": str(self.folder / name / "data"),
                    "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
                    "bounds": self.bounds,
                }
                (self.folder / name).mkdir()
                path = self.folder / name / "settings.toml"
                path.write_text(render(template, fields))
                self.settings[name] = path
                self.roles[name] = role

    def start_process(self, name: str) -> None:
        """Start the program of a machine as the deploy file says."""
        role = _DEPLOY["roles"][self.roles[name]]
        words = role["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        for key, value in role.get("env", {}).items():
            environment[key] = render(value, {"bounds": self.bounds})
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["POLLENLB_CONFIG"] = str(self.settings[name])
        log = (self.folder / name / "log").open("ab")
        self.processes[name] = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.add(f"started {name}, pid {self.processes[name].pid}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.record.add(f"signal {number.name} to {name}")
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill the process of a machine and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def log_lines(self, name: str, kind: str) -> list[str]:
        """Return the lines of a process that name an event."""
        text = (self.folder / name / "log").read_text(errors="replace")
        return [line for line in text.splitlines() if kind in line]

    async def start(self) -> None:
        """Start all processes and wait until the control instances have a leader."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        self.write_settings()
        for name in self.settings:
            self.start_process(name)

    async def stop(self, keep: bool = False) -> None:
        """Kill all processes and remove their files."""
        if self.session is not None:
            await self.session.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        if keep:
            self.record.add(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | dict | None = None,
        headers: dict | None = None,
        timeout_s: float = 2.0,
    ) -> tuple[int, bytes, dict]:
        """Send a request on a new connection; the status is 0 without an answer."""
        assert self.session is not None
        if isinstance(body, dict):
            body = json.dumps(body).encode()
            headers = {"Content-Type": "application/json", **(headers or {})}
        try:
            async with self.session.request(
                method,
                url,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                return response.status, await response.read(), dict(response.headers)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b"", {}

    async def call_control(
        self,
        method: str,
        path: str,
        body: dict | bytes | None = None,
        within_s: float = 20.0,
        timeout_s: float = 1.0,
    ) -> tuple[int, bytes]:
        """Call control instances in turn until one answers clearly."""
        ends_at = time.monotonic() + within_s
        urls = list(self.control_urls)
        status, answer = 0, b""
        while time.monotonic() < ends_at:
            urls.append(urls.pop(0))
            status, answer, _ = await self.call(
                method, urls[0] + path, body, timeout_s=timeout_s
            )
            if status and status < 500 and status not in (408, 429):
                return status, answer
            await asyncio.sleep(0.1)
        return status, answer

    async def configure(self, document: dict, within_s: float = 30.0) -> None:
        """Send a configuration until it is acknowledged."""
        status, answer = await self.call_control(
            "POST", "/-/Config.Replace", document, within_s, timeout_s=3.0
        )
        if status != 200:
            raise CannotRunError(f"configuration: {status} {answer[:200]!r}")
        self.record.add(f"configuration {document['version']} acknowledged")

    async def wait_until_ready(self, within_s: float = 30.0) -> None:
        """Wait until all entries report that they are ready."""
        ends_at = time.monotonic() + within_s
        for ip in self.entry_ips:
            while True:
                status, _, _ = await self.call(
                    "GET", f"http://{ip}:{self.ready_port}/-/ready", timeout_s=1.0
                )
                if status == 200:
                    break
                if time.monotonic() > ends_at:
                    raise CannotRunError("the entries did not become ready")
                await asyncio.sleep(0.1)


def configuration(
    version: int,
    max_attempts: int = 3,
    max_queue_s: float = 40.0,
    due_ms: float = 7500,
    engine_service: str = "huvo11a",
    plain_service: str = "wuno96b",
) -> dict:
    """Return a configuration with a route of each kind."""

    def route(name: str, prefix: str, kind: str, service: str, **options) -> dict:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": 10000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": service,
            "max_attempts": max_attempts,
            **options,
        }

    return {
        "version": version,
        "routes": [
            route(
                "r-lots",
                LOT_PREFIX,
                "rollout",
                engine_service,
                max_queue_s=max_queue_s,
                due_ms=due_ms,
                single_version=False,
                sticky=True,
                resumable=True,
            ),
            route("r-safe", SAFE_PREFIX, "safe", plain_service),
            route("r-unsafe", UNSAFE_PREFIX, "unsafe", plain_service),
            route(
                "r-stream", STREAM_PREFIX, "streaming", engine_service, resumable=True
            ),
        ],
        "services": [
            {
                "name": engine_service,
                "health_path": "/healthz",
                "max_conns": 170,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 12, "models": [{"name": MODEL}]},
            },
            {
                "name": plain_service,
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 33554432,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def lot(step: int, items: dict[str, int], body_bytes: int = 0) -> dict:
    """Return a batch job; an item's body begins with its number of events."""
    return {
        "step": step,
        "model": MODEL,
        "min_version": 1,
        "group_count": 1,
        "requests": [
            {
                "id": item,
                "path": LOT_PREFIX + item,
                "headers": {"X-Model": MODEL, "X-Token-Count": f"540,{events}"},
                "body": base64.b64encode(
                    b"%d " % events + os.urandom(max(0, body_bytes) * 3 // 4)
                ).decode(),
                "tokens": 540 + events,
                "group": f"g{step}",
            }
            for item, events in items.items()
        ],
    }


class Server:
    """A replica of a service: numbered events for engines, one body otherwise."""

    def __init__(
        self, record: Record, name: str, service: str, slots: int, model: str | None
    ) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.model = model
        self.version = 1
        self.software = "v1"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.event_s = 0.02
        self.port = 0
        self.seq = 0
        self.orders = 0
        self.is_busy = False
        self.running: set[str] = set()
        self.runs: list[tuple[float, str, int]] = []
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task] = []

    async def start(self, deployment: Deployment) -> None:
        """Listen on a free port and check in about once a second."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        application.router.add_get("/-/report", self.report)
        application.router.add_post("/-/order", self.order)
        application.router.add_get("/healthz", self.health)
        application.router.add_route("*", "/{path:.*}", self.request)
        self._runner = web.AppRunner(
            application,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.create_task(self._check_in(deployment)))

    async def stop(self) -> None:
        """Stop to check in and to listen."""
        for task in self._tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def heartbeat(self) -> dict:
        """Return the body of the next check-in."""
        self.seq += 1
        body = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "kitami-a",
            "version": self.software,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        if self.model is not None:
            body["stage"] = "both"
            body["models"] = [
                {"name": self.model, "version": self.version, "adapters": []}
            ]
        return body

    async def _check_in(self, deployment: Deployment) -> None:
        urls = list(deployment.control_urls)
        while True:
            body = self.heartbeat()
            for _ in urls:
                status, _, _ = await deployment.call(
                    "POST",
                    f"{urls[0]}/-/Instances.Heartbeat/{self.name}",
                    body,
                    timeout_s=1.0,
                )
                if 200 <= status < 300:
                    break
                urls.append(urls.pop(0))
            await asyncio.sleep(1.0)

    async def health(self, request: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.name})

    async def report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "stage": "both",
                "models": [
                    {"name": self.model, "version": self.version, "adapters": []}
                ],
                "busy": self.is_busy,
                "seq": self.orders,
                "num_waiting": 0,
                "num_running": len(self.running),
                "kv_used": 0,
                "kv_total": 82159,
                "handles": 0,
                "born": self.born,
            }
        )

    async def order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.record.add(f"{self.name}: order {order}")
        if self.is_busy or order.get("expected") not in (None, self.orders):
            return web.Response(status=409)
        self.orders += 1
        self.is_busy = True
        asyncio.get_running_loop().call_later(0.9, self._finish_order, order)
        return web.Response(status=202)

    def _finish_order(self, order: dict) -> None:
        self.version = order["version"]
        self.is_busy = False

    def answer_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of an answer to a request."""
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"stamp-{self.name}-{request_id}",
            "X-Load-Report": f"{len(self.running)},0,{self.slots},100",
        }
        if self.model is not None:
            headers["X-Weight-Versions"] = str(self.version)
        return headers

    async def request(self, request: web.Request) -> web.StreamResponse:
        """Run a request."""
        request_id = request.headers.get("X-Request-Id", "")
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(
                status=421, headers={"X-Request-Id": request_id, "X-Not-Executed": "1"}
            )
        if self.is_busy or len(self.running) >= self.slots:
            return web.Response(
                status=503, headers={"X-Request-Id": request_id, "X-Not-Executed": "1"}
            )
        body = await request.read()
        after = int(request.headers.get("Last-Event-Id", "-1"))
        self.runs.append((time.monotonic(), request_id, after))
        self.running.add(request_id)
        try:
            return await self.run(request, request_id, body, after)
        finally:
            self.running.discard(request_id)

    async def run(
        self, request: web.Request, request_id: str, body: bytes, after: int
    ) -> web.StreamResponse:
        """Answer a request that runs."""
        if self.model is None:
            await asyncio.sleep(0.01)
            return web.Response(
                body=b"answer to " + request_id.encode(),
                headers=self.answer_headers(request_id),
            )
        response = web.StreamResponse(headers=self.answer_headers(request_id))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        events = int(body.split(b" ")[0])
        for number in range(after + 1, events):
            await asyncio.sleep(self.event_s)
            text = f"id: {number}\ndata: {request_id} {number}\n\n"
            await response.write(text.encode())
        await response.write_eof()
        return response


def run_case(record_path: Path, play: Callable[[Record], Awaitable[bool]]) -> int:
    """Play a case, write its record and return the exit status of its script."""
    record = Record(record_path)
    record.add(f"TROUBLE={int(HAS_TROUBLE)}")
    # Ends the processes that the case has started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        has_held = asyncio.run(asyncio.wait_for(play(record), MAX_CASE_S))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add(f"the case could not run: {error!r}")
        return 2
    record.add("the rule held" if has_held else "the rule was broken")
    return 0 if has_held else 1


async def submit(
    deployment: Deployment, entry: int, name: str, body: bytes, timeout_s: float = 4.0
) -> int:
    """Submit a batch job once and return the status."""
    status, _, _ = await deployment.call(
        "POST",
        deployment.entry_urls[entry] + LOT_PREFIX + name,
        body,
        {
            "Host": HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": str(int(timeout_s * 1000)),
            "Content-Type": "application/json",
        },
        timeout_s,
    )
    return status


async def read_page(
    deployment: Deployment, entry: int, name: str, after: int = 0
) -> tuple[int, dict | None]:
    """Read results of a batch job from a position on."""
    status, answer, _ = await deployment.call(
        "GET",
        f"{deployment.entry_urls[entry]}/-/lots/{name}?after={after}",
        headers={"Host": HOST},
        timeout_s=3.0,
    )
    return status, json.loads(answer) if status == 200 else None
