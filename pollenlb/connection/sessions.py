"""HTTP connections from an entry to backend servers."""

from __future__ import annotations

import aiohttp

_IDLE_S = 15.0


class ConnectionLostError(Exception):
    """The connection broke after the request may have been sent."""


class SendTracker:
    """Tells whether a byte of a request may have left."""

    def __init__(self) -> None:
        self.may_have_left = False


def open_session(is_pooled: bool) -> aiohttp.ClientSession:
    """Return a session that never sends a request twice by itself.

    Parameters
    ----------
    is_pooled : bool
        Whether idle connections are used again; otherwise each request has
        its own, so that a connection lost while idle cannot put its outcome
        in doubt.
    """
    if is_pooled:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=_IDLE_S)
    else:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[_trace_sending()],
        middlewares=(_without_hidden_retry,),
    )


async def _without_hidden_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # The client library repeats idempotent methods after a lost connection.
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error) or type(error).__name__) from error


def _trace_sending() -> aiohttp.TraceConfig:
    async def note(session, context, params) -> None:
        tracker = context.trace_request_ctx
        if isinstance(tracker, SendTracker):
            tracker.may_have_left = True

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(note)
    trace.on_request_chunk_sent.append(note)
    return trace
