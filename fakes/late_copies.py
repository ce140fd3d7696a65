"""A backend server whose answers are repeated late, in front of later ones."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict

from aiohttp import web

# Status and headers of the answers; those with X-Not-Executed did not run.
_REFUSALS = [
    (503, {"X-Not-Executed": "1"}),
    (429, {"X-Not-Executed": "1", "Retry-After": "0.1"}),
]
_RUNS = [(200, {}), (500, {}), (404, {})]
# What copies say beside what the earlier answer said.
_CLAIMS = [
    {},
    {"Server-Leaving": "1"},
    {"Server-Limit": "0.1"},
    {"X-Load-Report": "900,900,8,100"},
    {"X-Not-Executed": "1"},
    {"X-Weight-Versions": "9"},
]
# Of a request whose answer comes after a copy.
_LONG_RUN_S = 1.5


class LateCopies:
    """Refuses or runs requests, and sends copies of earlier answers late.

    Parameters
    ----------
    rng : random.Random
        Draws the answers and the copies.
    runs : Counter
        Number of runs by request id, at all servers that share it.
    running : Counter
        The same for runs that have not ended.

    Attributes
    ----------
    copies_sent : int
        Number of copies.
    """

    def __init__(self, rng: random.Random, runs: Counter, running: Counter) -> None:
        self._rng = rng
        self._runs = runs
        self._running = running
        self._earlier: dict[object, list[tuple]] = defaultdict(list)
        self.copies_sent = 0

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer a request, after a copy of an earlier answer on its connection."""
        await request.read()
        request_id = request.headers["X-Request-Id"]
        earlier = self._earlier[request.transport]
        run_s = 0.0
        if earlier and self._rng.random() < 0.5:
            assert request.transport is not None
            status, headers, body = self._rng.choice(earlier)
            headers = {**headers, **self._rng.choice(_CLAIMS)}
            request.transport.write(_encode(status, headers, body))
            self.copies_sent += 1
            run_s = _LONG_RUN_S
        is_refused = self._rng.random() < 0.4
        status, headers = self._rng.choice(_REFUSALS if is_refused else _RUNS)
        body = f"{status} for {request_id}".encode()
        headers = {**headers, "X-Request-Id": request_id, "X-Server-Stamp": request_id}
        if not is_refused:
            await self._run(request_id, run_s)
        earlier.append((status, headers, body))
        return web.Response(status=status, headers=headers, body=body)

    async def _run(self, request_id: str, run_s: float) -> None:
        self._runs[request_id] += 1
        self._running[request_id] += 1
        try:
            await asyncio.sleep(run_s)
        finally:
            self._running[request_id] -= 1


def _encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Copy", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
