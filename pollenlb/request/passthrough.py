"""Requests to plain services, passed through as they are."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
from aiohttp import web
from result import Err, Ok, Result

from ..clock import Deadline, deadline_in, now, remaining
from ..connection.backend import BackendServer
from ..ids import BackendServerName
from ..process.context import EntryContext
from .attempt import SEND_ERRORS, Answer, Attempt, AttemptFailure, send_attempt
from .caller_request import CallerRequest, RequestClass
from .dialect import Dialect
from .hedging import send_hedged
from .outcome import Outcome, Refusal, RefusedError
from .retries import Retries, RetryPolicy

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "expect",
    )
)
_MOST_CHUNK_BYTES = 65_536


class WholeAnswer(msgspec.Struct, frozen=True):
    """An answer whose body was received whole."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    server: BackendServerName


async def pass_through(
    caller: CallerRequest, context: EntryContext
) -> web.StreamResponse:
    """Pass a request to a backend server and its answer to the caller.

    Raises
    ------
    RefusedError
        Before anything of the answer was sent.
    """
    result = await run_request(caller, context)
    if isinstance(result, WholeAnswer):
        return whole_response(caller, result, context.dialect)
    return await _stream(caller, result, context)


async def run_request(
    caller: CallerRequest, context: EntryContext
) -> WholeAnswer | Answer:
    """Run a request at one backend server, at another one after a failure.

    Returns
    -------
    WholeAnswer or Answer
        The whole answer if it is small; else its head, to be streamed.

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
        most_attempts=caller.route.max_attempts,
    )
    retries = Retries(
        context, caller.service_name, caller.request_id, caller.fingerprint, policy
    )
    while True:
        server = await retries.next_server()

        def send_to(target: BackendServer):
            return _attempt(caller, target, retries.session, context)

        try:
            server, result = await send_hedged(
                caller, context, retries, server, send_to
            )
        except asyncio.CancelledError:
            await retries.record_abandonment()
            raise
        match result:
            case Ok(answer):
                await retries.record_success(server)
                return answer
            case Err(failed):
                _check_size(caller)
                await retries.handle_failure(server, failed)
                _check_replayable(caller, failed)


def whole_response(
    caller: CallerRequest, answer: WholeAnswer, dialect: Dialect
) -> web.Response:
    """Return the HTTP response for a whole answer."""
    response = web.Response(status=answer.status, body=answer.body)
    response.headers.clear()
    for name, value in answer.headers:
        response.headers.add(name, value)
    response.headers.update(dialect.answer_headers(caller.request_id, answer.server))
    return response


def _check_size(caller: CallerRequest) -> None:
    if caller.body.is_too_large:
        reason = "the body is larger than allowed; a part of it was sent on"
        raise RefusedError(Refusal(413, Outcome.UNKNOWN, reason, field="body"))


def _check_replayable(caller: CallerRequest, failed: AttemptFailure) -> None:
    if caller.body.is_replayable:
        return
    raise RefusedError(Refusal(502, Outcome.UNKNOWN, failed.reason, 1))


async def _attempt(
    caller: CallerRequest,
    server: BackendServer,
    session: aiohttp.ClientSession,
    context: EntryContext,
) -> Result[WholeAnswer | Answer, AttemptFailure]:
    attempt = Attempt(
        request_id=caller.request_id,
        method=caller.http_request.method,
        path=caller.http_request.path_qs,
        headers=request_headers(caller, context.dialect),
        body=caller.body.stream() or None,
        deadline=caller.deadline,
    )
    started_at = now()
    is_long = caller.request_class is RequestClass.LONG
    with server.load.running(is_long):
        match await send_attempt(
            attempt,
            server,
            session,
            context.settings,
            context.dialect,
            _head_deadline(caller, context),
        ):
            case Err(failed):
                return Err(failed)
            case Ok(answer):
                result = await _read_if_small(caller, answer, context)
                if result.is_ok():
                    latency_s = now() - started_at
                    server.record_answer(latency_s)
                    context.recent_latencies(caller.service_name).add(latency_s)
                return result
    raise AssertionError


def _head_deadline(caller: CallerRequest, context: EntryContext) -> Deadline:
    # A repeatable request does not wait for a connection that may be silent.
    if not caller.is_repeatable:
        return caller.deadline
    progress_s = context.settings.progress_timeout_s
    return Deadline(min(caller.deadline, deadline_in(progress_s)))


async def _read_if_small(
    caller: CallerRequest, answer: Answer, context: EntryContext
) -> Result[WholeAnswer | Answer, AttemptFailure]:
    response = answer.response
    length = response.content_length
    is_small = length is not None and length <= context.settings.replay_body_bytes
    if not is_small and caller.key is None:
        return Ok(answer)
    try:
        async with asyncio.timeout(remaining(caller.deadline)):
            body = await response.content.read(-1)
    except SEND_ERRORS as error:
        response.close()
        reason = f"{answer.server.name} did not send a whole answer"
        return Err(
            AttemptFailure(
                Outcome.UNKNOWN, reason, is_timeout=isinstance(error, TimeoutError)
            )
        )
    response.release()
    headers = answer_headers(response, context.dialect)
    if (
        caller.http_request.method != "HEAD"
        and length is not None
        and length != len(body)
    ):
        reason = f"{answer.server.name} did not send a whole answer"
        return Err(AttemptFailure(Outcome.UNKNOWN, reason))
    return Ok(WholeAnswer(response.status, headers, body, answer.server.name))


async def _stream(
    caller: CallerRequest, answer: Answer, context: EntryContext
) -> web.StreamResponse:
    response = web.StreamResponse(status=answer.response.status)
    response.headers.clear()
    for name, value in answer_headers(answer.response, context.dialect):
        response.headers.add(name, value)
    response.headers.update(
        context.dialect.answer_headers(caller.request_id, answer.server.name)
    )
    await response.prepare(caller.http_request)
    is_long = caller.request_class is RequestClass.LONG
    try:
        with answer.server.load.running(is_long):
            await _copy(answer.response, response, context)
        await response.write_eof()
    except SEND_ERRORS as error:
        context.events.record(
            "answer.cut", request=caller.request_id, reason=str(error)
        )
        if caller.http_request.transport is not None:
            caller.http_request.transport.close()
    finally:
        answer.response.close()
    return response


async def _copy(
    source: aiohttp.ClientResponse, target: web.StreamResponse, context: EntryContext
) -> None:
    while True:
        async with asyncio.timeout(context.settings.progress_timeout_s):
            chunk = await source.content.readany()
        if not chunk:
            return
        await target.write(chunk)


def request_headers(caller: CallerRequest, dialect: Dialect) -> dict[str, str]:
    """Return the caller's headers that are passed on to a backend server."""
    dropped = _HOP_BY_HOP | dialect.private_headers
    named = caller.http_request.headers.get("Connection", "")
    dropped = dropped | {each.strip().lower() for each in named.split(",")}
    headers: dict[str, str] = {}
    for name, value in caller.http_request.headers.items():
        if name.lower() in dropped or name.lower() == "content-length":
            continue
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    if (
        caller.body.buffered_bytes is None
        and caller.http_request.content_length is not None
    ):
        headers["Content-Length"] = str(caller.http_request.content_length)
    return headers


def answer_headers(
    response: aiohttp.ClientResponse, dialect: Dialect
) -> list[tuple[str, str]]:
    """Return the headers of an answer that are passed on to the caller."""
    dropped = _HOP_BY_HOP | dialect.private_headers
    return [
        (str(name), value)
        for name, value in response.headers.items()
        if name.lower() not in dropped
    ]
