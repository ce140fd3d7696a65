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

NETWORK_S = 0.001
TOKENS_PER_EVENT = 4


@dataclass
class FakeServer:
    """Slots, a priority queue, slow spells and a lagging load report.

    Attributes
    ----------
    spells : list of tuple
        Start, end and slowdown of each slow spell, in seconds.
    report_lag_s : float
        Age of the load that it reports.
    """

    name: str
    service: str
    slots: int
    rng: random.Random
    spells: list[tuple[float, float, float]] = field(default_factory=list)
    report_lag_s: float = 0.5
    version: int | None = None
    is_down: bool = False
    in_flight: int = 0
    busy: int = 0
    served: int = 0

    def __post_init__(self) -> None:
        self._waiting: list = []
        self._order = itertools.count()
        self._history: deque = deque([(0.0, 0)])
        self.running: set[asyncio.Future] = set()

    def slowdown(self) -> float:
        """Return how much slower than usual it is now."""
        factors = [each[2] for each in self.spells if each[0] <= now() < each[1]]
        return max(factors, default=1.0)

    def reported(self) -> int:
        """Return the load as it was some time ago."""
        at = now() - self.report_lag_s
        while len(self._history) > 1 and self._history[1][0] <= at:
            self._history.popleft()
        return self._history[0][1]

    def note_load(self, change: int) -> None:
        """Count a request that comes or goes."""
        self.in_flight += change
        self._history.append((now(), self.in_flight))

    async def acquire(self, priority: int) -> None:
        """Wait for a slot."""
        if self.busy < self.slots:
            self.busy += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give a slot to the next that waits."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self.busy -= 1

    def crash(self) -> None:
        """Break all connections and take no new ones."""
        self.is_down = True
        for work in list(self.running):
            if not work.done():
                work.set_exception(aiohttp.ServerDisconnectedError())

    async def work(self, work_s: float) -> None:
        """Work for some seconds at full speed, longer in a slow spell."""
        while work_s > 1e-9:
            factor = self.slowdown()
            step_s = min(work_s * factor, self._until_change())
            await self._sleep_or_crash(step_s)
            work_s -= step_s / factor

    async def _sleep_or_crash(self, step_s: float) -> None:
        if self.is_down:
            raise aiohttp.ServerDisconnectedError()
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        handle = asyncio.get_running_loop().call_later(step_s, _finish, future)
        self.running.add(future)
        try:
            await future
        finally:
            handle.cancel()
            self.running.discard(future)

    def _until_change(self) -> float:
        edges = [edge for each in self.spells for edge in each[:2] if edge > now()]
        return min((edge - now() for edge in edges), default=1e9)


def _finish(future: asyncio.Future) -> None:
    if not future.done():
        future.set_result(None)


class FakeResponse:
    """What the entry reads of an answer."""

    def __init__(self, headers: dict, body: bytes, chunks=None) -> None:
        self.status = 200
        self.headers = headers
        self.content_length = len(body)
        self.content = self
        self._body = body
        self._chunks = chunks
        self._finish: Callable[[], None] | None = None

    async def read(self, size: int = -1) -> bytes:
        """Return the whole body."""
        return self._body

    async def readany(self) -> bytes:
        """Return the next chunk of a stream."""
        assert self._chunks is not None
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            return b""

    def on_close(self, finish: Callable[[], None]) -> None:
        """Call a function once when the answer is closed."""
        self._finish = finish

    def close(self) -> None:
        """Let the server know that nobody reads on."""
        finish, self._finish = self._finish, None
        if finish is not None:
            finish()

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
        await asyncio.sleep(2 * NETWORK_S)
        server = self._session.server_at(self._url)
        body = json.dumps(
            {
                "boot": server.name,
                "state": "serving",
                "in_flight": server.reported(),
                "version": server.version,
            }
        )
        return FakeResponse({}, body.encode())

    async def __aexit__(self, *exception: object) -> None:
        return None


class FakeSession:
    """Stands for the HTTP connections of an entry.

    Parameters
    ----------
    servers : dict
        Servers by address.
    """

    def __init__(self, servers: dict[str, FakeServer]) -> None:
        self._servers = servers

    def server_at(self, url: str) -> FakeServer:
        """Return the server that a URL leads to, if it runs."""
        server = self._servers[url.split("/")[2]]
        if server.is_down:
            raise aiohttp.ServerDisconnectedError()
        return server

    def get(self, url: str, **options) -> _ProbeRequest:
        """Probe a server."""
        return _ProbeRequest(self, url)

    async def request(self, method: str, url: str, headers, data, **options):
        """Send a request and return the head of its answer."""
        await asyncio.sleep(NETWORK_S)
        server = self.server_at(url)
        if url.endswith("/v1/completions"):
            return self._stream(server, headers, json.loads(data))
        server.note_load(1)
        try:
            await server.acquire(int(headers.get("X-Priority", 0)))
            try:
                await server.work(float(headers["X-Work"]))
            finally:
                server.release()
        finally:
            server.note_load(-1)
        server.served += 1
        await asyncio.sleep(NETWORK_S)
        return FakeResponse(self._headers(server, headers), b"answer")

    def _headers(self, server: FakeServer, headers: dict) -> dict:
        return {
            "Pollenlb-Request-Id": headers["Pollenlb-Request-Id"],
            "Pollenlb-Boot": server.name,
            "Pollenlb-In-Flight": str(server.reported()),
        }

    def _stream(self, server: FakeServer, headers: dict, body: dict) -> FakeResponse:
        chunks = _tokens(server, headers["Pollenlb-Request-Id"], body)
        response = FakeResponse(self._headers(server, headers), b"", chunks)
        loop = asyncio.get_running_loop()
        response.on_close(lambda: loop.create_task(chunks.aclose()))
        return response


async def _tokens(server: FakeServer, request_id: str, body: dict):
    length = int(body["user"].rpartition("#")[2])
    at = body.get("resume", {}).get("tokens", 0)
    server.note_load(1)
    try:
        await server.acquire(body["priority"])
        try:
            while at < length:
                count = min(TOKENS_PER_EVENT, length - at)
                await server.work(count * body["token_s"])
                while server.version is None:
                    await asyncio.sleep(0.05)
                at += count
                yield _event(server, request_id, count, at == length)
        finally:
            server.release()
    finally:
        server.note_load(-1)
    yield b"data: [DONE]\n\n"


def _event(server: FakeServer, request_id: str, count: int, is_last: bool) -> bytes:
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
