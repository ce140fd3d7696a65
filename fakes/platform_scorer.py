"""A fake plain service that answers reward calls on the users' platform."""

from __future__ import annotations

import asyncio

from aiohttp import web

from .platform_engine import PlatformEngine


class PlatformScorer(PlatformEngine):
    """Answers each request with a proof that names the request.

    Parameters are those of `PlatformEngine`.

    Attributes
    ----------
    slots : int
        Number of slots in heartbeats.
    processing_s : float
        Seconds that an answer takes.
    silent_ids : set of str
        Requests whose next answer never comes, each once.
    aborted_ids : set of str
        Requests after whose next run the connection is aborted, each once.
    truncated_ids : set of str
        Requests whose next answer breaks off halfway, each once.
    swapped_ids : set of str
        Requests whose next answer names another request, each once.
    received_hosts : dict
        Host and path with which a request arrived, by its id.
    most_running : int
        Greatest number of requests that ran at the same time.
    """

    def __init__(self, *args, **options) -> None:
        super().__init__(*args, **options)
        self.slots = 6
        self.processing_s = 0.01
        self.silent_ids: set[str] = set()
        self.aborted_ids: set[str] = set()
        self.truncated_ids: set[str] = set()
        self.swapped_ids: set[str] = set()
        self.received_hosts: dict[str, tuple[str, str]] = {}
        self.most_running = 0

    async def send_heartbeat(self, **changes) -> int:
        """Send one heartbeat with changed fields and return the HTTP status."""
        return await super().send_heartbeat(
            **{"models": [], "slots": self.slots, **changes}
        )

    async def _stream(
        self, request: web.Request, body: bytes, last_event_id: int
    ) -> web.StreamResponse:
        request_id = request.headers["X-Request-Id"]
        self.received_hosts[request_id] = (request.host, request.path)
        self.most_running = max(self.most_running, len(self.running))
        await asyncio.sleep(self.processing_s)
        if request_id in self.silent_ids:
            self.silent_ids.discard(request_id)
            await asyncio.Event().wait()
        if request_id in self.aborted_ids:
            self.aborted_ids.discard(request_id)
            assert request.transport is not None
            request.transport.abort()
            await asyncio.Event().wait()  # until the abortion cancels this handler
        answered_id = request_id
        if request_id in self.swapped_ids:
            self.swapped_ids.discard(request_id)
            answered_id = "another"
        response = web.StreamResponse(
            headers={
                "X-Request-Id": answered_id,
                "X-Server-Stamp": proof(answered_id),
                "X-Load-Report": f"{len(self.running)},0,{self.slots},100",
                "Content-Length": "4",
            }
        )
        await response.prepare(request)
        if request_id in self.truncated_ids:
            self.truncated_ids.discard(request_id)
            await response.write(b"do")
            assert request.transport is not None
            request.transport.abort()
            return response
        await response.write(b"done")
        await response.write_eof()
        return response


def proof(request_id: str) -> str:
    """Return the proof with which a scorer answers a request."""
    return f"proof-of-{request_id}"
