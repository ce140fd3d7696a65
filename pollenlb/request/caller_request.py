"""A caller's request, and the headers of the native protocol that describe it."""

from __future__ import annotations

import hashlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from aiohttp import web

from ..clock import Deadline, deadline_in
from ..connection.backend_api import REQUEST_ID_HEADER
from ..ids import (
    Fingerprint,
    RequestId,
    RequestKey,
    ServiceName,
    WorkspaceName,
    new_id,
)
from ..settings.cluster import REQUEST_CLASSES, RouteSettings, ServiceSettings
from ..settings.entry import EntrySettings
from .outcome import bad_request

TIMEOUT_HEADER = "Pollenlb-Timeout"
CLASS_HEADER = "Pollenlb-Class"
REPEATABLE_HEADER = "Pollenlb-Repeatable"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

MAX_KEY_CHARACTERS = 256
MAX_REQUEST_ID_CHARACTERS = 128
_MAX_CHUNK_BYTES = 65_536


class RequestClass(Enum):
    """How long a request is expected to run, and who waits for its answer."""

    INTERACTIVE = "interactive"
    SHORT = "short"
    LONG = "long"


class BodyTooLargeError(Exception):
    """Interrupts the forwarding of a body that is larger than allowed."""


class RequestBody:
    """Body of a request, buffered if it is small enough to be sent again.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    max_replay_bytes : int
        Bodies up to this size are buffered, so that a retry can resend them.
    max_bytes : int
        Forwarding of a larger body is interrupted.
    """

    def __init__(
        self, request: web.Request, max_replay_bytes: int, max_bytes: int
    ) -> None:
        self._request = request
        self._max_replay_bytes = max_replay_bytes
        self._max_bytes = max_bytes
        self._is_too_large = False
        self._buffered = b""
        self._is_complete = False
        self._is_consumed = False

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent in another attempt."""
        return self._is_complete or not self._is_consumed

    @property
    def is_too_large(self) -> bool:
        """Whether the body exceeded its limit while it was forwarded."""
        return self._is_too_large

    @property
    def buffered_bytes(self) -> bytes | None:
        """The complete body if it is buffered, else None."""
        return self._buffered if self._is_complete else None

    async def read_replayable_start(self) -> None:
        """Read the body up to the size at which it can be sent again."""
        self._buffered = await self._read(self._max_replay_bytes + 1)
        self._is_complete = len(self._buffered) <= self._max_replay_bytes

    async def read_complete(self, max_bytes: int) -> bytes:
        """Read and buffer the complete body.

        Parameters
        ----------
        max_bytes : int
            Largest size of the body.

        Raises
        ------
        RefusedError
            When the body is larger.
        """
        if not self._is_complete:
            capacity_bytes = max_bytes + 1 - len(self._buffered)
            self._buffered += await self._read(capacity_bytes)
            if len(self._buffered) > max_bytes:
                raise bad_request(
                    f"the request body is larger than {max_bytes} bytes", "body", 413
                )
            self._is_complete = True
        return self._buffered

    def stream(self) -> bytes | AsyncIterator[bytes]:
        """Return the complete body, or its chunks as they arrive from the caller.

        Chunks can be consumed only once, from the start of their iteration on. Their
        iterator raises ``BodyTooLargeError`` when the body exceeds its limit.
        """
        if self._is_complete:
            return self._buffered
        return self._stream_rest()

    async def _stream_rest(self) -> AsyncIterator[bytes]:
        self._is_consumed = True
        yield self._buffered
        sent_bytes = len(self._buffered)
        async for chunk in self._request.content.iter_chunked(_MAX_CHUNK_BYTES):
            sent_bytes += len(chunk)
            if sent_bytes > self._max_bytes:
                self._is_too_large = True
                raise BodyTooLargeError()
            yield chunk

    async def _read(self, max_bytes: int) -> bytes:
        chunks = []
        left_bytes = max_bytes
        while left_bytes > 0:
            chunk = await self._request.content.read(left_bytes)
            if not chunk:
                break
            chunks.append(chunk)
            left_bytes -= len(chunk)
        return b"".join(chunks)


@dataclass
class CallerRequest:
    """A request with its route, deadline and class.

    Attributes
    ----------
    service_name : ServiceName
        Service of the route that was chosen for this request.
    is_repeatable : bool
        Whether the request may run more than once.
    key : RequestKey or None
        Key of a request that must run at most once, unique over all services.
    received_at : float
        When the request arrived, in seconds of the monotonic clock.
    workspace : WorkspaceName or None
        Workspace of the caller's key; None without one.
    priority : int
        Priority of the workspace, or else of the route; lower numbers go first.
    hides_credentials : bool
        Whether headers that name a key or a workspace are not forwarded.
    is_relayed : bool
        Whether another entry relayed the request; it is not relayed again.
    attempts_left : int or None
        Attempts left of a relayed request that may have run before; else None.
    """

    request_id: RequestId
    route: RouteSettings
    service_name: ServiceName
    service: ServiceSettings
    request_class: RequestClass
    deadline: Deadline
    is_repeatable: bool
    key: RequestKey | None
    http_request: web.Request
    body: RequestBody
    received_at: float
    workspace: WorkspaceName | None = None
    priority: int = 0
    hides_credentials: bool = False
    is_relayed: bool = False
    attempts_left: int | None = None

    @property
    def max_attempts(self) -> int:
        """Attempts that the request may have at this entry, hedges included."""
        if self.attempts_left is None:
            return self.route.max_attempts
        return min(self.attempts_left, self.route.max_attempts)

    @property
    def target(self) -> str:
        """Path and query string as the caller sent them."""
        return target_of(self.http_request)

    @property
    def fingerprint(self) -> Fingerprint:
        """Digest of the request's content, the same for each resend.

        A body that is not buffered is left out of it.
        """
        text = f"{self.service_name}\n{self.http_request.method}\n{self.target}\n"
        if self.workspace is not None:
            text += f"{self.workspace}\n"
        digest = hashlib.sha256(text.encode())
        digest.update(self.body.buffered_bytes or b"")
        return Fingerprint(digest.hexdigest()[:32])


def target_of(request: web.Request) -> str:
    """Return the path and query string of a request as they were sent."""
    target = request.raw_path
    # In the absolute form, which proxies get, scheme and host stand in front.
    return target if target.startswith("/") else request.rel_url.raw_path_qs


def path_of(request: web.Request) -> str:
    """Return the path of a request as it was sent, by which routes are chosen."""
    return target_of(request).partition("?")[0]


def request_id_of(request: web.Request) -> RequestId:
    """Return the caller's request id, or a new one when it is missing or invalid."""
    text = request.headers.get(REQUEST_ID_HEADER, "")
    if text and len(text) <= MAX_REQUEST_ID_CHARACTERS and text.isprintable():
        return RequestId(text)
    return RequestId(new_id("request"))


def read_authorization(request: web.Request, scheme: str) -> str | None:
    """Return the key in the ``Authorization`` header of a request.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    scheme : str
        Word before the key; upper and lower case are alike.

    Returns
    -------
    str or None
        None when there is no such header, several, or one of another scheme.
    """
    values = request.headers.getall("Authorization", [])
    if len(values) != 1:
        return None
    found, _, key = values[0].partition(" ")
    is_scheme = found.lower() == scheme.lower()
    return key.strip() or None if is_scheme else None


def read_deadline(
    request: web.Request, settings: EntrySettings, default_s: float
) -> Deadline:
    """Return the deadline that follows from the caller's timeout header.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    settings : EntrySettings
        Source of the longest timeout.
    default_s : float
        Timeout in seconds of a request without the header.

    Raises
    ------
    RefusedError
        When the header is not a number of seconds within bounds.
    """
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return deadline_in(default_s)
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not 0 < timeout_s <= settings.max_timeout_s:
        raise bad_request(
            f"{TIMEOUT_HEADER} must be a number of seconds above 0 and at most "
            f"{settings.max_timeout_s:g}",
            TIMEOUT_HEADER,
        )
    return deadline_in(timeout_s)


def read_class(request: web.Request, default: str) -> RequestClass:
    """Return the class from a request's header, or the default without one.

    Raises
    ------
    RefusedError
        When the header does not name a class.
    """
    text = request.headers.get(CLASS_HEADER, default)
    if text not in REQUEST_CLASSES:
        raise bad_request(
            f"{CLASS_HEADER} must be one of {', '.join(REQUEST_CLASSES)}", CLASS_HEADER
        )
    return RequestClass(text)


def read_repeatable(request: web.Request, default: bool) -> bool:
    """Return whether a request may run more than once.

    Raises
    ------
    RefusedError
        When the header is neither "yes" nor "no".
    """
    text = request.headers.get(REPEATABLE_HEADER)
    if text is None:
        return default
    if text not in ("yes", "no"):
        raise bad_request(f"{REPEATABLE_HEADER} must be yes or no", REPEATABLE_HEADER)
    return text == "yes"


def read_key(request: web.Request, service: ServiceName) -> RequestKey | None:
    """Return the key of a request that must run at most once, or None.

    It is a digest of the service and the header, so that equal headers of
    different services do not collide.

    Raises
    ------
    RefusedError
        When the header is empty or too long.
    """
    text = request.headers.get(IDEMPOTENCY_KEY_HEADER)
    if text is None:
        return None
    if not 0 < len(text) <= MAX_KEY_CHARACTERS:
        raise bad_request(
            f"{IDEMPOTENCY_KEY_HEADER} must have 1 to {MAX_KEY_CHARACTERS} characters",
            IDEMPOTENCY_KEY_HEADER,
        )
    digest = hashlib.sha256(f"{service}\n{text}".encode()).hexdigest()
    return RequestKey(digest[:32])
