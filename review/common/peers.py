"""Stand-ins for clients, servers and the platform, with the standard library only."""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from .deployment import Record

HOST = "h.example"
MODEL = "model-a"
_CALL_TIMEOUT_S = 2.5
_HEARTBEAT_S = 0.6
_LOAD_S = 0.9
_RESET = struct.pack("ii", 1, 0)


class Answer:
    """What a client received.

    Attributes
    ----------
    is_complete : bool
        Whether the answer ended as HTTP/1.1 says that a complete one does.
    """

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, is_complete: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes | dict = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = _CALL_TIMEOUT_S,
) -> Answer | None:
    """Send one request on a new connection; None without an answer."""
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    ip, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    sent = {"Host": HOST, "Content-Length": str(len(body)), "Connection": "close"}
    sent |= headers or {}
    lines += [f"{name}: {value}" for name, value in sent.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 26)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            return await _read_answer(reader, method)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def _read_answer(reader: asyncio.StreamReader, method: str) -> Answer:
    status_line, headers = await _read_head(reader)
    status = int(status_line.split()[1])
    body, is_complete = await _read_body(reader, headers, is_answer=True)
    return Answer(status, headers, body, is_complete)


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return first, headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], is_answer: bool
) -> tuple[bytes, bool]:
    parts: list[bytes] = []
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size:
                    parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if not size:
                    return b"".join(parts), True
        if "content-length" in headers:
            length = int(headers["content-length"])
            while length:
                part = await reader.read(min(length, 65_536))
                if not part:
                    return b"".join(parts), False
                parts.append(part)
                length -= len(part)
            return b"".join(parts), True
        while is_answer and (part := await reader.read(65_536)):
            parts.append(part)
        return b"".join(parts), True
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return b"".join(parts), False


class Server:
    """A server of one service, which checks in with control and runs requests.

    A request's body ends with the number of events to generate, for engines, or is
    answered with a body made from its path, for plain services.

    Parameters
    ----------
    name : str
        Id of the server.
    service : str
        Its service.
    ip : str
        Loopback address to listen on.
    control : list of str
        Addresses of control.
    record : Record
        Gets a line for each request.
    is_engine : bool
        Whether it generates streams of events.

    Attributes
    ----------
    intervene : callable or None
        Awaited with the server, the request and the stream writer before each event
        and each answer of a plain service; returns True if it has ended the answer.
    runs : list of dict
        Requests that began to run.
    unframed : bool
        Whether answers have no length and end with their connection.
    first_check_in_s : float
        Seconds from the start to the first check-in.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        control: list[str],
        record: Record,
        is_engine: bool = True,
        slots: int = 12,
    ) -> None:
        self.name = name
        self.service = service
        self.ip = ip
        self.address = ""
        self.slots = slots
        self.is_engine = is_engine
        self.version = 1
        self.software = "v1"
        self.event_s = 0.03
        self.unframed = False
        self.first_check_in_s = 0.0
        self.intervene: Callable | None = None
        self.decide_status: Callable[[str], int] | None = None
        self.runs: list[dict[str, Any]] = []
        self.arrived: list[dict[str, Any]] = []
        self.orders = 0
        self.is_busy = False
        self.running = 0
        self._control = list(control)
        self._record = record
        self._born = 0
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and check in."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._server = await asyncio.start_server(
            self._serve, self.ip, port, limit=1 << 26
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._tasks.append(asyncio.create_task(self._check_in()))

    async def crash(self) -> None:
        """End as a killed process does: reset all connections, and stop listening."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def _beat(self) -> dict[str, Any]:
        beat = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-0",
            "version": self.software,
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }
        if self.is_engine:
            beat |= {"stage": "both", "models": self._models()}
        return beat

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def _check_in(self) -> None:
        await asyncio.sleep(self.first_check_in_s)
        while True:
            self._seq += 1
            for _ in self._control:
                answer = await call(
                    self._control[0],
                    "POST",
                    f"/-/Instances.Heartbeat/{self.name}",
                    self._beat(),
                    timeout_s=1.0,
                )
                if answer is not None and answer.status == 200:
                    break
                self._control.append(self._control.pop(0))
            await asyncio.sleep(_HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                body, is_complete = await _read_body(reader, headers, is_answer=False)
                if not is_complete:
                    return
                method, target, _ = first.split(" ")
                request = {
                    "method": method,
                    "path": target,
                    "headers": headers,
                    "body": body,
                    "id": headers.get("x-request-id", ""),
                }
                if await self._answer(request, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: dict[str, Any], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection has ended."""
        headers = request["headers"]
        if headers.get("x-expect-instance", self.name) != self.name:
            return await _respond(writer, 421)
        if request["path"] == "/-/report" and self.is_engine:
            report = {
                "stage": "both",
                "models": self._models(),
                "busy": self.is_busy,
                "seq": self.orders,
                "num_waiting": 0,
                "num_running": self.running,
                "kv_used": 0,
                "kv_total": 90000,
                "handles": 0,
                "born": self._born,
            }
            return await _respond(writer, 200, json.dumps(report).encode())
        if request["path"] == "/-/order" and self.is_engine:
            return await self._take_order(request, writer)
        if request["path"] == "/healthz":
            return await _respond(writer, 200, b"", {"X-Instance-Id": self.name})
        self.arrived.append(request)
        extra = {"X-Request-Id": request["id"]}
        if self.is_busy or self.running >= self.slots:
            return await _respond(writer, 503, b"", {**extra, "X-Not-Executed": "1"})
        status = self.decide_status(request["id"]) if self.decide_status else 200
        self.runs.append({**request, "at": time.monotonic(), "status": status})
        self._record.write(
            f"run {self.name} id={request['id']} {request['method']} "
            f"{request['path']} after={headers.get('last-event-id')} "
            f"version={self.version} status={status}"
        )
        self.running += 1
        try:
            if status != 200:
                return await _respond(writer, status, b"", extra)
            if self.is_engine:
                return await self._generate(request, writer)
            return await self._answer_plain(request, writer)
        finally:
            self.running -= 1

    def _head(self, request: dict[str, Any]) -> dict[str, str]:
        return {
            "X-Request-Id": request["id"],
            "X-Server-Stamp": f"stamp-{self.name}-{request['id']}",
            "X-Load-Report": f"{self.running},0,{self.slots},100",
        }

    async def _answer_plain(
        self, request: dict[str, Any], writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(self.event_s)
        body = plain_body(request["id"])
        headers = self._head(request)
        if not self.unframed:
            return await _respond(writer, 200, body, headers)
        writer.write(_encode_head(200, {**headers, "Connection": "close"}))
        if self.intervene and await self.intervene(self, request, writer, body):
            return True
        writer.write(body)
        await writer.drain()
        return True

    async def _generate(
        self, request: dict[str, Any], writer: asyncio.StreamWriter
    ) -> bool:
        count = int(request["body"].rpartition(b" ")[2])
        first = int(request["headers"].get("last-event-id", "-1")) + 1
        headers = self._head(request)
        headers["Content-Type"] = "text/event-stream"
        headers["X-Weight-Versions"] = str(self.version)
        framing = (
            {"Connection": "close"}
            if self.unframed
            else {"Transfer-Encoding": "chunked"}
        )
        version = self.version
        await asyncio.sleep(self.event_s)
        writer.write(_encode_head(200, {**headers, **framing}))
        for number in range(first, count):
            if self.intervene and await self.intervene(self, request, writer, number):
                return True
            if writer.is_closing():
                return True
            lines = [f"id: {number}", f"data: {event_data(request['id'], number)}"]
            if self.version != version:
                version = self.version
                lines.insert(0, f"x-weight-versions: {version}")
            block = "\n".join(lines).encode() + b"\n\n"
            writer.write(block if self.unframed else encode_chunk(block))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        if not self.unframed:
            writer.write(encode_chunk(b""))
        await writer.drain()
        return self.unframed

    async def _take_order(
        self, request: dict[str, Any], writer: asyncio.StreamWriter
    ) -> bool:
        order = json.loads(request["body"])
        self._record.write(f"order {self.name} {order}")
        if order["version"] <= self.version:
            return await _respond(writer, 200)
        if self.is_busy or order.get("expected", self.orders) != self.orders:
            return await _respond(writer, 409)
        self.orders += 1
        self.is_busy = True
        self._tasks.append(asyncio.create_task(self._load(order)))
        return await _respond(writer, 202)

    async def _load(self, order: dict[str, Any]) -> None:
        while order["mode"] == "wait" and self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(_LOAD_S)
        self.version = order["version"]
        self.is_busy = False
        self._record.write(f"loaded {self.name} version={self.version}")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection after the bytes written so far were sent."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def plain_body(request_id: str) -> bytes:
    """Return the complete answer of a plain service to a request."""
    return b"".join(b"%s line %d\n" % (request_id.encode(), n) for n in range(40))


def event_data(item: str, number: int) -> str:
    """Return the data of one event of an item."""
    return f"{item}.{number}"


def whole_text(item: str, count: int) -> str:
    """Return the complete text of an item."""
    return "\n".join(event_data(item, number) for number in range(count))


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def _encode_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def _respond(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bool:
    sent = {"Content-Length": str(len(body)), **(headers or {})}
    writer.write(_encode_head(status, sent) + body)
    await writer.drain()
    return False


def configuration(version: int, **rollout: Any) -> dict[str, Any]:
    """Return a configuration with a route of batch jobs and one of safe requests.

    Keyword arguments change the route of batch jobs.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": "r-rollout",
                "host": HOST,
                "path_prefix": "/rollout/",
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
                **rollout,
            },
            {
                "name": "r-safe",
                "host": HOST,
                "path_prefix": "/safe/",
                "kind": "safe",
                "timeout_ms": 1500,
                "target_latency_ms": 190,
                "priority": 2,
                "service": "desk",
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": "engines",
                "health_path": "/healthz",
                "max_conns": 150,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 12,
                    "kv_capacity": 95884,
                    "models": [{"name": MODEL}],
                },
            },
            {
                "name": "desk",
                "health_path": "/healthz",
                "max_conns": 100,
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


def batch_job(items: dict[str, int], **changes: Any) -> dict[str, Any]:
    """Return a batch job; the items' values are the numbers of their events."""
    requests = [
        {
            "id": item,
            "path": f"/rollout/0/{item}",
            "headers": {"X-Model": MODEL, "X-Token-Count": f"20,{count}"},
            "body": base64.b64encode(b"prompt %d" % count).decode(),
            "tokens": 20 + count,
            "group": "g1",
        }
        for item, count in items.items()
    ]
    job = {
        "step": 0,
        "model": MODEL,
        "min_version": 1,
        "group_count": 1,
        "requests": requests,
    }
    return {**job, **changes}


class Client:
    """Operator, trainer and client in one; repeats calls at the next address.

    Parameters
    ----------
    control, front : list of str
        Addresses of control and of the entries.
    record : Record
        Gets a line for each answer.
    """

    def __init__(self, control: list[str], front: list[str], record: Record) -> None:
        self.control = list(control)
        self.front = list(front)
        self._record = record

    async def until_accepted(
        self,
        addresses: list[str],
        method: str,
        path: str,
        body: bytes | dict = b"",
        headers: dict[str, str] | None = None,
        give_up_s: float = 20.0,
    ) -> Answer | None:
        """Repeat a call, at one address after the other, until a 2xx arrives."""
        ends_at = time.monotonic() + give_up_s
        attempt = 0
        while time.monotonic() < ends_at:
            address = addresses[attempt % len(addresses)]
            attempt += 1
            answer = await call(address, method, path, body, headers)
            status = answer.status if answer is not None else None
            self._record.write(f"{method} {path} at {address} -> {status}")
            if answer is not None and answer.status // 100 == 2:
                return answer
            await asyncio.sleep(min(0.1 * attempt, 0.5))
        return None

    async def configure(self, document: dict[str, Any]) -> bool:
        """Send a configuration until it is acknowledged."""
        answer = await self.until_accepted(
            self.control, "POST", "/-/Config.Replace", document
        )
        return answer is not None

    async def name_version(self, version: int) -> bool:
        """Name a version of the model until it is acknowledged."""
        body = {"model": MODEL, "version": version}
        answer = await self.until_accepted(self.control, "POST", "/-/version-put", body)
        return answer is not None

    async def submit(self, name: str, job: dict[str, Any]) -> bool:
        """Submit a batch job until it is accepted."""
        headers = {"X-Request-Id": name, "Content-Type": "application/json"}
        headers["X-Deadline-Ms"] = "12000"
        answer = await self.until_accepted(
            self.front, "POST", f"/rollout/{name}", job, headers
        )
        return answer is not None

    async def read(self, name: str, after: int) -> dict[str, Any] | None:
        """Read results of a batch job from a position; None without a 200."""
        self.front.append(self.front.pop(0))
        answer = await call(
            self.front[0],
            "GET",
            f"/-/lots/{name}?after={after}",
            headers={"X-Wait-Ms": "500"},
        )
        if answer is None or answer.status != 200:
            return None
        return answer.json()

    async def read_results(self, name: str, give_up_s: float) -> list[dict[str, Any]]:
        """Read a batch job until all its results are there or the time is over."""
        results: list[dict[str, Any]] = []
        ends_at = time.monotonic() + give_up_s
        while time.monotonic() < ends_at:
            page = await self.read(name, len(results))
            if page is not None:
                for result in page["results"]:
                    self._record.write(
                        f"result {name}[{len(results)}] {result['id']} "
                        f"{result['state']} versions={result['versions']} "
                        f"bytes={len(result['text'])}"
                    )
                    results.append(result)
                if len(results) == page["total"]:
                    return results
            await asyncio.sleep(0.25)
        return results

    async def is_served(self, entry_count: int, give_up_s: float = 20.0) -> bool:
        """Return whether every entry answers a safe request in time."""
        ends_at = time.monotonic() + give_up_s
        for address in list(self.front):
            while time.monotonic() < ends_at:
                answer = await call(
                    address,
                    "POST",
                    "/safe/warm",
                    b"warm 1",
                    {"X-Request-Id": f"warm-{time.monotonic_ns()}"},
                )
                if answer is not None and answer.status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                return False
        return True
