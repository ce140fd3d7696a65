"""HTTP client sessions from entry processes to backend servers."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .pool import (
    ConnectionTable,
    OpeningReason,
    PoolConnector,
    SingleUseConnector,
    address_key,
)


class ConnectionLostError(Exception):
    """The connection was lost after the request may have been sent."""


class SendTracker:
    """Tracks whether any byte of a request may have been sent, and how many were.

    Passed as ``trace_request_ctx`` to a request of a session that
    ``open_session`` returned.

    Parameters
    ----------
    service : str
        Service under which the connection is counted; empty for checks of servers.
    on_sent : callable or None
        Called once, when the first byte may have been sent.
    """

    def __init__(
        self, service: str = "", on_sent: Callable[[], None] | None = None
    ) -> None:
        self._on_sent = on_sent
        self.service = service
        self.sent_bytes = 0
        self.may_have_been_sent = False

    def record_sent(self) -> None:
        """Record that a byte may have been sent."""
        is_first = not self.may_have_been_sent
        self.may_have_been_sent = True
        if is_first and self._on_sent is not None:
            self._on_sent()


class ServerResponse(aiohttp.ClientResponse):
    """Answer of a backend server, whose connection can be closed at any time.

    aiohttp gives a connection back to its pool as soon as the body is complete, also
    if it was the answer to an earlier request and that to this one still comes.
    """

    _used_protocol: ResponseHandler | None = None

    async def start(self, connection) -> aiohttp.ClientResponse:
        """Read the head of the answer."""
        self._used_protocol = connection.protocol
        return await super().start(connection)

    def close_connection(self) -> None:
        """Close the connection, even if it was given back to its pool."""
        self.close()
        if self._used_protocol is not None:
            self._used_protocol.close()


def close_connection(response: aiohttp.ClientResponse) -> None:
    """Close the connection of an answer that does not belong to its request."""
    if isinstance(response, ServerResponse):
        response.close_connection()
    else:
        response.close()


def open_session(
    is_pooled: bool, max_header_bytes: int = 8190, table: ConnectionTable | None = None
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
    table : ConnectionTable or None
        Receives the connections; None for a table of the session's own.
    """
    table = table or ConnectionTable()
    connector = (
        PoolConnector.open(table) if is_pooled else SingleUseConnector(table, None)
    )
    return _open_session(connector, max_header_bytes, None)


def open_single_use_session(
    pooled: aiohttp.ClientSession, max_header_bytes: int, reason: OpeningReason
) -> aiohttp.ClientSession:
    """Return a session that opens a connection for each request.

    It is as one of ``open_session``, but leaves a connection to a pooled session after
    a complete answer.

    Parameters
    ----------
    pooled : aiohttp.ClientSession
        Session that may reuse the connections later; from ``open_session``.
    max_header_bytes : int
        Greatest size of the status line and of each header field of an answer.
    reason : OpeningReason
        Reason under which the connections are counted.
    """
    pool = pooled.connector
    if not isinstance(pool, PoolConnector):
        raise TypeError("the pooled session is not one of open_session")
    connector = SingleUseConnector(pool.table, pool)
    return _open_session(connector, max_header_bytes, reason)


def idle_connections(session: aiohttp.ClientSession | None, address: str) -> int:
    """Return how many idle connections a session has to an address."""
    table = getattr(getattr(session, "connector", None), "table", None)
    return table.idle_count(address_key(address)) if table is not None else 0


def _open_session(
    connector: PoolConnector, max_header_bytes: int, reason: OpeningReason | None
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        response_class=ServerResponse,
        auto_decompress=False,
        max_line_size=max_header_bytes,
        max_field_size=max_header_bytes,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[_trace_sending(), _trace_connections(connector.table, reason)],
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

    async def count_bytes(session, context, params) -> None:
        tracker = context.trace_request_ctx
        if isinstance(tracker, SendTracker):
            tracker.sent_bytes += len(params.chunk)

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(mark_sent)
    trace.on_request_chunk_sent.append(mark_sent)
    trace.on_request_chunk_sent.append(count_bytes)
    return trace


def _trace_connections(
    table: ConnectionTable, reason: OpeningReason | None
) -> aiohttp.TraceConfig:
    """Return a trace that counts new and reused connections in a table.

    Parameters
    ----------
    table : ConnectionTable
        Connections of the session.
    reason : OpeningReason or None
        Why each request opens one; None to find it in the table.
    """

    def service_of(context) -> str:
        tracker = context.trace_request_ctx
        return tracker.service if isinstance(tracker, SendTracker) else ""

    async def record_request(session, context, params) -> None:
        context.address = f"{params.url.host}:{params.url.port}"

    async def record_opening(session, context, params) -> None:
        opened_for = reason or table.opening_reason(context.address)
        table.record_use(service_of(context), opened_for)

    async def record_reuse(session, context, params) -> None:
        table.record_use(service_of(context), None)

    trace = aiohttp.TraceConfig()
    trace.on_request_start.append(record_request)
    trace.on_connection_create_end.append(record_opening)
    trace.on_connection_reuseconn.append(record_reuse)
    return trace
