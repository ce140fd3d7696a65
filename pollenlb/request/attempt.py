"""One attempt to run a request at one backend server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp
import msgspec
from result import Err, Ok, Result

from ..connection.backend import BackendServer
from ..connection.backend_api import (
    BOOT_HEADER,
    DEADLINE_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)
from ..connection.sessions import ConnectionLostError, SendTracker
from ..ids import BootId, RequestId
from ..process.clock import Deadline, remaining
from ..settings.entry import EntrySettings
from .outcome import Outcome

_MILLISECONDS_PER_SECOND = 1000

SEND_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt without a usable answer.

    Attributes
    ----------
    outcome : Outcome
        Never ``RAN``: whether the request was certainly not run.
    is_connection_lost : bool
        Whether the connection broke, as it does when the server crashes.
    retry_after_s : float or None
        When the backend server asked to come back, in seconds.
    """

    outcome: Outcome
    reason: str
    is_connection_lost: bool = False
    is_timeout: bool = False
    retry_after_s: float | None = None


@dataclass
class Attempt:
    """What is sent in one attempt."""

    request_id: RequestId
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes] | None
    deadline: Deadline


@dataclass
class Answer:
    """Head of a backend server's answer; the body is still to be read."""

    server: BackendServer
    response: aiohttp.ClientResponse
    boot: BootId


async def send(
    attempt: Attempt,
    server: BackendServer,
    session: aiohttp.ClientSession,
    settings: EntrySettings,
    head_deadline: Deadline | None = None,
) -> Result[Answer, AttemptFailed]:
    """Send a request to a backend server and wait for the head of its answer.

    Parameters
    ----------
    attempt : Attempt
        What to send.
    server : BackendServer
        Where to send it.
    session : aiohttp.ClientSession
        Connections to use.
    settings : EntrySettings
        Timeouts.
    head_deadline : Deadline or None
        When to give up waiting for the head; None for the request's deadline.
    """
    tracker = SendTracker()
    head_s = remaining(head_deadline or attempt.deadline)
    try:
        async with asyncio.timeout(head_s):
            response = await session.request(
                attempt.method,
                server.url + attempt.path,
                headers=_headers(attempt),
                data=attempt.body,
                allow_redirects=False,
                timeout=_timeout(attempt, settings),
                skip_auto_headers=("User-Agent", "Accept-Encoding"),
                trace_request_ctx=tracker,
            )
    except SEND_ERRORS as error:
        return Err(failed(error, tracker))
    return _check_head(attempt, server, response)


def parse_seconds(text: str | None) -> float | None:
    """Return the seconds of a ``Retry-After`` header, if it holds a number."""
    try:
        return float(text) if text else None
    except ValueError:
        return None


def _headers(attempt: Attempt) -> dict[str, str]:
    headers = dict(attempt.headers)
    headers[REQUEST_ID_HEADER] = attempt.request_id
    timeout_ms = int(remaining(attempt.deadline) * _MILLISECONDS_PER_SECOND)
    headers[DEADLINE_HEADER] = str(timeout_ms)
    return headers


def _timeout(attempt: Attempt, settings: EntrySettings) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=max(0.001, remaining(attempt.deadline)),
        sock_connect=settings.connect_timeout_s,
        sock_read=None,
    )


def failed(error: Exception, tracker: SendTracker) -> AttemptFailed:
    """Return what an error of the connection means for the request."""
    is_connect = isinstance(
        error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
    )
    outcome = Outcome.UNKNOWN
    if is_connect and not tracker.may_have_left:
        outcome = Outcome.NOT_RUN
    return AttemptFailed(
        outcome,
        str(error) or type(error).__name__,
        is_connection_lost=not isinstance(error, TimeoutError),
        is_timeout=isinstance(error, TimeoutError),
    )


def _check_head(
    attempt: Attempt, server: BackendServer, response: aiohttp.ClientResponse
) -> Result[Answer, AttemptFailed]:
    headers = response.headers
    if headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN.value:
        retry_after_s = parse_seconds(headers.get("Retry-After"))
        response.close()
        return Err(
            AttemptFailed(
                Outcome.NOT_RUN,
                f"{server.name} did not take the request",
                retry_after_s=retry_after_s,
            )
        )
    if headers.get(REQUEST_ID_HEADER) != attempt.request_id:
        response.close()
        return Err(
            AttemptFailed(Outcome.UNKNOWN, f"{server.name} answered to another request")
        )
    reported = headers.get(LOAD_HEADER, "")
    if reported.isdigit():
        server.load.note_report(int(reported))
    return Ok(Answer(server, response, BootId(headers.get(BOOT_HEADER, server.boot))))
