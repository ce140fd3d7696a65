"""Limits for callers of an HTTP server that respect none of their own.

aiohttp checks a request's parts against its limits when they are complete, and its
parser goes on after an error. This module bounds what arrives before, and closes the
connections that cost too much. See ``docs/design/untrusted-callers.md``.
"""

from __future__ import annotations

import asyncio
import math
import resource
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any, cast

from aiohttp import web
from aiohttp.http import HttpProcessingError, RawRequestMessage
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from ..clock import Deadline, deadline_in, now, sleep_until
from ..events import EventLog
from ..scheduling.connections import (
    ConnectionLoad,
    choose_to_free_bytes,
    choose_to_make_room,
)
from ..settings.http_server import HttpServerSettings

# Bytes that the parser gets at once. They bound the text of an error, which quotes
# them, and what is parsed before the limits are checked again.
_PIECE_BYTES = 16_384
_MAX_ERROR_CHARACTERS = 1000
# Estimated memory of a parsed request that waits, beside the bytes of its head.
_WAITING_REQUEST_BYTES = 4096
# Between two log lines with the same reason.
_LOG_INTERVAL_S = 1.0
# Between two checks of the connections' deadlines.
_CHECK_INTERVAL_S = 0.25
_NEVER = Deadline(math.inf)
# An entry has two HTTP servers; the rest is for backend servers and files.
_CONNECTION_DESCRIPTOR_RATIO = 0.4


class CloseReason(Enum):
    """Why a connection was closed, or its request refused, before it was read."""

    INVALID_REQUEST = "invalid-request"
    HEAD_TOO_LARGE = "head-too-large"
    BYTES_HELD = "bytes-held"
    HEAD_TIMEOUT = "head-timeout"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    ANSWER_NOT_READ = "answer-not-read"


class ConnectionGuard:
    """Open connections of one HTTP server, and their limits.

    Parameters
    ----------
    settings : HttpServerSettings
        Limits for the connections.
    events : EventLog
        Receives a line for closed connections, at most one each second and reason.
    count : callable
        Counts one closed connection by its reason.
    """

    def __init__(
        self,
        settings: HttpServerSettings,
        events: EventLog,
        count: Callable[[str], None],
    ) -> None:
        self._settings = settings
        self._events = events
        self._count = count
        self._connections: set[GuardedRequestHandler] = set()
        self._held_bytes = 0
        self._max_connections = settings.max_connections or _default_connection_count()
        self._check_task: asyncio.Task | None = None
        self._totals: Counter[CloseReason] = Counter()
        self._next_log_at: dict[CloseReason, Deadline] = {}

    @property
    def settings(self) -> HttpServerSettings:
        """Limits for the connections."""
        return self._settings

    def start(self) -> None:
        """Start to check the deadlines of connections."""
        self._check_task = asyncio.create_task(self._check_deadlines())

    def stop(self) -> None:
        """Stop to check the deadlines of connections."""
        if self._check_task is not None:
            self._check_task.cancel()

    def add(self, connection: GuardedRequestHandler) -> None:
        """Include a connection that was opened; close others if there are too many."""
        self._connections.add(connection)
        if len(self._connections) <= self._max_connections:
            return
        loads = {each: each.load for each in self._connections}
        for each in choose_to_make_room(loads, self._max_connections):
            each.abort(CloseReason.TOO_MANY_CONNECTIONS)

    def remove(self, connection: GuardedRequestHandler) -> None:
        """Leave out a connection that has ended."""
        self._connections.discard(connection)
        self._held_bytes -= connection.counted_bytes
        connection.counted_bytes = 0

    def update(self, connection: GuardedRequestHandler) -> None:
        """Count what a connection holds now; close others beyond the budget."""
        if connection not in self._connections:
            return
        held_bytes = connection.load.held_bytes
        self._held_bytes += held_bytes - connection.counted_bytes
        connection.counted_bytes = held_bytes
        if self._held_bytes > self._settings.max_held_bytes:
            self._free_bytes()

    def record(self, reason: CloseReason, connection: GuardedRequestHandler) -> None:
        """Count a closed connection; log it unless its reason was just logged."""
        self._totals[reason] += 1
        self._count(reason.value)
        if now() < self._next_log_at.get(reason, 0.0):
            return
        self._next_log_at[reason] = deadline_in(_LOG_INTERVAL_S)
        self._events.record(
            "connection.closed",
            reason=reason.value,
            peer=str(connection.peername),
            held_bytes=connection.load.held_bytes,
            total=self._totals[reason],
        )

    async def _check_deadlines(self) -> None:
        while True:
            await sleep_until(deadline_in(_CHECK_INTERVAL_S))
            for connection in list(self._connections):
                connection.check_deadlines()

    def _free_bytes(self) -> None:
        for each in self._connections:
            each.counted_bytes = each.load.held_bytes
        self._held_bytes = sum(each.counted_bytes for each in self._connections)
        loads = {each: each.load for each in self._connections}
        for each in choose_to_free_bytes(loads, self._settings.max_held_bytes):
            each.abort(CloseReason.BYTES_HELD)


class GuardedRequestHandler(RequestHandler):
    """Connection of a caller, with limits on what arrives before a request is read.

    Parameters
    ----------
    manager : web.Server
        Server that the connection belongs to.
    guard : ConnectionGuard
        Limits, and the other connections of the server.
    **options
        Further options of aiohttp's handler.

    Attributes
    ----------
    counted_bytes : int
        Held bytes that the guard has counted for this connection.
    """

    __slots__ = (
        "counted_bytes",
        "_guard",
        "_opened_at",
        "_payload",
        "_unread_bytes",
        "_waiting_bytes",
        "_has_sent_request",
        "_is_refused",
        "_own_transport",
        "_head_deadline",
        "_read_deadline",
        "_unsent_bytes",
    )

    def __init__(
        self, manager: web.Server, *, guard: ConnectionGuard, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self.counted_bytes = 0
        self._guard = guard
        self._opened_at = now()
        self._payload: StreamReader = EMPTY_PAYLOAD
        # Received bytes that belong to no complete head and no body.
        self._unread_bytes = 0
        # Heads of the requests that wait for their turn.
        self._waiting_bytes = 0
        self._has_sent_request = False
        self._is_refused = False
        # aiohttp forgets its transport before the last bytes are sent.
        self._own_transport: asyncio.Transport | None = None
        self._head_deadline = deadline_in(guard.settings.head_timeout_s)
        # When the reader of an answer must have taken more of it.
        self._read_deadline = _NEVER
        self._unsent_bytes = 0

    @property
    def load(self) -> ConnectionLoad:
        """What the connection costs now."""
        waiting_bytes = 0
        if self._messages:
            overhead_bytes = _WAITING_REQUEST_BYTES * len(self._messages)
            waiting_bytes = self._waiting_bytes + overhead_bytes
            # Answers count for callers that send requests without reading them.
            if self._own_transport is not None:
                waiting_bytes += self._own_transport.get_write_buffer_size()
        return ConnectionLoad(
            held_bytes=self._unread_bytes + waiting_bytes,
            opened_at=self._opened_at,
            is_running=self._request_in_progress,
            has_sent_request=self._has_sent_request,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection."""
        super().connection_made(transport)
        self._own_transport = cast(asyncio.Transport, transport)
        self._guard.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the requests of the connection."""
        self._guard.remove(self)
        self._own_transport = None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser in pieces, within the limits."""
        if not data:
            self._receive_piece(data)
        for start in range(0, len(data), _PIECE_BYTES):
            if self._own_transport is None or self._force_close:
                return
            self._receive_piece(data[start : start + _PIECE_BYTES])
        self._guard.update(self)

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once; a request that runs on it is cancelled."""
        self._guard.record(reason, self)
        self._is_refused = True
        self.force_close()
        if self._own_transport is not None:
            self._own_transport.abort()
        # Many connections may be closed before the event loop ends them, so what they
        # hold is given up now. The handler may already have been woken for the first
        # message.
        self._parser = None
        while len(self._messages) > 1:
            self._messages.pop()
        self._guard.remove(self)

    def check_deadlines(self) -> None:
        """Close the connection if a head is late or its answers are not read."""
        if self._own_transport is None:
            return
        unsent_bytes = self._own_transport.get_write_buffer_size()
        if not unsent_bytes:
            self._read_deadline = _NEVER
        elif unsent_bytes < self._unsent_bytes or self._read_deadline == _NEVER:
            timeout_s = self._guard.settings.unread_answer_timeout_s
            self._read_deadline = deadline_in(timeout_s)
        self._unsent_bytes = unsent_bytes
        if self._head_deadline != _NEVER and self._request_in_progress:
            # Closing would cut the request. The rest of the next head has its time
            # once this one is answered.
            self._head_deadline = deadline_in(self._guard.settings.head_timeout_s)
        if now() >= self._read_deadline:
            self.abort(CloseReason.ANSWER_NOT_READ)
        elif now() >= self._head_deadline and not self._buffer_paused:
            self.abort(CloseReason.HEAD_TIMEOUT)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that cannot be parsed, without a traceback in the log."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        self._guard.record(CloseReason.INVALID_REQUEST, self)
        text = (message or exc.message)[:_MAX_ERROR_CHARACTERS]
        response = web.Response(status=status, text=text, content_type="text/plain")
        response.force_close()
        return response

    def _receive_piece(self, piece: bytes) -> None:
        if self._is_refused:
            # aiohttp's parser would report the same error for each piece.
            return
        payload, request_count = self._payload, self._request_count
        body_bytes = payload.total_bytes
        was_complete = payload.is_eof()
        if not self._messages:
            self._waiting_bytes = 0
        super().data_received(piece)
        new_count = self._request_count - request_count
        has_completed_body = payload.is_eof() and not was_complete
        if new_count:
            self._count_messages(piece, new_count, payload.total_bytes - body_bytes)
        elif payload.total_bytes > body_bytes or has_completed_body:
            # A caller may send many small chunks, each with a line of its own. The
            # last one has no bytes, and may be followed by trailers.
            self._unread_bytes = 0
        else:
            self._unread_bytes += len(piece)
            # Empty lines before a head are allowed, and do not begin it.
            is_head = was_complete and bool(piece.strip(b"\r\n"))
            if is_head and self._head_deadline == _NEVER:
                timeout_s = self._guard.settings.head_timeout_s
                self._head_deadline = deadline_in(timeout_s)
        # While requests wait, the parser holds what it has not read yet; the transport
        # is paused then, and the budget of the process bounds it.
        is_above = self._unread_bytes > self._guard.settings.max_head_bytes
        if is_above and not self._buffer_paused and not self._is_refused:
            self.abort(CloseReason.HEAD_TOO_LARGE)

    def _count_messages(self, piece: bytes, new_count: int, read_bytes: int) -> None:
        newest = list(self._messages)[-new_count:]
        for message, payload in newest:
            if isinstance(message, _ErrInfo):
                self._refuse(message)
                return
            self._has_sent_request = True
            self._head_deadline = _NEVER
            self._payload = payload
            head_bytes = _head_bytes(message)
            self._waiting_bytes += head_bytes
            read_bytes += head_bytes + payload.total_bytes
        unread_bytes = max(0, self._unread_bytes + len(piece) - read_bytes)
        if piece and not self._buffer_paused:
            # What was there before belongs to the heads that are complete now.
            unread_bytes = min(unread_bytes, len(piece))
        self._unread_bytes = unread_bytes

    def _refuse(self, error: _ErrInfo) -> None:
        """Take no more bytes after an error of the parser.

        aiohttp's handler answers the error. The body that was being received will
        never be complete; a request that waits for it is ended with the connection.
        """
        self._is_refused = True
        self._unread_bytes = 0
        # Its traceback refers to the received bytes and, through them, to itself, so
        # that the connection would be kept until the next garbage collection.
        error.exc.with_traceback(None)
        text = error.message[:_MAX_ERROR_CHARACTERS]
        # The parser's text quotes what it was given, and is held until it is answered.
        shortened = _ErrInfo(
            status=error.status, exc=BadHttpMessage(text), message=text
        )
        self._messages[-1] = (shortened, EMPTY_PAYLOAD)
        if not self._payload.is_eof():
            self.abort(CloseReason.INVALID_REQUEST)


class GuardedServer(web.Server):
    """aiohttp's server, whose connections have limits.

    Parameters
    ----------
    server : web.Server
        Server that aiohttp has made for an application.
    guard : ConnectionGuard
        Limits for the connections.
    """

    def __init__(self, server: web.Server, guard: ConnectionGuard) -> None:
        super().__init__(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
        self._guard = guard

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return GuardedRequestHandler(
            self, guard=self._guard, loop=self._loop, **self._kwargs
        )


class GuardedRunner(web.AppRunner):
    """aiohttp's runner of an application, whose connections have limits.

    Parameters
    ----------
    application : web.Application
        Application to serve.
    guard : ConnectionGuard
        Limits for the connections.
    **options
        Further options of ``web.AppRunner``.
    """

    __slots__ = ("_guard",)

    def __init__(
        self, application: web.Application, guard: ConnectionGuard, **options: Any
    ) -> None:
        super().__init__(application, **options)
        self._guard = guard

    async def _make_server(self) -> web.Server:
        return GuardedServer(await super()._make_server(), self._guard)


def _default_connection_count() -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return 1_000_000
    return max(1, int(soft_limit * _CONNECTION_DESCRIPTOR_RATIO))


def _head_bytes(message: RawRequestMessage) -> int:
    """Return the size of a head, as it is without optional spaces."""
    lines = sum(len(name) + len(value) + 4 for name, value in message.raw_headers)
    return lines + len(message.method) + len(message.path) + len("  HTTP/1.1\r\n\r\n")
