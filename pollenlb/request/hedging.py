"""Hedges: a second attempt for a request that takes longer than most."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok, Result

from ..clock import now
from ..connection.backend import BackendServer
from ..process.context import EntryContext
from .attempt import Answer, AttemptFailure
from .caller_request import CallerRequest, RequestClass
from .retries import Retries

Send = Callable[[BackendServer], Awaitable[Result[Answer, AttemptFailure]]]

_LEAST_DELAY_S = 0.002
_TARGET_SHARE = 0.45  # of the target latency, which leaves time for the hedge


async def send_hedged(
    caller: CallerRequest,
    context: EntryContext,
    retries: Retries,
    server: BackendServer,
    send: Send,
) -> tuple[BackendServer, Result]:
    """Return the first good result of an attempt and, if it is late, a hedge.

    The loser is cancelled. Hedges come out of the service's retry budget.

    Parameters
    ----------
    caller : CallerRequest
        The request.
    context : EntryContext
        Parts of the entry process.
    retries : Retries
        Chooses the hedge's backend server.
    server : BackendServer
        Where the first attempt goes.
    send : callable
        Makes one attempt at a backend server.
    """
    started_at = now()
    first = asyncio.ensure_future(send(server))
    tasks: dict[asyncio.Future, BackendServer] = {first: server}
    try:
        delay_s = _delay_s(caller, context, retries)
        if delay_s is not None:
            await asyncio.wait(tasks, timeout=delay_s)
            if not first.done():
                other = retries.hedge_server(server)
                context.events.record(
                    "request.hedged",
                    request=caller.request_id,
                    first=server.name,
                    second=other.name if other is not None else None,
                    after_s=round(delay_s, 3),
                )
                if other is not None:
                    tasks[asyncio.ensure_future(send(other))] = other
        winner, result = await _first_good(tasks, retries)
        if first in tasks and winner is not server and isinstance(result, Ok):
            server.load.note_lost_race(now() - started_at)
        return winner, result
    finally:
        for task in tasks:  # the winner is no longer among them
            _discard(task)


def _delay_s(
    caller: CallerRequest, context: EntryContext, retries: Retries
) -> float | None:
    is_short = caller.request_class is not RequestClass.LONG
    may_hedge = (
        caller.is_repeatable and is_short and caller.body.buffered_bytes is not None
    )
    if not may_hedge or retries.is_on_trial:
        return None
    late_s = context.recent_latencies(caller.service_name).quantile_s
    delays = [late_s] if late_s is not None else []
    if caller.route.target_latency_s:
        # An entry that sees few requests knows no latencies of its own.
        delays.append(_TARGET_SHARE * caller.route.target_latency_s)
    return max(_LEAST_DELAY_S, min(delays)) if delays else None


async def _first_good(
    tasks: dict[asyncio.Future, BackendServer], retries: Retries
) -> tuple[BackendServer, Result]:
    left = set(tasks)
    while True:
        done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
        finished = [(tasks[task], task.result(), task) for task in done]
        for server, result, task in finished:
            if isinstance(result, Ok):
                del tasks[task]
                return server, result
        if not left:
            *others, (server, result, _) = finished
            for other, failed, _ in others:
                await retries.record_failure(other, failed.unwrap_err())
            return server, result
        for server, result, _ in finished:
            await retries.record_failure(server, result.unwrap_err())


def _discard(task: asyncio.Future) -> None:
    task.cancel()
    task.add_done_callback(_close_answer)


def _close_answer(task: asyncio.Future) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    result = task.result()
    if isinstance(result, Ok) and isinstance(result.ok_value, Answer):
        result.ok_value.response.close()
