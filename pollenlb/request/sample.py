"""Generation of one sample of a rollout job."""

from __future__ import annotations

import asyncio

import msgspec
from result import Err, Ok, Result

from ..connection.control_api import JobView
from ..connection.trainer_messages import SampleBody
from ..durable.job_commands import SampleRecord
from ..exceptions import ControlError
from ..ids import GroupIndex, JobName, RequestId, StepNumber, WeightVersion, new_id
from ..process.bodies import BodyLabel
from ..process.clock import deadline_in, remaining
from ..process.context import EntryContext
from .attempt import SEND_ERRORS, Attempt, send
from .caller_request import RequestClass
from .generation import Generation, generate
from .outcome import CONDEMNED_STATUS, RefusedError

SAMPLE_TIMEOUT_S = 600.0
REFUSED_FINISH = "refused"
_SCORE_TIMEOUT_S = 30.0
_SCORE_PATH = "/score"
_SCORE_ATTEMPTS = 5
_PAUSE_S = 0.2
_MOST_SCORE_BYTES = 65_536


class Slot(msgspec.Struct, frozen=True):
    """Place of a sample in a job."""

    job: JobName
    step: StepNumber
    group: GroupIndex
    position: int


class _ScoreAnswer(msgspec.Struct):
    score: float


_encode = msgspec.msgpack.Encoder().encode
_decode_score = msgspec.json.Decoder(_ScoreAnswer).decode


async def make_sample(
    slot: Slot, prompt: str, job: JobView, context: EntryContext
) -> Result[SampleRecord, str]:
    """Generate, score and store one sample; it is still to be committed.

    Parameters
    ----------
    slot : Slot
        Place that the sample is for.
    prompt : str
        Prompt of its group.
    job : JobView
        Settings and trainer version of the job.
    context : EntryContext
        Parts of the entry process.
    """
    generation = _generation(slot, prompt, job, context)
    try:
        async for _ in generate(generation, context):
            pass
    except RefusedError as error:
        if error.refusal.status != CONDEMNED_STATUS:
            return Err(error.refusal.reason)
        return await _store(slot, prompt, _without_output(generation), None, context)
    score = None
    if job.settings.scorer is not None:
        score = await _score(generation, prompt, job, context)
        if score is None:
            return Err(f"{job.settings.scorer} gave no score")
    return await _store(slot, prompt, generation, score, context)


def _generation(
    slot: Slot, prompt: str, job: JobView, context: EntryContext
) -> Generation:
    oldest = job.trainer_version - job.settings.staleness_bound
    seed = f"{slot.job}/{slot.step}/{slot.group}/{slot.position}"
    return Generation(
        request_id=RequestId(new_id("sample")),
        service=job.settings.service,
        asked={
            "model": job.settings.service,
            "prompt": prompt,
            "max_tokens": job.settings.max_tokens,
            "user": seed,
        },
        request_class=RequestClass.LONG,
        deadline=deadline_in(SAMPLE_TIMEOUT_S),
        is_patient=True,
        least_version=WeightVersion(oldest),
    )


def _without_output(generation: Generation) -> Generation:
    # A sample without tokens names no version; the trainer can leave it out.
    generation.text.clear()
    generation.spans.clear()
    generation.tokens = 0
    generation.finish_reason = REFUSED_FINISH
    return generation


async def _score(
    generation: Generation, prompt: str, job: JobView, context: EntryContext
) -> float | None:
    body = msgspec.json.encode({"prompt": prompt, "text": generation.whole_text})
    deadline = deadline_in(_SCORE_TIMEOUT_S)
    for number in range(_SCORE_ATTEMPTS):
        attempt = Attempt(
            request_id=RequestId(f"{generation.request_id}/score{number}"),
            method="POST",
            path=_SCORE_PATH,
            headers={"Content-Type": "application/json"},
            body=body,
            deadline=deadline,
        )
        score = await _ask_score(attempt, job, context)
        if score is not None or not remaining(deadline):
            return score
        await asyncio.sleep(_PAUSE_S)
    return None


async def _ask_score(
    attempt: Attempt, job: JobView, context: EntryContext
) -> float | None:
    assert job.settings.scorer is not None
    servers = context.usable(job.settings.scorer)
    if not servers:
        return None
    server = context.choose(servers, context.rng)
    match await send(
        attempt, server, context.session, context.settings, context.dialect
    ):
        case Ok(answer) if answer.response.status == 200:
            try:
                body = await answer.response.content.read(_MOST_SCORE_BYTES)
                return _decode_score(body).score
            except (*SEND_ERRORS, msgspec.MsgspecError):
                return None
            finally:
                answer.response.release()
        case Ok(answer):
            answer.response.close()
    return None


async def _store(
    slot: Slot,
    prompt: str,
    generation: Generation,
    score: float | None,
    context: EntryContext,
) -> Result[SampleRecord, str]:
    body = SampleBody(
        prompt=prompt,
        text=generation.whole_text,
        tokens=generation.tokens,
        spans=generation.spans,
        finish_reason=generation.finish_reason or "",
        request_id=generation.request_id,
        score=score,
    )
    label = BodyLabel(slot.job, slot.step)
    try:
        digest, holders = await context.peers.store_twice(_encode(body), label)
    except ControlError as error:
        return Err(str(error))
    return Ok(
        SampleRecord(
            slot.job,
            slot.step,
            slot.group,
            slot.position,
            digest,
            generation.spans,
            holders,
        )
    )
