"""A fake model engine with slots, streamed tokens, weight versions and swap orders."""

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

    Other arguments are those of `FakeBackend`.

    Parameters
    ----------
    token_s : float
        Time to generate one token, in seconds.
    swap_s : float
        Time to load other weights, in seconds; no tokens are generated meanwhile.
    checks_fencing : bool
        Whether orders with a fencing number lower than an earlier one are refused.
    version : int
        Weight version that is loaded at the start.

    Attributes
    ----------
    fails_next_swap : bool
        Whether the next swap leaves the engine without a version; reset by that swap.
    received_count : int
        Number of completion requests received.
    generated_tokens : list of dict
        Each generated token: request ``id``, position ``at``, version ``v``.
    orders : list of dict
        Accepted orders, oldest first.
    order_times_s : list of float
        Times of the accepted orders, in seconds of the monotonic clock.
    highest_fencing : list of int
        Highest fencing number of an order so far, as term and sequence.
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
        self.fails_next_swap = False
        self.received_count = 0
        self.generated_tokens: list[dict] = []
        self.orders: list[dict] = []
        self.order_times_s: list[float] = []
        self.highest_fencing = [0, 0]
        self._slots = asyncio.Semaphore(self.slots)
        router = self.application.router
        router.add_post("/v1/completions", self.handle_completion)
        router.add_post("/pollenlb/order", self.handle_order)

    async def handle_completion(self, request: web.Request) -> web.StreamResponse:
        """Stream a completion; each event reports the weight version of its token.

        The prompt ``CRASH_PROMPT`` ends the process instead.
        """
        body = await request.json()
        self.in_flight += 1
        self.received_count += 1
        try:
            async with self._slots:
                if body["prompt"] == CRASH_PROMPT:
                    await self.crash()
                return await self._stream(request, body)
        finally:
            self.in_flight -= 1

    async def crash(self) -> None:
        """End the process at once, as a crash does; tests replace this method."""
        os._exit(1)

    async def _stream(self, request: web.Request, body: dict) -> web.StreamResponse:
        response = web.StreamResponse(headers=self.response_headers(request))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        request_id = request.headers["Pollenlb-Request-Id"]
        start = body.get("resume", {}).get("tokens", 0)
        length = token_count(body)
        for position in range(start, length):
            await asyncio.sleep(self.token_s)
            while self.version is None:
                await asyncio.sleep(self.token_s)
            self.generated_tokens.append(
                {"id": request_id, "at": position, "v": self.version}
            )
            is_last = position == length - 1
            await response.write(self._event(request_id, body, position, is_last))
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _event(
        self, request_id: str, body: dict, position: int, is_last: bool
    ) -> bytes:
        event = {
            "id": request_id,
            "choices": [
                {
                    "text": token_text(body, position, self.version),
                    "finish_reason": "stop" if is_last else None,
                }
            ],
            "pollenlb": {"version": self.version, "boot": self.boot, "tokens": 1},
        }
        return b"data: " + json.dumps(event).encode() + b"\n\n"

    async def handle_order(self, request: web.Request) -> web.Response:
        """Accept a swap order with 202, or refuse its fencing number with 409."""
        order = await request.json()
        if self.checks_fencing and order["fencing"] < self.highest_fencing:
            return web.json_response({"highest": self.highest_fencing}, status=409)
        self.highest_fencing = max(self.highest_fencing, order["fencing"])
        self.orders.append(order)
        self.order_times_s.append(time.monotonic())
        asyncio.get_running_loop().create_task(self.swap(order["version"]))
        return web.json_response({}, status=202)

    async def swap(self, version: int) -> None:
        """Swap to another weight version.

        The version is None during the swap, and stays None if the swap fails. A
        swap to a lower version ends with the current version loaded again.
        """
        old = self.version
        self.version = None
        await asyncio.sleep(self.swap_s)
        if self.fails_next_swap:
            self.fails_next_swap = False
            return
        self.version = max(version, old or 0)


def token_count(body: dict) -> int:
    """Return the length of a completion, from 1 to ``max_tokens``.

    Equal prompts of equal users get equal lengths.
    """
    text = body["prompt"] + str(body.get("user", ""))
    digest = hashlib.sha256(text.encode()).digest()
    return 1 + digest[0] * body["max_tokens"] // 256


def token_text(body: dict, position: int, version: int | None) -> str:
    """Return a token whose text contains its position and weight version."""
    return f"{position}:{version} "
