"""Runs a request at most once by claiming its key in the replicated log."""

from __future__ import annotations

import msgspec
from aiohttp import web

from ..clock import deadline_in, remaining_time_s, sleep_until
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
from .passthrough import CompleteAnswer, complete_response, run_request

_SETTLE_TIMEOUT_S = 5.0
# Interval between attempts to claim a key that another request holds.
_KEY_POLL_INTERVAL_S = 0.2
# A larger answer is not stored with its key: a resend cannot get it again.
_MAX_STORED_ANSWER_BYTES = 262_144
_REPLAY_HEADER = "Pollenlb-Replayed"

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(CompleteAnswer).decode


async def run_at_most_once(
    caller: CallerRequest, context: EntryContext
) -> web.StreamResponse:
    """Run a request unless another request with its key was claimed before.

    If the earlier request ran, its stored answer is sent again. If it is still
    running, wait for its outcome.

    Parameters
    ----------
    caller : CallerRequest
        The request; its key is not None.
    context : EntryContext
        Parts of the entry process.

    Raises
    ------
    RefusedError
        When the request was not run, when its outcome or that of the earlier
        request is not known, or when the earlier answer is not stored.
    """
    await caller.body.read_complete(context.settings.max_body_bytes)
    while True:
        record = await _claim_key(caller, context)
        if record is None:
            return await _run_claimed(caller, context)
        if record.state is KeyState.RAN:
            return _replay(caller, record, context)
        if (
            record.state is KeyState.UNKNOWN
            or remaining_time_s(caller.deadline) < 2 * _KEY_POLL_INTERVAL_S
        ):
            raise _unknown_outcome_error(
                "an earlier request with this key may have run; it is not run again"
            )
        await sleep_until(deadline_in(_KEY_POLL_INTERVAL_S))


async def _claim_key(caller: CallerRequest, context: EntryContext) -> KeyRecord | None:
    """Claim the request's key; return the record if it was claimed before."""
    assert caller.key is not None
    command = ClaimKey(caller.key, caller.fingerprint, context.identity.claimant)
    command_id = CommandId(new_id("claim"))
    try:
        result = await context.control.propose(command, command_id, caller.deadline)
    except CommandInDoubtError as error:
        await _release_key(caller, context)
        raise unavailable(
            f"the claim of the request's key was not confirmed in time: {error}"
        ) from error
    except ControlError as error:
        raise unavailable(f"claiming the request's key failed: {error}") from error
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
    if not remaining_time_s(caller.deadline) or not context.configuration.is_leased:
        await _release_key(caller, context)
        raise unavailable(
            "the deadline passed or the entry's lease ended before the request was sent"
        )
    try:
        answer = await run_request(caller, context)
    except RefusedError as error:
        state = None if error.refusal.outcome is Outcome.NOT_RUN else KeyState.UNKNOWN
        await _settle_key(caller, context, state)
        raise
    assert isinstance(answer, CompleteAnswer)
    await _store_answer(caller, context, answer)
    return complete_response(caller, answer, context.dialect)


async def _store_answer(
    caller: CallerRequest, context: EntryContext, answer: CompleteAnswer
) -> None:
    body = _encode(answer)
    is_stored = len(body) <= _MAX_STORED_ANSWER_BYTES
    await _settle_key(caller, context, KeyState.RAN, body if is_stored else None)


async def _settle_key(
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


async def _release_key(caller: CallerRequest, context: EntryContext) -> None:
    """Free the key of a request of which no byte was sent, for another attempt."""
    await _settle_key(caller, context, None)


def _replay(
    caller: CallerRequest, record: KeyRecord, context: EntryContext
) -> web.StreamResponse:
    if record.answer is None:
        raise RefusedError(
            Refusal(410, Outcome.RAN, "the request ran once; its answer is not stored")
        )
    response = complete_response(caller, _decode(record.answer), context.dialect)
    response.headers[_REPLAY_HEADER] = "yes"
    return response


def _unknown_outcome_error(reason: str) -> RefusedError:
    return RefusedError(Refusal(409, Outcome.UNKNOWN, reason, 1))
