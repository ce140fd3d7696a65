"""One attempt to run a request at one backend server."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp
import msgspec
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from ..clock import Deadline, now, remaining_time_s
from ..connection.backend import BackendServer
from ..connection.bodies import BodyTooLongError, read_body
from ..connection.pool import NoAnswerError
from ..connection.sessions import ConnectionLostError, SendTracker, close_connection
from ..ids import BootId, RequestId, WorkspaceName
from ..process.usage_meter import RequestUsage
from ..settings.entry import EntrySettings
from .dialect import AnswerHead, Dialect
from .event_blocks import MAX_OUTPUT_BYTES
from .outcome import Outcome

# Visible ASCII characters.
_ALLOWED_TARGET = re.compile(r"/[!-~]*")
# Headers that aiohttp would add to those of the caller.
AUTOMATIC_HEADERS = ("User-Agent", "Accept-Encoding", "Accept")
# Reading what is left of an unused answer must not delay the next attempt.
_REST_TIMEOUT_S = 0.02
_MAX_REST_BYTES = 65_536
_MAX_DETAIL_CHARACTERS = 300
_STATUSES_WITHOUT_BODY = (204, 304)
SEND_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)


class AttemptFailure(msgspec.Struct, frozen=True):
    """Failure of an attempt that gave no usable answer.

    Attributes
    ----------
    outcome : Outcome
        ``NOT_RUN`` when the request certainly did not run, else ``UNKNOWN``.
    reason : str
        What failed, for the event log and the caller.
    detail : str
        The error, for the event log only: it may quote what the server sent.
    is_connection_lost : bool
        Whether the connection broke before the head of an answer, as it does when the
        server crashes.
    is_answer_broken : bool
        Whether the answer ended after its head and before its end, as it does when the
        server crashes while it answers.
    is_timeout : bool
        Whether a timeout ended the attempt.
    is_other_server : bool
        Whether another backend server runs at the address.
    is_output_invalid : bool
        Whether the output received so far is no answer and cannot be continued.
    retry_after_s : float or None
        Seconds after which the backend server asked for a retry.
    """

    outcome: Outcome
    reason: str
    detail: str = ""
    is_connection_lost: bool = False
    is_answer_broken: bool = False
    is_timeout: bool = False
    is_other_server: bool = False
    is_output_invalid: bool = False
    retry_after_s: float | None = None

    @property
    def log_text(self) -> str:
        """Reason and detail, for the event log."""
        if self.detail in self.reason:
            return self.reason
        return f"{self.reason} ({self.detail})"

    @property
    def is_refusal(self) -> bool:
        """Whether the backend server refused to run the request now."""
        is_other = self.is_connection_lost or self.is_timeout or self.is_other_server
        return self.outcome is Outcome.NOT_RUN and not is_other


@dataclass
class Attempt:
    """The HTTP request of one attempt.

    Attributes
    ----------
    target : str
        Path and query string, forwarded as they are.
    body : bytes, async iterator of bytes or None
        Complete body, or its chunks as they arrive from the caller.
    deadline : Deadline
        Deadline of the caller's request.
    workspace : WorkspaceName or None
        Workspace for which it runs; None without one.
    usage : RequestUsage or None
        Count of the request in usage reports; None if it does not count.
    """

    request_id: RequestId
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes] | None
    deadline: Deadline
    workspace: WorkspaceName | None = None
    usage: RequestUsage | None = None


@dataclass
class Answer:
    """A backend server's answer whose head was received.

    Attributes
    ----------
    boot : BootId
        Boot id of the process that answered.
    body : bytes or None
        Its complete body; None while it is not read.
    """

    server: BackendServer
    response: aiohttp.ClientResponse
    boot: BootId
    head: AnswerHead
    body: bytes | None = None

    @property
    def ends_with_connection(self) -> bool:
        """Whether the end of the connection ends the body, which is then uncertain."""
        response = self.response
        if response.method == "HEAD" or response.status in _STATUSES_WITHOUT_BODY:
            return False
        headers = response.headers
        return "Content-Length" not in headers and "Transfer-Encoding" not in headers


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
        The request to send.
    server : BackendServer
        The server to send it to; its load is updated from the head of the answer.
    session : aiohttp.ClientSession
        Connections to use.
    settings : EntrySettings
        Source of the connect timeout.
    dialect : Dialect
        Names and formats of the protocol.
    head_deadline : Deadline or None
        Deadline for the head of the answer; None for the request's deadline.

    Returns
    -------
    Result
        The answer with its body unread, or why the attempt failed.
    """
    usage = attempt.usage.start_attempt() if attempt.usage is not None else None
    on_sent = usage.record_sent if usage is not None else None
    tracker = SendTracker(server.announcement.service, on_sent)
    sent_at = now()
    boot = server.boot
    server.record_limited_request(attempt.request_id)
    headers = CIMultiDict(attempt.headers)
    headers.update(dialect.attempt_headers(attempt, server.announcement))
    head_s = remaining_time_s(head_deadline or attempt.deadline)
    try:
        async with asyncio.timeout(head_s):
            response = await session.request(
                attempt.method,
                request_url(server.announcement.address, attempt.target),
                headers=headers,
                data=attempt.body,
                allow_redirects=False,
                timeout=client_timeout(attempt.deadline, settings),
                skip_auto_headers=AUTOMATIC_HEADERS,
                trace_request_ctx=tracker,
            )
    except (aiohttp.ClientResponseError, NoAnswerError) as error:
        server.record_contact()
        operation = f"request to {server.name}"
        return Err(classify_send_error(error, tracker, operation))
    except asyncio.CancelledError:
        # The caller gave up on a silent server; a hedge that is soon left says nothing.
        if now() >= sent_at + settings.connect_timeout_s:
            server.record_no_contact(sent_at)
        raise
    except SEND_ERRORS as error:
        server.record_no_contact(sent_at)
        operation = f"request to {server.name} (timeout {head_s:.3f} s)"
        return Err(classify_send_error(error, tracker, operation))
    finally:
        server.record_traffic(1, tracker.sent_bytes)
    server.record_contact()
    content = response.content
    content.on_eof(lambda: server.record_traffic(0, content.total_bytes))
    head = dialect.read_head(attempt.request_id, response.status, response.headers)
    if head.is_for_other_request:
        close_connection(response)
        return Err(_foreign_answer_failure(server))
    if head.is_leaving:
        server.record_leaving(head.boot or boot)
    if head.is_for_request and not head.is_other_server:
        server.record_request_limit(head.request_limit_per_s, sent_at)
    if head.is_not_run:
        if usage is not None:
            usage.record_not_run()
        await release_short_answer(response)
    return _check_head(server, response, head)


async def read_complete_body(
    answer: Answer, deadline: Deadline
) -> Result[bytes, AttemptFailure]:
    """Return the complete body of an answer whose head was received.

    The connection is closed unless the body is complete.

    Parameters
    ----------
    answer : Answer
        The answer; its body must not have been read.
    deadline : Deadline
        When reading is given up.
    """
    response = answer.response
    try:
        async with asyncio.timeout(remaining_time_s(deadline)):
            body = await read_body(response.content, MAX_OUTPUT_BYTES)
    except SEND_ERRORS as error:
        response.close()
        return Err(body_failure(answer, error))
    except BaseException:
        response.close()
        raise
    response.release()
    length = response.content_length
    if response.method != "HEAD" and length is not None and length != len(body):
        reason = (
            f"{answer.server.name} sent {len(body)} of {length} bytes of its answer"
        )
        return Err(AttemptFailure(Outcome.UNKNOWN, reason, is_answer_broken=True))
    return Ok(body)


def body_failure(answer: Answer, error: Exception) -> AttemptFailure:
    """Return the failure of an attempt whose answer has a head, but no whole body.

    Parameters
    ----------
    answer : Answer
        The answer.
    error : Exception
        One of ``SEND_ERRORS``, from reading the body.
    """
    reason = (
        f"reading the answer of {answer.server.name}, limited by the request's "
        f"deadline, failed: {error_kind(error)}"
    )
    return AttemptFailure(
        Outcome.UNKNOWN,
        reason,
        error_detail(error),
        is_answer_broken=not isinstance(error, (BodyTooLongError, TimeoutError)),
        is_timeout=isinstance(error, TimeoutError),
    )


async def release_short_answer(response: aiohttp.ClientResponse) -> None:
    """Read the rest of an answer whose body is not used, to keep its connection.

    The connection is closed if the rest is long or does not come at once.
    """
    try:
        async with asyncio.timeout(_REST_TIMEOUT_S):
            await read_body(response.content, _MAX_REST_BYTES)
    except SEND_ERRORS:  # the head decides; only the connection is not kept
        response.close()
    except BaseException:
        response.close()
        raise
    else:
        response.release()


def request_url(address: str, target: str) -> URL:
    """Return the URL of a target at an address, without a change to its escapes.

    A target that HTTP does not allow, as an item may bring, is quoted.
    """
    if not _ALLOWED_TARGET.fullmatch(target):
        return URL(f"http://{address}{target}")
    return URL.build(scheme="http", authority=address, path=target, encoded=True)


def client_timeout(
    deadline: Deadline, settings: EntrySettings
) -> aiohttp.ClientTimeout:
    """Return the timeouts of a request that is sent on.

    Parameters
    ----------
    deadline : Deadline
        Deadline of the caller's request.
    settings : EntrySettings
        Source of the connect timeout.
    """
    return aiohttp.ClientTimeout(
        # aiohttp takes a total of 0 for no timeout.
        total=max(0.001, remaining_time_s(deadline)),
        sock_connect=settings.connect_timeout_s,
        sock_read=None,
    )


def error_kind(error: Exception) -> str:
    """Return what kind of error ended an attempt, for the caller.

    The texts of the HTTP library's errors quote what the server sent.
    """
    if isinstance(error, aiohttp.ClientResponseError):
        return "the head of the answer is not HTTP"
    if isinstance(error, aiohttp.ClientConnectorError):
        return "the connection was not opened"
    if isinstance(error, (NoAnswerError, BodyTooLongError, TimeoutError)):
        return str(error) or type(error).__name__
    if isinstance(error, aiohttp.ClientPayloadError):
        return "the body of the answer is not complete"
    if isinstance(error, (aiohttp.ClientConnectionError, ConnectionLostError)):
        return "the connection was lost"
    if isinstance(error, aiohttp.ClientError):
        return type(error).__name__
    return str(error) or type(error).__name__


def error_detail(error: Exception) -> str:
    """Return the text of an error for the event log, cut to a bounded length."""
    text = str(error) or type(error).__name__
    if len(text) > _MAX_DETAIL_CHARACTERS:
        return text[:_MAX_DETAIL_CHARACTERS] + "..."
    return text


def classify_send_error(
    error: Exception, tracker: SendTracker, operation: str
) -> AttemptFailure:
    """Return the failure of an attempt that ended in a connection error.

    The request certainly did not run only when connecting failed, or took until the
    deadline, and no byte of it may have been sent.

    Parameters
    ----------
    error : Exception
        One of ``SEND_ERRORS``.
    tracker : SendTracker
        Whether a byte of the request may have been sent.
    operation : str
        What failed, for the reason.
    """
    is_connect = isinstance(error, (aiohttp.ClientConnectorError, TimeoutError))
    outcome = Outcome.UNKNOWN
    if is_connect and not tracker.may_have_been_sent:
        outcome = Outcome.NOT_RUN
    return AttemptFailure(
        outcome,
        f"{operation} failed: {error_kind(error)}",
        error_detail(error),
        is_connection_lost=not isinstance(error, TimeoutError),
        is_timeout=isinstance(error, TimeoutError),
    )


def _foreign_answer_failure(server: BackendServer) -> AttemptFailure:
    reason = f"{server.name} sent the answer of another request"
    return AttemptFailure(Outcome.UNKNOWN, reason)


def _check_head(
    server: BackendServer, response: aiohttp.ClientResponse, head: AnswerHead
) -> Result[Answer, AttemptFailure]:
    if head.is_not_run:
        reason = f"{server.name} refused the request without running it"
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
        close_connection(response)
        return Err(_foreign_answer_failure(server))
    if head.in_flight is not None:
        server.load.record_reported_in_flight(head.in_flight)
    if head.slowness is not None:
        server.load.record_slowness(head.slowness)
    return Ok(Answer(server, response, head.boot or server.boot, head))
