"""One attempt to run a request at one backend server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp
import msgspec
from result import Err, Ok, Result

from ..clock import Deadline, remaining
from ..connection.backend import BackendServer
from ..connection.sessions import ConnectionLostError, SendTracker
from ..ids import BootId, RequestId
from ..settings.entry import EntrySettings
from .dialect import AnswerHead, Dialect
from .outcome import Outcome

SEND_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)


class AttemptFailure(msgspec.Struct, frozen=True):
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
    is_other_server: bool = False
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
    head: AnswerHead


async def send_attempt(
    attempt: Attempt,
    server: BackendServer,
    session: aiohttp.ClientSession,
    settings: EntrySettings,
    dialect: Dialect,
    head_deadline: Deadline | None = None,
) -> Result[Answer, AttemptFailure]:
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
    dialect : Dialect
        Names and formats of the protocol.
    head_deadline : Deadline or None
        When to give up waiting for the head; None for the request's deadline.
    """
    tracker = SendTracker()
    headers = {
        **attempt.headers,
        **dialect.attempt_headers(attempt, server.announcement),
    }
    head_s = remaining(head_deadline or attempt.deadline)
    try:
        async with asyncio.timeout(head_s):
            response = await session.request(
                attempt.method,
                server.url + attempt.path,
                headers=headers,
                data=attempt.body,
                allow_redirects=False,
                timeout=_timeout(attempt, settings),
                skip_auto_headers=("User-Agent", "Accept-Encoding"),
                trace_request_ctx=tracker,
            )
    except SEND_ERRORS as error:
        return Err(classify_send_error(error, tracker))
    return _check_head(attempt, server, response, dialect)


def _timeout(attempt: Attempt, settings: EntrySettings) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=max(0.001, remaining(attempt.deadline)),
        sock_connect=settings.connect_timeout_s,
        sock_read=None,
    )


def classify_send_error(error: Exception, tracker: SendTracker) -> AttemptFailure:
    """Return what an error of the connection means for the request."""
    is_connect = isinstance(
        error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
    )
    outcome = Outcome.UNKNOWN
    if is_connect and not tracker.may_have_left:
        outcome = Outcome.NOT_RUN
    return AttemptFailure(
        outcome,
        str(error) or type(error).__name__,
        is_connection_lost=not isinstance(error, TimeoutError),
        is_timeout=isinstance(error, TimeoutError),
    )


def _check_head(
    attempt: Attempt,
    server: BackendServer,
    response: aiohttp.ClientResponse,
    dialect: Dialect,
) -> Result[Answer, AttemptFailure]:
    head = dialect.read_head(attempt.request_id, response.status, response.headers)
    if head.is_not_run:
        response.release()
        reason = f"{server.name} did not take the request"
        if head.is_other_server:
            reason = f"another backend server runs at the address of {server.name}"
        return Err(
            AttemptFailure(
                Outcome.NOT_RUN,
                reason,
                is_other_server=head.is_other_server,
                retry_after_s=head.retry_after_s,
            )
        )
    if not head.is_for_request:
        response.close()
        return Err(
            AttemptFailure(
                Outcome.UNKNOWN, f"{server.name} answered to another request"
            )
        )
    if head.in_flight is not None:
        server.load.note_report(head.in_flight)
    if head.slowness is not None:
        server.load.note_slowness(head.slowness)
    return Ok(Answer(server, response, head.boot or server.boot, head))
