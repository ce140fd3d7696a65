"""Forwarding of requests to plain services, and of their answers, unchanged."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
from aiohttp import web
from multidict import CIMultiDict
from result import Err, Ok, Result

from ..clock import Deadline, deadline_in, now
from ..connection.backend import BackendServer
from ..ids import BackendServerName
from ..process.context import EntryContext
from ..process.usage_meter import RequestUsage
from .attempt import (
    SEND_ERRORS,
    Answer,
    Attempt,
    AttemptFailure,
    body_failure,
    error_detail,
    read_complete_body,
    send_attempt,
)
from .broken_answer import break_off, is_closed
from .caller_request import CallerRequest, RequestClass
from .dialect import Dialect
from .forwarding import HOP_BY_HOP, INNER_HEADERS, copy_body, forwarded_headers
from .hedging import may_hedge, send_hedged
from .outcome import Outcome, Refusal, RefusedError
from .relay import RequestRelay
from .retries import Retries, RetryPolicy
from .turns import queue_request


class CompleteAnswer(msgspec.Struct, frozen=True):
    """An answer whose body was received completely.

    Attributes
    ----------
    headers : list of tuple
        Names and values of the headers that are forwarded to the caller.
    server : BackendServerName
        Backend server that answered.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    server: BackendServerName


class StartedAnswer(msgspec.Struct, frozen=True):
    """An answer whose body is still to be read.

    Attributes
    ----------
    retries : Retries
        Attempts of the request, which learn how the answer ends.
    """

    answer: Answer
    retries: Retries


async def pass_through(
    caller: CallerRequest, context: EntryContext
) -> web.StreamResponse:
    """Forward a request to a backend server and its answer to the caller.

    It goes to another entry instead while this one reaches no backend server. If a
    streamed answer fails after its head was sent, the caller's connection is closed.

    Raises
    ------
    RefusedError
        When the request fails before the head of the answer was sent.
    """
    relay = RequestRelay(caller, context)
    relayed = await relay.answer_at_start()
    if relayed is not None:
        return relayed
    result = await run_request(caller, context, relay)
    if isinstance(result, web.StreamResponse):
        return result
    if isinstance(result, CompleteAnswer):
        return complete_response(caller, result, context.dialect)
    return await _stream_answer(caller, result.answer, result.retries, context)


async def run_request(
    caller: CallerRequest, context: EntryContext, relay: RequestRelay | None = None
) -> CompleteAnswer | StartedAnswer | web.StreamResponse:
    """Run a request at a backend server, with retries and hedges.

    Returns
    -------
    CompleteAnswer or StartedAnswer or StreamResponse
        The complete answer if it is small or the request has a key; otherwise
        its head, with the body still to be streamed. The response if another entry
        answered through ``relay``.

    Raises
    ------
    RefusedError
        When no attempt led to an answer.
    """
    policy = RetryPolicy(
        caller.deadline,
        caller.request_class,
        caller.is_repeatable,
        retry_share=caller.route.retry_share,
        max_attempts=caller.max_attempts,
        queued=queue_request(caller, context),
    )
    retries = Retries(
        context, caller.service_name, caller.request_id, caller.fingerprint, policy
    )
    usage = context.usage.start_request(caller.workspace)
    while True:
        server = await retries.next_server()
        started_at = now()

        def send_to(target: BackendServer):
            head_deadline = _head_deadline(caller, retries, context)
            return _run_attempt(
                caller, target, retries.session, context, head_deadline, usage
            )

        try:
            server, result = await send_hedged(
                caller,
                context,
                retries,
                server,
                send_to,
                relay is not None and relay.has_peers,
            )
        except asyncio.CancelledError:
            await retries.record_abandonment()
            raise
        match result:
            case Ok(answer) if answer.body is None:
                retries.record_head(server)
                return StartedAnswer(answer, retries)
            case Ok(answer):
                await retries.record_success(server, answer.ends_with_connection)
                return _complete_answer(answer, context.dialect)
            case Err(failure):
                _check_body_size(caller)
                refused: RefusedError | None = None
                try:
                    await retries.handle_failure(server, failure)
                    _check_replayable(caller, failure)
                except RefusedError as error:
                    refused = error
                if relay is not None:
                    relayed = await relay.answer_after(
                        failure, retries, started_at, refused
                    )
                    if relayed is not None:
                        return relayed
                if refused is not None:
                    raise refused


def complete_response(
    caller: CallerRequest, answer: CompleteAnswer, dialect: Dialect
) -> web.Response:
    """Return the HTTP response to the caller for a complete answer."""
    response = web.Response(status=answer.status, body=answer.body)
    response.headers.clear()
    for name, value in answer.headers:
        response.headers.add(name, value)
    response.headers.update(dialect.answer_headers(caller.request_id, answer.server))
    return response


def _check_body_size(caller: CallerRequest) -> None:
    if caller.body.is_too_large:
        reason = "the request body is larger than allowed; part of it was forwarded"
        raise RefusedError(Refusal(413, Outcome.UNKNOWN, reason, field="body"))


def _check_replayable(caller: CallerRequest, failure: AttemptFailure) -> None:
    if caller.body.is_replayable:
        return
    raise RefusedError(Refusal(502, Outcome.UNKNOWN, failure.reason, 1))


async def _run_attempt(
    caller: CallerRequest,
    server: BackendServer,
    session: aiohttp.ClientSession,
    context: EntryContext,
    head_deadline: Deadline,
    usage: RequestUsage | None,
) -> Result[Answer, AttemptFailure]:
    attempt = Attempt(
        request_id=caller.request_id,
        method=caller.http_request.method,
        target=caller.target,
        headers=request_headers(caller, context.dialect),
        body=caller.body.stream() or None,
        deadline=caller.deadline,
        workspace=caller.workspace,
        usage=usage,
    )
    started_at = now()
    is_long = caller.request_class is RequestClass.LONG
    with server.load.track_request(is_long):
        match await send_attempt(
            attempt,
            server,
            session,
            context.settings,
            context.dialect,
            head_deadline,
        ):
            case Err(failure):
                return Err(failure)
            case Ok(answer):
                result = await _read_if_small(caller, answer, context)
                if result.is_ok():
                    latency_s = now() - started_at
                    server.record_answer(latency_s)
                    context.recent_latencies(caller.service_name).add(latency_s)
                return result
    raise AssertionError


def _head_deadline(
    caller: CallerRequest, retries: Retries, context: EntryContext
) -> Deadline:
    """Return when an attempt is given up that has no head of an answer yet.

    The connection may be dead, or the server slow and sound. An attempt that can be
    repeated at the same time is hedged and goes on, and one that cannot be repeated
    has nothing to gain from an early end.
    """
    is_replayable = caller.body.buffered_bytes is not None
    may_follow = is_replayable and not retries.is_last_attempt
    if not caller.is_repeatable or not may_follow:
        return caller.deadline
    if may_hedge(caller) and not retries.is_on_trial:
        return caller.deadline
    progress_s = context.settings.progress_timeout_s
    return Deadline(min(caller.deadline, deadline_in(progress_s)))


async def _read_if_small(
    caller: CallerRequest, answer: Answer, context: EntryContext
) -> Result[Answer, AttemptFailure]:
    response = answer.response
    length = response.content_length
    is_small = length is not None and length <= context.settings.replay_body_bytes
    if not is_small and caller.key is None:
        return Ok(answer)
    body = await read_complete_body(answer, caller.deadline)
    if isinstance(body, Err):
        return body
    answer.body = body.ok_value
    return Ok(answer)


def _complete_answer(answer: Answer, dialect: Dialect) -> CompleteAnswer:
    assert answer.body is not None
    response = answer.response
    headers = answer_headers(response, dialect)
    return CompleteAnswer(response.status, headers, answer.body, answer.server.name)


async def _stream_answer(
    caller: CallerRequest, answer: Answer, retries: Retries, context: EntryContext
) -> web.StreamResponse:
    response = web.StreamResponse(status=answer.response.status)
    response.headers.clear()
    for name, value in answer_headers(answer.response, context.dialect):
        response.headers.add(name, value)
    response.headers.update(
        context.dialect.answer_headers(caller.request_id, answer.server.name)
    )
    is_long = caller.request_class is RequestClass.LONG
    try:
        await response.prepare(caller.http_request)
        with answer.server.load.track_request(is_long):
            await copy_body(answer.response, response, caller.deadline)
        await response.write_eof()
    except SEND_ERRORS as error:
        reason = (
            f"forwarding the answer of {answer.server.name} failed: "
            f"{error_detail(error)}"
        )
        context.events.record("answer.cut", request=caller.request_id, reason=reason)
        is_caller_gone = is_closed(caller.http_request)
        break_off(caller.http_request)
        if is_caller_gone:
            await retries.record_abandonment()
        else:
            retries.record_cut(answer.server, body_failure(answer, error))
    except BaseException:
        break_off(caller.http_request)
        await retries.record_abandonment()
        raise
    else:
        await retries.record_end(answer.server, answer.ends_with_connection)
    finally:
        answer.response.close()
    return response


def request_headers(caller: CallerRequest, dialect: Dialect) -> CIMultiDict[str]:
    """Return the caller's headers that are forwarded to a backend server.

    A header that the caller sent several times stays several headers.
    """
    dropped = HOP_BY_HOP | INNER_HEADERS | dialect.private_headers
    if caller.hides_credentials:
        dropped = dropped | dialect.workspace_headers
    return forwarded_headers(caller, dropped)


def answer_headers(
    response: aiohttp.ClientResponse, dialect: Dialect
) -> list[tuple[str, str]]:
    """Return the headers of an answer that are forwarded to the caller."""
    dropped = HOP_BY_HOP | INNER_HEADERS | dialect.private_headers
    return [
        (str(name), value)
        for name, value in response.headers.items()
        if name.lower() not in dropped
    ]
