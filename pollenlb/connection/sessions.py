"""HTTP client sessions from entry processes to backend servers."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import cast

import aiohttp
from aiohttp.client_proto import ResponseHandler

_IDLE_TIMEOUT_S = 15.0


class ConnectionLostError(Exception):
    """The connection was lost after the request may have been sent."""


class SendTracker:
    """Tracks whether any byte of a request may have been sent.

    Passed as ``trace_request_ctx`` to a request of a session that
    ``open_session`` returned.

    Parameters
    ----------
    on_sent : callable or None
        Called once, when the first byte may have been sent.
    """

    def __init__(self, on_sent: Callable[[], None] | None = None) -> None:
        self._on_sent = on_sent
        self.may_have_been_sent = False

    def record_sent(self) -> None:
        """Record that a byte may have been sent."""
        is_first = not self.may_have_been_sent
        self.may_have_been_sent = True
        if is_first and self._on_sent is not None:
            self._on_sent()


class _AnswerProtocol(ResponseHandler):
    """Connection that tells a reset from an orderly close.

    aiohttp ends an answer that has no length in the same way after both.
    """

    _has_received_eof = False

    def eof_received(self) -> None:
        """Record that the peer has sent everything."""
        self._has_received_eof = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that is not complete if the connection was reset."""
        content = self._payload
        is_reset = exc is not None and not self._has_received_eof
        if is_reset and content is not None and not content.is_eof():
            content.set_exception(
                aiohttp.ClientPayloadError(
                    f"the connection was lost before the end of the answer: {exc}"
                )
            )
        super().connection_lost(exc)


class _Connector(aiohttp.TCPConnector):
    """Connector whose connections are of the protocol above."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        factory = functools.partial(_AnswerProtocol, loop=self._loop)
        self._factory = cast(functools.partial[ResponseHandler], factory)


def open_session(
    is_pooled: bool, max_header_bytes: int = 8190
) -> aiohttp.ClientSession:
    """Return a session that never repeats a request by itself.

    A connection that is lost during a request raises ``ConnectionLostError``. One
    that is reset during an answer raises ``aiohttp.ClientPayloadError``, also when
    the answer has no length and so ends with its connection.

    Parameters
    ----------
    is_pooled : bool
        Whether idle connections are reused. Otherwise each request opens its
        own, so that a connection lost while idle cannot leave the outcome of
        a request unknown.
    max_header_bytes : int
        Greatest size of the status line and of each header field of an answer.
    """
    if is_pooled:
        connector = _Connector(limit=0, keepalive_timeout=_IDLE_TIMEOUT_S)
    else:
        connector = _Connector(limit=0, force_close=True)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        max_line_size=max_header_bytes,
        max_field_size=max_header_bytes,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[_trace_sending()],
        middlewares=(_prevent_implicit_retry,),
    )


async def _prevent_implicit_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp retries idempotent methods after a lost connection, which hides that
    # the first attempt may have run. It does not retry after other exceptions.
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error) or type(error).__name__) from error


def _trace_sending() -> aiohttp.TraceConfig:
    async def mark_sent(session, context, params) -> None:
        tracker = context.trace_request_ctx
        if isinstance(tracker, SendTracker):
            tracker.record_sent()

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(mark_sent)
    trace.on_request_chunk_sent.append(mark_sent)
    return trace
