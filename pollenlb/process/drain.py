"""Planned stop of an entry, so that callers notice no more of it than they must."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from weakref import WeakKeyDictionary

from aiohttp import web
from aiohttp.typedefs import Handler

from ..clock import Deadline, deadline_in, now, remaining_time_s, sleep_until
from ..request.outcome import Outcome, Refusal
from .context import EntryContext
from .http_server import HttpServer

_POLL_INTERVAL_S = 0.02
# A caller whose last answer did not say that the connection ends may send another
# request just after it, and learns it from the answer to that one.
_LINGER_S = 0.5
# Leaves time to write the last answers.
_ANSWER_TIME_S = 0.1


class Drain:
    """Ends the connections and requests of callers during a planned stop.

    Each answer says that its connection ends. Idle connections are closed once no
    new ones are accepted. A request that outlasts the stop is answered, so that
    its caller does not wait on a lost connection.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._active: Counter[asyncio.Transport] = Counter()
        self._last_used_at: WeakKeyDictionary[asyncio.Transport, float] = (
            WeakKeyDictionary()
        )
        self._running: set[asyncio.Task] = set()
        self._ended: set[asyncio.Task] = set()

    def add_to(self, application: web.Application) -> None:
        """Follow the requests of an application."""
        application.middlewares.append(self._follow)
        application.on_response_prepare.append(self._announce_close)

    async def run(self, servers: Sequence[HttpServer], deadline: Deadline) -> None:
        """Return when no connection is left, or the last requests have been answered.

        Parameters
        ----------
        servers : sequence of HttpServer
            Servers that have stopped to listen.
        deadline : Deadline
            When requests that still run are answered with an error.
        """
        answer_at = Deadline(deadline - _ANSWER_TIME_S)
        while remaining_time_s(answer_at) and any(
            server.connections for server in servers
        ):
            for server in servers:
                self._close_idle(server)
            await sleep_until(Deadline(min(answer_at, deadline_in(_POLL_INTERVAL_S))))
        self._ended = set(self._running)
        for task in self._ended:
            task.cancel()
        while self._running and remaining_time_s(deadline):
            await sleep_until(deadline_in(_POLL_INTERVAL_S))

    def _close_idle(self, server: HttpServer) -> None:
        for connection in server.connections:
            transport = connection.transport
            if transport is None or self._active[transport]:
                continue
            last_used_at = self._last_used_at.get(transport, float("-inf"))
            if now() >= last_used_at + _LINGER_S:
                connection.force_close()

    @web.middleware
    async def _follow(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        task, transport = asyncio.current_task(), request.transport
        assert task is not None
        if transport is not None:
            self._active[transport] += 1
        self._running.add(task)
        try:
            return await handler(request)
        except asyncio.CancelledError:
            has_caller = request.transport is not None
            if task not in self._ended or not has_caller or _is_answered(request):
                raise
            task.uncancel()
            return self._refuse(request)
        finally:
            self._running.discard(task)
            if transport is not None:
                self._active[transport] -= 1
                if not self._active[transport]:
                    del self._active[transport]
                self._last_used_at[transport] = now()

    def _refuse(self, request: web.Request) -> web.Response:
        dialect = self._context.dialect
        reason = "the instance stopped before the request had ended; it may have run"
        request_id = dialect.request_id_of(request)
        self._context.events.record("request.outlasted_stop", request=request_id)
        return dialect.refusal_response(
            Refusal(504, Outcome.UNKNOWN, reason), request_id
        )

    async def _announce_close(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._context.is_draining:
            # aiohttp has chosen the headers of the connection before this.
            response.headers["Connection"] = "close"
            response.force_close()


def _is_answered(request: web.Request) -> bool:
    """Return whether the head of an answer was sent."""
    return request.writer.output_size > 0
