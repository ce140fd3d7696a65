"""A fake plain service that counts the requests it executes."""

from __future__ import annotations

import asyncio
import json

from aiohttp import web

from .backend import FakeBackend


class FakePlainService(FakeBackend):
    """Answers requests to any path after a fixed time and counts executions by key.

    Other arguments are those of `FakeBackend`.

    Parameters
    ----------
    processing_s : float
        Time to process a request, in seconds.

    Attributes
    ----------
    executions : dict
        Number of executions by idempotency key, or by path without a key.
    aborts_connections : bool
        Whether the connection is aborted once a request has been received.
    request_received : asyncio.Event
        Set once a request has been received.
    may_answer : asyncio.Event
        Answers wait until this event is set, as it is at the start.
    """

    def __init__(self, *args, processing_s: float = 0.005, **options) -> None:
        super().__init__(*args, **options)
        self.processing_s = processing_s
        self.executions: dict[str, int] = {}
        self.aborts_connections = False
        self.request_received = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        router = self.application.router
        router.add_post("/score", self.handle_score)
        router.add_get("/executions", self.handle_executions)
        router.add_route("*", "/{path:.*}", self.handle_request)

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Count the request and answer with its method, path and body length."""
        self.in_flight += 1
        try:
            body = await request.read()
            key = request.headers.get("Idempotency-Key", request.path_qs)
            self.executions[key] = self.executions.get(key, 0) + 1
            self.request_received.set()
            if self.aborts_connections and request.transport is not None:
                request.transport.abort()
            await self.may_answer.wait()
            await asyncio.sleep(self.processing_s)
            answer = {
                "server": self.name,
                "method": request.method,
                "path": request.path_qs,
                "target": request.raw_path,
                "length": len(body),
            }
            return web.json_response(answer, headers=self.response_headers(request))
        finally:
            self.in_flight -= 1

    async def handle_score(self, request: web.Request) -> web.Response:
        """Answer with the number of characters of a sample's text as its score."""
        body = await request.json()
        score = {"score": float(len(body["text"]))}
        return web.json_response(score, headers=self.response_headers(request))

    async def handle_executions(self, request: web.Request) -> web.Response:
        """Answer with the number of executions by key."""
        body = json.dumps(self.executions)
        return web.Response(text=body, headers=self.response_headers(request))
