"""Request hedging: further attempts for a request that is slower than most."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from ..clock import now
from ..connection.backend import BackendServer
from ..process.context import EntryContext
from .attempt import Answer, AttemptFailure
from .caller_request import CallerRequest, RequestClass
from .outcome import Outcome
from .retries import Retries

SendAttempt = Callable[[BackendServer], Awaitable[Result[Answer, AttemptFailure]]]

_MIN_HEDGE_DELAY_S = 0.002
# Share of the route's target latency after which a hedge is sent; the rest of the
# target is left for the hedge to be answered in.
_TARGET_LATENCY_RATIO = 0.45


async def send_hedged(
    caller: CallerRequest,
    context: EntryContext,
    retries: Retries,
    server: BackendServer,
    send: SendAttempt,
    may_relay: bool = False,
) -> tuple[BackendServer, Result]:
    """Return the first success of an attempt and, if it is late, of its hedges.

    The first hedge is sent when the attempt is slower than most, another one each
    time that nothing was heard for ``progress_timeout_s``. The attempts before go on,
    since a silent connection may be dead, but its server may also be slow and sound.
    The slower attempts are cancelled. Each hedge takes a token from the service's
    retry budget and counts as an attempt.

    Parameters
    ----------
    caller : CallerRequest
        The request.
    context : EntryContext
        Parts of the entry process.
    retries : Retries
        Chooses the backend server for the hedge.
    server : BackendServer
        Backend server for the first attempt.
    send : callable
        Makes one attempt at a backend server.
    may_relay : bool
        Whether another entry may take the request. Silent attempts are given up then
        once this entry is taken to reach no server, if an attempt is left.

    Returns
    -------
    tuple of BackendServer and Result
        The server whose attempt decided, and its answer; when all attempts
        failed, the last failure, which the caller of this function records.

    Raises
    ------
    RefusedError
        When a failed attempt shows that the request must not run again, or a
        crash during it could not be reported.
    """
    started_at = now()
    first = asyncio.ensure_future(send(server))
    tasks: dict[asyncio.Future, BackendServer] = {first: server}
    try:
        delay_s = _hedge_delay_s(caller, context, retries)
        while delay_s is not None:
            done, _ = await asyncio.wait(
                tasks, timeout=delay_s, return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                break
            if may_relay and _is_cut_off(context, started_at, len(tasks), retries):
                return await _give_up(tasks, retries)
            is_silent = delay_s >= context.settings.progress_timeout_s
            other = retries.hedge_server(list(tasks.values()), is_silent)
            context.events.record(
                "request.hedged",
                request=caller.request_id,
                first=server.name,
                second=other.name if other is not None else None,
                after_s=round(now() - started_at, 3),
            )
            if other is None and is_silent:
                break
            if other is not None:
                tasks[asyncio.ensure_future(send(other))] = other
            delay_s = context.settings.progress_timeout_s
        winner, result = await _first_success(tasks, retries)
        if first in tasks and winner is not server and isinstance(result, Ok):
            server.load.record_cancelled_attempt(now() - started_at)
        return winner, result
    finally:
        for task in tasks:  # _first_success has removed the successful one
            _cancel_attempt(task)


def may_hedge(caller: CallerRequest) -> bool:
    """Return whether a request may run at several servers at the same time."""
    is_short = caller.request_class is not RequestClass.LONG
    return caller.is_repeatable and is_short and caller.body.buffered_bytes is not None


def _hedge_delay_s(
    caller: CallerRequest, context: EntryContext, retries: Retries
) -> float | None:
    if not may_hedge(caller) or retries.is_on_trial:
        return None
    quantile_s = context.recent_latencies(caller.service_name).quantile_s
    delays = [quantile_s] if quantile_s is not None else []
    if caller.route.target_latency_s:
        # An entry process with few requests has too few latencies of its own.
        delays.append(_TARGET_LATENCY_RATIO * caller.route.target_latency_s)
    delays.append(context.settings.progress_timeout_s)
    return max(_MIN_HEDGE_DELAY_S, min(delays))


async def _first_success(
    tasks: dict[asyncio.Future, BackendServer], retries: Retries
) -> tuple[BackendServer, Result]:
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        finished = [(tasks[task], task.result(), task) for task in done]
        for server, result, task in finished:
            if isinstance(result, Ok):
                del tasks[task]
                return server, result
        if not pending:
            *others, (server, result, _) = finished
            for other, failure, _ in others:
                await retries.record_failure(other, failure.unwrap_err())
            return server, result
        for server, result, _ in finished:
            await retries.record_failure(server, result.unwrap_err())


def _is_cut_off(
    context: EntryContext, started_at: float, running: int, retries: Retries
) -> bool:
    """Return whether running attempts wait in vain, and another one is left."""
    reachability = context.reachability
    is_silent = reachability.is_stranded and reachability.contact_at < started_at
    return is_silent and running < retries.relayed_attempts


async def _give_up(
    tasks: dict[asyncio.Future, BackendServer], retries: Retries
) -> tuple[BackendServer, Result]:
    """Return the failure of silent attempts; the caller of this cancels them."""
    reason = "no backend server is reached, and none has answered the request"
    failure = AttemptFailure(Outcome.UNKNOWN, reason, is_timeout=True)
    *others, last = tasks.values()
    for other in others:
        await retries.record_failure(other, failure)
    return last, Err(failure)


def _cancel_attempt(task: asyncio.Future) -> None:
    task.cancel()
    task.add_done_callback(_close_unused_answer)


def _close_unused_answer(task: asyncio.Future) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    result = task.result()
    if isinstance(result, Ok) and isinstance(result.ok_value, Answer):
        result.ok_value.response.close()
