"""HTTP client sessions from entry processes to backend servers."""

from __future__ import annotations

import aiohttp

_IDLE_TIMEOUT_S = 15.0


class ConnectionLostError(Exception):
    """The connection was lost after the request may have been sent."""


class SendTracker:
    """Tracks whether any byte of a request may have been sent.

    Passed as ``trace_request_ctx`` to a request of a session that
    ``open_session`` returned.
    """

    def __init__(self) -> None:
        self.may_have_been_sent = False


def open_session(is_pooled: bool) -> aiohttp.ClientSession:
    """Return a session that never repeats a request by itself.

    A connection that is lost during a request raises ``ConnectionLostError``.

    Parameters
    ----------
    is_pooled : bool
        Whether idle connections are reused. Otherwise each request opens its
        own, so that a connection lost while idle cannot leave the outcome of
        a request unknown.
    """
    if is_pooled:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=_IDLE_TIMEOUT_S)
    else:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
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
            tracker.may_have_been_sent = True

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(mark_sent)
    trace.on_request_chunk_sent.append(mark_sent)
    return trace
