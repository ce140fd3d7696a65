"""Requests that run at most once, by a key claimed in the replicated log."""

from __future__ import annotations

import msgspec
from aiohttp import web

from ..clock import deadline_in, remaining, sleep_until
from ..durable.command_base import Refused
from ..durable.key_commands import (
    ClaimKey,
    KeyClaimed,
    KeyHeld,
    KeyRecord,
    KeyState,
    SettleKey,
)
from ..exceptions import CommandInDoubtError, ControlError
from ..ids import CommandId, new_id
from ..process.context import EntryContext
from .caller_request import CallerRequest
from .outcome import Outcome, Refusal, RefusedError, bad_request, unavailable
from .passthrough import WholeAnswer, run_request, whole_response

_SETTLE_TIMEOUT_S = 5.0
_POLL_S = 0.2
_MOST_ANSWER_BYTES = 262_144
_REPLAY_HEADER = "Pollenlb-Replayed"

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(WholeAnswer).decode


async def run_once(caller: CallerRequest, context: EntryContext) -> web.StreamResponse:
    """Run a keyed request unless any entry has claimed it before.

    Raises
    ------
    RefusedError
        When it was not run, or when its outcome is not known.
    """
    await caller.body.read_complete(context.settings.max_body_bytes)
    while True:
        held = await _claim(caller, context)
        if held is None:
            return await _run_claimed(caller, context)
        if held.state is KeyState.RAN:
            return _replay(caller, held, context)
        if held.state is KeyState.UNKNOWN or remaining(caller.deadline) < 2 * _POLL_S:
            raise _unknown("an earlier attempt may have run; it is not run again")
        await sleep_until(deadline_in(_POLL_S))


async def _claim(caller: CallerRequest, context: EntryContext) -> KeyRecord | None:
    assert caller.key is not None
    command = ClaimKey(caller.key, caller.fingerprint, context.identity.claimant)
    command_id = CommandId(new_id("claim"))
    try:
        result = await context.control.propose(command, command_id, caller.deadline)
    except CommandInDoubtError as error:
        await _give_back(caller, context)
        raise unavailable("the request's key could not be claimed in time") from error
    except ControlError as error:
        raise unavailable("the request's key could not be claimed") from error
    match result:
        case KeyClaimed():
            return None
        case KeyHeld(record=record):
            return record
        case Refused(reason=reason):
            raise bad_request(reason, "Idempotency-Key", 422)
    raise AssertionError(f"unexpected {result}")


async def _run_claimed(
    caller: CallerRequest, context: EntryContext
) -> web.StreamResponse:
    if not remaining(caller.deadline) or not context.configuration.is_leased:
        await _give_back(caller, context)
        raise unavailable("the deadline passed before the request was sent")
    try:
        answer = await run_request(caller, context)
    except RefusedError as error:
        state = None if error.refusal.outcome is Outcome.NOT_RUN else KeyState.UNKNOWN
        await _settle(caller, context, state)
        raise
    assert isinstance(answer, WholeAnswer)
    await _settle_answer(caller, context, answer)
    return whole_response(caller, answer, context.dialect)


async def _settle_answer(
    caller: CallerRequest, context: EntryContext, answer: WholeAnswer
) -> None:
    body = _encode(answer)
    is_kept = len(body) <= _MOST_ANSWER_BYTES
    await _settle(caller, context, KeyState.RAN, body if is_kept else None)


async def _settle(
    caller: CallerRequest,
    context: EntryContext,
    state: KeyState | None,
    answer: bytes | None = None,
) -> None:
    assert caller.key is not None
    command = SettleKey(caller.key, context.identity.claimant, state, answer)
    command_id = CommandId(new_id("settle"))
    try:
        await context.control.propose(
            command, command_id, deadline_in(_SETTLE_TIMEOUT_S)
        )
    except ControlError:
        context.events.record("key.unsettled", request=caller.request_id)


async def _give_back(caller: CallerRequest, context: EntryContext) -> None:
    await _settle(caller, context, None)


def _replay(
    caller: CallerRequest, record: KeyRecord, context: EntryContext
) -> web.StreamResponse:
    if record.answer is None:
        raise RefusedError(
            Refusal(410, Outcome.RAN, "it ran once; its answer is no longer held")
        )
    response = whole_response(caller, _decode(record.answer), context.dialect)
    response.headers[_REPLAY_HEADER] = "yes"
    return response


def _unknown(reason: str) -> RefusedError:
    return RefusedError(Refusal(409, Outcome.UNKNOWN, reason, 1))
