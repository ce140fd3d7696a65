"""Sends a reward call to a backend server and reads its complete answer."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import aiohttp
import msgspec
from result import Err, Ok, Result

from ..clock import Deadline
from ..connection.backend import BackendServer
from ..durable.crash_commands import TrialEnd
from ..exceptions import ControlError, RequestCondemnedError
from ..ids import Fingerprint, RequestId, ServiceName, WorkspaceName
from ..process.context import EntryContext
from .attempt import Attempt, AttemptFailure, read_complete_body, send_attempt
from .crash_trial import CrashTrial
from .outcome import Outcome

_FAILED_STATUS = 500
# Statuses with which a server asks for another attempt.
_REPEATABLE_STATUSES = (408, 421, 425, 429)


class RewardCallEnd(Enum):
    """How an attempt of a reward call ended without a score.

    Attributes
    ----------
    NOT_RUN
        The server certainly did not run the call.
    FAILED
        The server answered that the call failed.
    IMPOSSIBLE
        The call can never succeed.
    INTERRUPTED
        No complete answer arrived; the call may have run.
    """

    NOT_RUN = "not-run"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    INTERRUPTED = "interrupted"


class RewardCallFailure(msgspec.Struct, frozen=True):
    """Failure of an attempt, or of the whole call.

    Attributes
    ----------
    end : RewardCallEnd
        How it failed.
    reason : str
        What failed, for the event log.
    is_timeout : bool
        Whether the server did not answer in time.
    """

    end: RewardCallEnd
    reason: str
    is_timeout: bool = False


@dataclass(frozen=True)
class RewardRequest:
    """The HTTP request of a reward call.

    Attributes
    ----------
    request_id : RequestId
        Id of the request.
    host : str
        Host of the route that determines the service; unused with ``service``.
    path : str
        Path and query.
    headers : Mapping
        Headers of the request.
    body : bytes
        Body of the request.
    service : ServiceName or None
        Service that scores; None when a route determines it.
    workspace : WorkspaceName or None
        Workspace for which it runs; None without one.
    may_be_given_up : bool
        Whether the call ends after repeated failures instead of being repeated
        until it succeeds.
    """

    request_id: RequestId
    host: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    service: ServiceName | None = None
    workspace: WorkspaceName | None = None
    may_be_given_up: bool = True

    @property
    def fingerprint(self) -> Fingerprint:
        """Digest of the request's content, the same for each repeat."""
        text = f"{self.host}\n{self.path}\n"
        if self.workspace is not None:
            text = f"{self.workspace}\0{text}"
        digest = hashlib.sha256(text.encode() + self.body)
        return Fingerprint(digest.hexdigest()[:32])


@dataclass(frozen=True)
class RewardAnswer:
    """Complete answer with a success status.

    Attributes
    ----------
    headers : Mapping
        Headers of the answer.
    body : bytes
        Its complete body.
    """

    headers: Mapping[str, str]
    body: bytes


async def send_reward_call(
    request: RewardRequest,
    server: BackendServer,
    session: aiohttp.ClientSession,
    deadline: Deadline,
    context: EntryContext,
) -> Result[RewardAnswer, RewardCallFailure]:
    """Send a reward call to a server once.

    The call takes part in the quarantine of requests that crash backend servers.
    The connection is closed before this returns a failure, so that the call is not
    at two servers when it is repeated.

    Parameters
    ----------
    request : RewardRequest
        The call.
    server : BackendServer
        Server to send it to.
    session : aiohttp.ClientSession
        Connections to use.
    deadline : Deadline
        When the attempt is given up.
    context : EntryContext
        Parts of the entry process.
    """
    trial = CrashTrial(context, request.request_id, request.fingerprint)
    try:
        if not await trial.try_start(server):
            return _not_run("a trial of another suspect is in the way")
        match await _send(request, server, session, deadline, context):
            case Err(AttemptFailure() as failure):
                return Err(await _handle_failure(failure, server, trial))
            case Err(RewardCallFailure() as failure):
                await trial.end(TrialEnd.CLEARED)
                return Err(failure)
            case Ok(answer):
                await trial.end(TrialEnd.CLEARED)
                return Ok(answer)
        raise AssertionError
    except RequestCondemnedError:
        reason = "the call is condemned for crashing backend servers"
        return Err(RewardCallFailure(RewardCallEnd.IMPOSSIBLE, reason))
    except ControlError as error:
        return _not_run(str(error))
    finally:
        await trial.end(TrialEnd.OPEN)


def _not_run(reason: str) -> Err[RewardCallFailure]:
    return Err(RewardCallFailure(RewardCallEnd.NOT_RUN, reason))


async def _send(
    request: RewardRequest,
    server: BackendServer,
    session: aiohttp.ClientSession,
    deadline: Deadline,
    context: EntryContext,
) -> Result[RewardAnswer, AttemptFailure | RewardCallFailure]:
    attempt = Attempt(
        request_id=request.request_id,
        method="POST",
        target=request.path,
        headers=request.headers,
        body=request.body,
        deadline=deadline,
    )
    with server.load.track_request(is_long=True):
        sent = await send_attempt(
            attempt, server, session, context.settings, context.dialect
        )
        if isinstance(sent, Err):
            return sent
        response = sent.ok_value.response
        body = await read_complete_body(sent.ok_value, deadline)
    if isinstance(body, Err):
        return body
    server.record_answer()
    if 200 <= response.status < 300:
        return Ok(RewardAnswer(response.headers, body.ok_value))
    return Err(_status_failure(response.status))


def _status_failure(status: int) -> RewardCallFailure:
    reason = f"the server answered with HTTP status {status}"
    if status == _FAILED_STATUS:
        return RewardCallFailure(RewardCallEnd.FAILED, reason)
    if 400 <= status < 500 and status not in _REPEATABLE_STATUSES:
        return RewardCallFailure(RewardCallEnd.IMPOSSIBLE, reason)
    return RewardCallFailure(RewardCallEnd.INTERRUPTED, reason)


async def _handle_failure(
    failure: AttemptFailure, server: BackendServer, trial: CrashTrial
) -> RewardCallFailure:
    """Record a failed attempt at its server, and report a crash.

    Raises
    ------
    RequestCondemnedError
        When the crash condemned the call.
    ControlError
        When the crash could not be reported.
    """
    if failure.outcome is Outcome.NOT_RUN:
        if failure.is_other_server or failure.is_connection_lost:
            server.record_failure()
        return RewardCallFailure(RewardCallEnd.NOT_RUN, failure.log_text)
    if failure.is_answer_broken:
        await trial.handle_broken_answer(server)
    elif failure.is_connection_lost:
        await trial.handle_lost_connection(server)
    return RewardCallFailure(
        RewardCallEnd.INTERRUPTED, failure.log_text, failure.is_timeout
    )
