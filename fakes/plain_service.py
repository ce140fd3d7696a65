"""A fake plain service that counts what it runs."""

from __future__ import annotations

import asyncio
import json

from aiohttp import web

from .backend import FakeBackend


class FakePlainService(FakeBackend):
    """Answers every path after a fixed time and counts executions by key.

    Parameters
    ----------
    work_s : float
        Seconds to answer.
    """

    def __init__(self, *args, work_s: float = 0.005, **options) -> None:
        super().__init__(*args, **options)
        self.work_s = work_s
        self.executions: dict[str, int] = {}
        self.breaks_connections = False
        self.started = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()
        router = self.application.router
        router.add_post("/score", self.answer_score)
        router.add_get("/executions", self.answer_executions)
        router.add_route("*", "/{path:.*}", self.answer)

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer with the method, path and length of the request."""
        self.in_flight += 1
        try:
            body = await request.read()
            key = request.headers.get("Idempotency-Key", request.path_qs)
            self.executions[key] = self.executions.get(key, 0) + 1
            self.started.set()
            if self.breaks_connections and request.transport is not None:
                request.transport.abort()
            await self.gate.wait()
            await asyncio.sleep(self.work_s)
            answer = {
                "server": self.name,
                "method": request.method,
                "path": request.path_qs,
                "length": len(body),
            }
            return web.json_response(answer, headers=self.headers(request))
        finally:
            self.in_flight -= 1

    async def answer_score(self, request: web.Request) -> web.Response:
        """Score a sample by the length of its text."""
        body = await request.json()
        score = {"score": float(len(body["text"]))}
        return web.json_response(score, headers=self.headers(request))

    async def answer_executions(self, request: web.Request) -> web.Response:
        """Tell how often each key was run."""
        body = json.dumps(self.executions)
        return web.Response(text=body, headers=self.headers(request))
