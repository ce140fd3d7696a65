"""A fake model engine: slots, streamed tokens, weight versions, orders."""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import time

from aiohttp import web

from .backend import FakeBackend

CRASH_PROMPT = "crash the engine"


class FakeEngine(FakeBackend):
    """Engine with a fixed number of slots and a fixed time for each token.

    Parameters
    ----------
    token_s : float
        Seconds to generate one token.
    swap_s : float
        Seconds to change weights.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    """

    def __init__(
        self,
        *args,
        token_s: float = 0.01,
        swap_s: float = 0.3,
        checks_fencing: bool = True,
        version: int = 1,
        **options,
    ) -> None:
        super().__init__(*args, **options)
        self.token_s = token_s
        self.swap_s = swap_s
        self.checks_fencing = checks_fencing
        self.version = version
        self.does_next_swap_fail = False
        self.received = 0
        self.log: list[dict] = []
        self.orders: list[dict] = []
        self.ordered_at: list[float] = []
        self.highest_fencing = [0, 0]
        self._slots = asyncio.Semaphore(self.slots)
        router = self.application.router
        router.add_post("/v1/completions", self.answer_completion)
        router.add_post("/pollenlb/order", self.answer_order)

    async def answer_completion(self, request: web.Request) -> web.StreamResponse:
        """Stream a completion; each piece names its weight version."""
        body = await request.json()
        self.in_flight += 1
        self.received += 1
        try:
            async with self._slots:
                if body["prompt"] == CRASH_PROMPT:
                    await self.crash()
                return await self._stream(request, body)
        finally:
            self.in_flight -= 1

    async def crash(self) -> None:
        """End the process as a crash would."""
        os._exit(1)

    async def _stream(self, request: web.Request, body: dict) -> web.StreamResponse:
        response = web.StreamResponse(headers=self.headers(request))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        request_id = request.headers["Pollenlb-Request-Id"]
        start = body.get("resume", {}).get("tokens", 0)
        length = token_count(body)
        for position in range(start, length):
            await asyncio.sleep(self.token_s)
            while self.version is None:
                await asyncio.sleep(self.token_s)
            self.log.append({"id": request_id, "at": position, "v": self.version})
            is_last = position == length - 1
            await response.write(self._event(request_id, body, position, is_last))
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _event(self, request_id: str, body: dict, at: int, is_last: bool) -> bytes:
        event = {
            "id": request_id,
            "choices": [
                {
                    "text": token_text(body, at, self.version),
                    "finish_reason": "stop" if is_last else None,
                }
            ],
            "pollenlb": {"version": self.version, "boot": self.boot, "tokens": 1},
        }
        return b"data: " + json.dumps(event).encode() + b"\n\n"

    async def answer_order(self, request: web.Request) -> web.Response:
        """Take an order to change weights."""
        order = await request.json()
        if self.checks_fencing and order["fencing"] < self.highest_fencing:
            return web.json_response({"highest": self.highest_fencing}, status=409)
        self.highest_fencing = max(self.highest_fencing, order["fencing"])
        self.orders.append(order)
        self.ordered_at.append(time.monotonic())
        asyncio.get_running_loop().create_task(self.swap(order["version"]))
        return web.json_response({}, status=202)

    async def swap(self, version: int) -> None:
        """Change weights; in between there is no whole version."""
        old = self.version
        self.version = None
        await asyncio.sleep(self.swap_s)
        if self.does_next_swap_fail:
            self.does_next_swap_fail = False
            return
        self.version = max(version, old or 0)


def token_count(body: dict) -> int:
    """Return the length of a completion, from 1 to ``max_tokens``."""
    text = body["prompt"] + str(body.get("user", ""))
    digest = hashlib.sha256(text.encode()).digest()
    return 1 + digest[0] * body["max_tokens"] // 256


def token_text(body: dict, position: int, version: int | None) -> str:
    """Return a token that names its position and version."""
    return f"{position}:{version} "
