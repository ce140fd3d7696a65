"""A caller's request as the entry understands it."""

from __future__ import annotations

import hashlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from aiohttp import web

from ..clock import Deadline, deadline_in
from ..connection.backend_api import REQUEST_ID_HEADER
from ..ids import Fingerprint, RequestId, RequestKey, ServiceName, new_id
from ..settings.cluster import CLASSES, RouteSettings, ServiceSettings
from ..settings.entry import EntrySettings
from .outcome import bad_request

TIMEOUT_HEADER = "Pollenlb-Timeout"
CLASS_HEADER = "Pollenlb-Class"
REPEATABLE_HEADER = "Pollenlb-Repeatable"
KEY_HEADER = "Idempotency-Key"

MOST_KEY_CHARACTERS = 256
MOST_ID_CHARACTERS = 128
_MOST_CHUNK_BYTES = 65_536


class RequestClass(Enum):
    """How long a request may be expected to run, and who waits for it."""

    INTERACTIVE = "interactive"
    SHORT = "short"
    LONG = "long"


class BodyTooLargeError(Exception):
    """Ends the sending of a body that is larger than allowed."""


class RequestBody:
    """Body of a request, kept if it is small enough to be sent again.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    max_replay_bytes : int
        Bodies up to this size are kept.
    most_bytes : int
        Larger bodies are cut off.
    """

    def __init__(
        self, request: web.Request, max_replay_bytes: int, most_bytes: int
    ) -> None:
        self._request = request
        self._most_replay_bytes = max_replay_bytes
        self._most_bytes = most_bytes
        self._is_too_large = False
        self._start = b""
        self._is_complete = False
        self._is_used_up = False

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent (again)."""
        return self._is_complete or not self._is_used_up

    @property
    def is_too_large(self) -> bool:
        """Whether more came than is allowed while the body was sent on."""
        return self._is_too_large

    @property
    def buffered_bytes(self) -> bytes | None:
        """The body, if it is small enough to be kept."""
        return self._start if self._is_complete else None

    async def read_start(self) -> None:
        """Read the body as far as it is kept."""
        self._start = await self._read(self._most_replay_bytes + 1)
        self._is_complete = len(self._start) <= self._most_replay_bytes

    async def read_complete(self, most_bytes: int) -> bytes:
        """Read and keep the body up to a greater size.

        Raises
        ------
        RefusedError
            When it is larger.
        """
        if not self._is_complete:
            room = most_bytes + 1 - len(self._start)
            self._start += await self._read(room)
            if len(self._start) > most_bytes:
                raise bad_request(
                    f"the body is larger than {most_bytes} bytes", "body", 413
                )
            self._is_complete = True
        return self._start

    def stream(self) -> bytes | AsyncIterator[bytes]:
        """Return the body to send: whole, or as it comes from the caller."""
        if self._is_complete:
            return self._start
        self._is_used_up = True
        return self._stream_rest()

    async def _stream_rest(self) -> AsyncIterator[bytes]:
        yield self._start
        sent = len(self._start)
        async for chunk in self._request.content.iter_chunked(_MOST_CHUNK_BYTES):
            sent += len(chunk)
            if sent > self._most_bytes:
                self._is_too_large = True
                raise BodyTooLargeError()
            yield chunk

    async def _read(self, most_bytes: int) -> bytes:
        chunks = []
        left = most_bytes
        while left > 0:
            chunk = await self._request.content.read(left)
            if not chunk:
                break
            chunks.append(chunk)
            left -= len(chunk)
        return b"".join(chunks)


@dataclass
class CallerRequest:
    """A request with its route, deadline and class.

    Attributes
    ----------
    key : RequestKey or None
        Key of a request that must run at most once, unique over services.
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

    @property
    def fingerprint(self) -> Fingerprint:
        """Digest of what the request asks, the same for each resend."""
        text = f"{self.service_name}\n{self.http_request.method}\n{self.http_request.path_qs}\n"
        digest = hashlib.sha256(text.encode())
        digest.update(self.body.buffered_bytes or b"")
        return Fingerprint(digest.hexdigest()[:32])


def request_id_of(request: web.Request) -> RequestId:
    """Return the caller's request id, or a new one."""
    given = request.headers.get(REQUEST_ID_HEADER, "")
    if given and len(given) <= MOST_ID_CHARACTERS and given.isprintable():
        return RequestId(given)
    return RequestId(new_id("request"))


def read_deadline(
    request: web.Request, settings: EntrySettings, default_s: float
) -> Deadline:
    """Return the deadline that the caller's timeout gives.

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
            f"{TIMEOUT_HEADER} must be seconds above 0 and at most "
            f"{settings.max_timeout_s:g}",
            TIMEOUT_HEADER,
        )
    return deadline_in(timeout_s)


def read_class(request: web.Request, default: str) -> RequestClass:
    """Return the class of a request.

    Raises
    ------
    RefusedError
        When the header holds another word.
    """
    text = request.headers.get(CLASS_HEADER, default)
    if text not in CLASSES:
        raise bad_request(
            f"{CLASS_HEADER} must be one of {', '.join(CLASSES)}", CLASS_HEADER
        )
    return RequestClass(text)


def read_repeatable(request: web.Request, default: bool) -> bool:
    """Return whether a request may be run more than once.

    Raises
    ------
    RefusedError
        When the header is neither yes nor no.
    """
    text = request.headers.get(REPEATABLE_HEADER)
    if text is None:
        return default
    if text not in ("yes", "no"):
        raise bad_request(f"{REPEATABLE_HEADER} must be yes or no", REPEATABLE_HEADER)
    return text == "yes"


def read_key(request: web.Request, service: ServiceName) -> RequestKey | None:
    """Return the key of a request that must run at most once.

    Raises
    ------
    RefusedError
        When the key is empty or too long.
    """
    text = request.headers.get(KEY_HEADER)
    if text is None:
        return None
    if not 0 < len(text) <= MOST_KEY_CHARACTERS:
        raise bad_request(
            f"{KEY_HEADER} must have 1 to {MOST_KEY_CHARACTERS} characters", KEY_HEADER
        )
    digest = hashlib.sha256(f"{service}\n{text}".encode()).hexdigest()
    return RequestKey(digest[:32])
