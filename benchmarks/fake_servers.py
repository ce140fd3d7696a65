"""Backend servers in virtual time, behind a fake HTTP session."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

from pollenlb.clock import now

NETWORK_DELAY_S = 0.001  # one way
# How long an entry keeps an idle connection.
_IDLE_LIMIT_S = 15.0
TOKENS_PER_EVENT = 4


@dataclass
class FakeServer:
    """A server with slots, a priority queue, slow periods and a delayed load report.

    Attributes
    ----------
    slow_periods : list of tuple
        Start and end in seconds of virtual time, and the factor by which work then
        takes longer.
    report_lag_s : float
        Age of the reported number of requests in flight, in seconds.
    version : int or None
        Weight version of an engine; None while weights change, when it emits no tokens.
    is_down : bool
        Whether it breaks every connection.
    in_flight : int
        Requests that wait for a slot or are being processed.
    served_count : int
        Plain requests completed.
    pending_work : set of Future
        Work in progress, which a crash fails.
    """

    name: str
    service: str
    slots: int
    rng: random.Random
    slow_periods: list[tuple[float, float, float]] = field(default_factory=list)
    report_lag_s: float = 0.5
    version: int | None = None
    is_down: bool = False
    in_flight: int = 0
    busy_slots: int = 0
    served_count: int = 0

    def __post_init__(self) -> None:
        self._slot_queue: list = []
        self._arrival_numbers = itertools.count()
        self._load_history: deque = deque([(0.0, 0)])
        self.pending_work: set[asyncio.Future] = set()

    def slowdown(self) -> float:
        """Return the factor by which work takes longer now, 1 at full speed."""
        factors = [
            period[2] for period in self.slow_periods if period[0] <= now() < period[1]
        ]
        return max(factors, default=1.0)

    def reported_in_flight(self) -> int:
        """Return the number of requests in flight ``report_lag_s`` ago."""
        reported_at = now() - self.report_lag_s
        while len(self._load_history) > 1 and self._load_history[1][0] <= reported_at:
            self._load_history.popleft()
        return self._load_history[0][1]

    def record_load_change(self, change: int) -> None:
        """Add to the number of requests in flight and to its history."""
        self.in_flight += change
        self._load_history.append((now(), self.in_flight))

    async def acquire_slot(self, priority: int) -> None:
        """Wait for a free slot; lower priority values go first, then arrival order."""
        if self.busy_slots < self.slots:
            self.busy_slots += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self._slot_queue, (priority, next(self._arrival_numbers), future)
        )
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release_slot()
            raise

    def release_slot(self) -> None:
        """Free a slot, or hand it to the next request in the queue."""
        while self._slot_queue:
            _, _, future = heapq.heappop(self._slot_queue)
            if not future.done():
                future.set_result(None)
                return
        self.busy_slots -= 1

    def crash(self) -> None:
        """Break all connections and refuse new ones."""
        self.is_down = True
        for future in list(self.pending_work):
            if not future.done():
                future.set_exception(aiohttp.ServerDisconnectedError())

    async def run_work(self, work_s: float) -> None:
        """Do work that takes ``work_s`` seconds at full speed, longer in slow periods.

        Raises
        ------
        aiohttp.ServerDisconnectedError
            When the server is down or crashes meanwhile.
        """
        while work_s > 1e-9:
            factor = self.slowdown()
            step_s = min(work_s * factor, self._until_speed_change_s())
            await self._sleep_or_crash(step_s)
            work_s -= step_s / factor

    async def _sleep_or_crash(self, step_s: float) -> None:
        if self.is_down:
            raise aiohttp.ServerDisconnectedError()
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        handle = asyncio.get_running_loop().call_later(step_s, _set_done, future)
        self.pending_work.add(future)
        try:
            await future
        finally:
            handle.cancel()
            self.pending_work.discard(future)

    def _until_speed_change_s(self) -> float:
        edges = [
            edge for period in self.slow_periods for edge in period[:2] if edge > now()
        ]
        return min((edge - now() for edge in edges), default=1e9)


def _set_done(future: asyncio.Future) -> None:
    if not future.done():
        future.set_result(None)


class FakeResponse:
    """The part of an aiohttp response that entries use."""

    def __init__(self, headers: dict, body: bytes, chunks=None) -> None:
        self.status = 200
        self.method = "POST"
        self.headers = headers
        self.content_length = len(body)
        self.total_bytes = len(body)
        self.content = self
        self._body = body
        self._chunks = chunks
        self._close_callback: Callable[[], None] | None = None

    async def read(self, size: int = -1) -> bytes:
        """Return the complete body."""
        return self._body

    async def iter_any(self):
        """Yield the complete body, or the chunks of a stream."""
        if self._chunks is None:
            yield self._body
            return
        async for chunk in self._chunks:
            yield chunk

    def on_eof(self, callback: Callable[[], None]) -> None:
        """Ignore the callback, since nothing depends on it here."""

    async def readany(self) -> bytes:
        """Return the next chunk of a stream, or no bytes at its end."""
        assert self._chunks is not None
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            return b""

    def on_close(self, callback: Callable[[], None]) -> None:
        """Set a function to call once, when the response is closed."""
        self._close_callback = callback

    def close(self) -> None:
        """Close the connection, so that the server stops the stream."""
        callback, self._close_callback = self._close_callback, None
        if callback is not None:
            callback()

    release = close

    async def __aenter__(self) -> FakeResponse:
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.close()


class _ProbeRequest:
    def __init__(self, session: FakeSession, url: str) -> None:
        self._session = session
        self._url = url

    async def __aenter__(self) -> FakeResponse:
        await asyncio.sleep(2 * NETWORK_DELAY_S)
        server = self._session.server_at(self._url)
        body = json.dumps(
            {
                "boot": server.name,
                "state": "serving",
                "in_flight": server.reported_in_flight(),
                "version": server.version,
            }
        )
        return FakeResponse({}, body.encode())

    async def __aexit__(self, *exception: object) -> None:
        return None


class FakeConnections:
    """Idle connections of an entry by address; a table as `ConnectionTable` is.

    Attributes
    ----------
    opened_count, reused_count : int
        Requests for which a connection was opened, and others.
    table : FakeConnections
        The object itself, which takes the place of a connector, too.
    """

    def __init__(self) -> None:
        self.opened_count = 0
        self.reused_count = 0
        self.table = self
        self._idle_since: dict[str, list[float]] = {}

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        oldest = now() - _IDLE_LIMIT_S
        idle = [since for since in self._idle_since.get(address, ()) if since > oldest]
        self._idle_since[address] = idle
        return len(idle)

    def acquire(self, address: str) -> None:
        """Take an idle connection to an address, or open one."""
        if self.idle_count(address):
            self._idle_since[address].pop()
            self.reused_count += 1
        else:
            self.opened_count += 1

    def release(self, address: str) -> None:
        """Return a connection after a complete answer."""
        self._idle_since.setdefault(address, []).append(now())


class FakeSession:
    """Replaces the aiohttp session of an entry.

    Parameters
    ----------
    servers : dict
        Servers by address, as host and port.
    """

    def __init__(self, servers: dict[str, FakeServer]) -> None:
        self._servers = servers
        self.connector = FakeConnections()

    def server_at(self, url: str) -> FakeServer:
        """Return the server with the address of a URL.

        Raises
        ------
        aiohttp.ServerDisconnectedError
            When the server is down.
        """
        server = self._servers[url.split("/")[2]]
        if server.is_down:
            raise aiohttp.ServerDisconnectedError()
        return server

    def get(self, url: str, **options) -> _ProbeRequest:
        """Return a context manager that probes a server."""
        return _ProbeRequest(self, url)

    async def request(self, method: str, url, headers, data, **options):
        """Send a request and return its response.

        The response to a plain request is complete; that to a completion is a stream.

        Raises
        ------
        aiohttp.ServerDisconnectedError
            When the server is down or crashes meanwhile.
        """
        await asyncio.sleep(NETWORK_DELAY_S)
        url = str(url)
        server = self.server_at(url)
        address = url.split("/")[2]
        self.connector.acquire(address)
        if url.endswith("/v1/completions"):
            return self._stream_response(server, headers, json.loads(data))
        server.record_load_change(1)
        try:
            await server.acquire_slot(int(headers.get("X-Priority", 0)))
            try:
                await server.run_work(float(headers["X-Work"]))
            finally:
                server.release_slot()
        finally:
            server.record_load_change(-1)
        server.served_count += 1
        self.connector.release(address)
        await asyncio.sleep(NETWORK_DELAY_S)
        return FakeResponse(self._response_headers(server, headers), b"answer")

    def _response_headers(self, server: FakeServer, headers: dict) -> dict:
        return {
            "Pollenlb-Request-Id": headers["Pollenlb-Request-Id"],
            "Pollenlb-Boot": server.name,
            "Pollenlb-In-Flight": str(server.reported_in_flight()),
        }

    def _stream_response(
        self, server: FakeServer, headers: dict, body: dict
    ) -> FakeResponse:
        chunks = _generate_events(server, headers["Pollenlb-Request-Id"], body)
        response = FakeResponse(self._response_headers(server, headers), b"", chunks)
        loop = asyncio.get_running_loop()
        response.on_close(lambda: loop.create_task(chunks.aclose()))
        return response


async def _generate_events(server: FakeServer, request_id: str, body: dict):
    """Yield the event stream of a completion, as long as its ``user`` field says."""
    length = int(body["user"].rpartition("#")[2])
    position = body.get("resume", {}).get("tokens", 0)
    server.record_load_change(1)
    try:
        await server.acquire_slot(body["priority"])
        try:
            while position < length:
                count = min(TOKENS_PER_EVENT, length - position)
                await server.run_work(count * body["token_s"])
                while server.version is None:
                    await asyncio.sleep(0.05)
                position += count
                yield _encode_event(server, request_id, count, position == length)
        finally:
            server.release_slot()
    finally:
        server.record_load_change(-1)
    yield b"data: [DONE]\n\n"


def _encode_event(
    server: FakeServer, request_id: str, count: int, is_last: bool
) -> bytes:
    event = {
        "id": request_id,
        "choices": [
            {"text": "t" * count, "finish_reason": "stop" if is_last else None}
        ],
        "pollenlb": {
            "version": server.version,
            "boot": server.name,
            "tokens": count,
        },
    }
    return b"data: " + json.dumps(event).encode() + b"\n\n"
