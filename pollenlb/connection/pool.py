"""Connections to backend servers: which are idle, for how long, and why they end."""

from __future__ import annotations

import functools
import re
from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable
from enum import Enum
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

# Idle time after which a connection is closed if the server states no timeout.
_DEFAULT_IDLE_S = 15.0
_MAX_IDLE_S = 300.0
# Time before the server's timeout at which an idle connection is closed: a request
# must arrive before the server closes, which its clock and the path decide.
_MAX_IDLE_MARGIN_S = 1.0
_IDLE_MARGIN_RATIO = 0.2
_STATED_TIMEOUT = re.compile(r"\btimeout\s*=\s*(\d{1,6})\b", re.IGNORECASE)
# Addresses whose last closed connection is remembered, and addresses from which on
# those without an open connection are removed.
_MAX_ADDRESS_COUNT = 1024
_SWITCHING_PROTOCOLS = 101


class NoAnswerError(aiohttp.ClientError):
    """What a server sent has a status with which no answer ends a request.

    Parameters
    ----------
    status : int
        The status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"HTTP status {status:03} is no answer")


def is_final_status(status: int) -> bool:
    """Return whether an answer with this HTTP status can end a request.

    Others than interim statuses stand for a server in trouble.
    """
    return 200 <= status < 600


def _is_interim_status(status: int) -> bool:
    # No request here asks for another protocol.
    return 100 <= status < 200 and status != _SWITCHING_PROTOCOLS


class OpeningReason(Enum):
    """Why a connection was opened rather than an idle one reused.

    Attributes
    ----------
    FIRST
        There was none to the server's address before.
    NONE_IDLE
        All open ones were in use.
    IDLE_EXPIRED
        The last one was closed here after its idle time.
    CLOSED_BY_SERVER
        The last one was closed by the server.
    ABANDONED
        The last one was closed here before the end of its answer.
    SINGLE_USE
        The request must not run twice, so that it gets a new one.
    AFTER_TIMEOUT
        An attempt before timed out, so that idle connections may be dead.
    """

    FIRST = "first"
    NONE_IDLE = "none-idle"
    IDLE_EXPIRED = "idle-expired"
    CLOSED_BY_SERVER = "closed-by-server"
    ABANDONED = "abandoned"
    SINGLE_USE = "single-use"
    AFTER_TIMEOUT = "after-timeout"


RecordUse = Callable[[str, OpeningReason | None], None]
"""Called with the service of each request's connection, and why it was opened; None
for a reused one."""


def idle_limit_s(keep_alive: str | None) -> float:
    """Return how long a connection may be idle, in seconds.

    Parameters
    ----------
    keep_alive : str or None
        ``Keep-Alive`` header of the last answer; None without one.
    """
    stated = _STATED_TIMEOUT.search(keep_alive or "")
    if stated is None:
        return _DEFAULT_IDLE_S
    timeout_s = float(stated.group(1))
    margin_s = min(_MAX_IDLE_MARGIN_S, _IDLE_MARGIN_RATIO * timeout_s)
    return min(_MAX_IDLE_S, timeout_s - margin_s)


class PooledProtocol(ResponseHandler):
    """Connection that knows whether it is idle, and closes when it was so too long.

    It tells a reset from an orderly close, too: aiohttp ends an answer that has no
    length in the same way after both. An answer whose status cannot end a request
    fails it, and the connection is not used again.

    Attributes
    ----------
    end : OpeningReason or None
        Why a connection in its place is opened; None while it is open.
    """

    def __init__(self, loop: AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self.end: OpeningReason | None = None
        self._has_received_eof = False
        self._is_idle = False
        self._is_last_answer = False
        self._idle_limit_s = _DEFAULT_IDLE_S
        self._expiry: TimerHandle | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether it is idle and can take a request."""
        return self._is_idle and self.is_connected() and not self.should_close

    def set_response_params(self, **options: Any) -> None:
        """Prepare for a request, so that the connection is no longer idle."""
        self._is_idle = False
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Read the idle timeout that the head of an answer states."""
        message, payload = data
        if is_final_status(message.code):
            self._idle_limit_s = idle_limit_s(message.headers.get("Keep-Alive"))
            self._is_last_answer = message.should_close
            payload.on_eof(self._mark_idle)
        super().feed_data(data, size)

    async def read(self) -> Any:
        """Return the head of an answer and its body.

        Raises
        ------
        NoAnswerError
            When its status is neither a final nor an interim one. The connection is
            closed, whatever follows.
        """
        message, payload = await super().read()
        if not (is_final_status(message.code) or _is_interim_status(message.code)):
            self.close()
            raise NoAnswerError(message.code)
        return message, payload

    def eof_received(self) -> None:
        """Record that the peer has sent everything."""
        self._has_received_eof = True
        super().eof_received()

    def close(self) -> None:
        """Close the connection."""
        is_last = self._is_last_answer or self._has_received_eof
        self._record_end(
            OpeningReason.CLOSED_BY_SERVER if is_last else OpeningReason.ABANDONED
        )
        super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that is not complete if the connection was reset."""
        self._record_end(OpeningReason.CLOSED_BY_SERVER)
        content = self._payload
        is_reset = exc is not None and not self._has_received_eof
        if is_reset and content is not None and not content.is_eof():
            content.set_exception(
                aiohttp.ClientPayloadError(
                    f"the connection was lost before the end of the answer: {exc}"
                )
            )
        super().connection_lost(exc)

    def _mark_idle(self) -> None:
        if self.end is None and self._expiry is None:
            self._is_idle = True
            self._expiry = self._loop.call_later(self._idle_limit_s, self._expire)

    def _expire(self) -> None:
        self._expiry = None
        if self._is_idle:
            self._record_end(OpeningReason.IDLE_EXPIRED)
            self.close()

    def _record_end(self, reason: OpeningReason) -> None:
        self._is_idle = False
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        if self.end is None:
            self.end = reason


class ConnectionTable:
    """The connections of one process to backend servers, by address.

    Parameters
    ----------
    record_use : callable or None
        Called for the connection of each request.
    """

    def __init__(self, record_use: RecordUse | None = None) -> None:
        self._record_use = record_use
        self._open: dict[str, list[PooledProtocol]] = {}
        # In the order in which the addresses were first used.
        self._ends: dict[str, OpeningReason] = {}

    def add(self, address: str, protocol: PooledProtocol) -> None:
        """Add a new connection to an address, given as host and port."""
        if address not in self._open and len(self._open) >= _MAX_ADDRESS_COUNT:
            for known in list(self._open):
                self._live(known)
        self._open.setdefault(address, []).append(protocol)

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        return sum(protocol.is_reusable for protocol in self._live(address))

    def opening_reason(self, address: str) -> OpeningReason:
        """Return why the connection to an address that was just added was opened."""
        if len(self._live(address)) > 1:
            return OpeningReason.NONE_IDLE
        return self._ends.get(address, OpeningReason.FIRST)

    def record_use(self, service: str, reason: OpeningReason | None) -> None:
        """Count the connection of a request; no reason stands for a reused one."""
        if self._record_use is not None:
            self._record_use(service, reason)

    def _live(self, address: str) -> list[PooledProtocol]:
        """Return the open connections to an address, and forget the closed ones."""
        known = self._open.get(address)
        if known is None:
            return []
        live = []
        for protocol in known:
            if protocol.end is None:
                live.append(protocol)
            else:
                self._ends[address] = protocol.end
        if live:
            self._open[address] = live
        else:
            del self._open[address]
        while len(self._ends) > _MAX_ADDRESS_COUNT:
            del self._ends[next(iter(self._ends))]
        return live


class PoolConnector(aiohttp.TCPConnector):
    """Connector whose idle connections are known, and closed in time.

    Parameters
    ----------
    table : ConnectionTable
        Receives the connections.
    """

    def __init__(self, table: ConnectionTable, **options: Any) -> None:
        super().__init__(limit=0, **options)
        self._table = table
        factory = functools.partial(PooledProtocol, loop=self._loop)
        self._factory = cast(functools.partial[ResponseHandler], factory)

    @classmethod
    def open(cls, table: ConnectionTable) -> PoolConnector:
        """Return a connector that reuses idle connections."""
        # The connections close themselves; this is the time until closed ones are
        # dropped from the connector's list.
        return cls(table, keepalive_timeout=_MAX_IDLE_S)

    @property
    def table(self) -> ConnectionTable:
        """Connections of this connector and of those that hand theirs to it."""
        return self._table

    async def _create_connection(self, req, traces, timeout) -> ResponseHandler:
        protocol = await super()._create_connection(req, traces, timeout)
        key = req.connection_key
        self._table.add(f"{key.host}:{key.port}", cast(PooledProtocol, protocol))
        return protocol


class SingleUseConnector(PoolConnector):
    """Connector that opens a connection for each request.

    After a complete answer, the connection is left to a pool for requests that may use
    idle ones, unless the pool has one to this server.

    Parameters
    ----------
    table : ConnectionTable
        Receives the connections.
    pool : PoolConnector or None
        Connector that receives connections after use; None to close them.
    """

    def __init__(self, table: ConnectionTable, pool: PoolConnector | None) -> None:
        # Its own list of idle connections stays empty. With force_close, aiohttp would
        # ask the server to close each connection.
        super().__init__(table, force_close=pool is None)
        self._pool = pool

    def _release(self, key, protocol, *, should_close: bool = False) -> None:
        pool = self._pool
        # The connection itself counts as idle by now.
        has_others = self._table.idle_count(f"{key.host}:{key.port}") > 1
        if pool is None or pool.closed or should_close or has_others:
            super()._release(key, protocol, should_close=True)
            return
        self._release_acquired(key, protocol)
        pool._release(key, protocol)


@functools.lru_cache(maxsize=1024)
def address_key(address: str) -> str:
    """Return the key of an address in a table of connections."""
    url = URL.build(scheme="http", authority=address)
    return f"{url.host}:{url.port}"
