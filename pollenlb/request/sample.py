"""Samples of rollout jobs: items of batch jobs that are completions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, cast

import msgspec
from result import Err, Ok

from ..clock import deadline_in, now, remaining
from ..connection.backend import BackendServer
from ..connection.trainer_messages import SampleBody
from ..durable.batch_job_commands import BatchItem, BatchJobSpec, SampleParameters
from ..durable.crash_commands import TrialEnd
from ..exceptions import ControlError, RequestCondemnedError
from ..ids import RequestId, WeightVersion, new_id
from ..process.context import EntryContext
from .attempt import SEND_ERRORS, Attempt, AttemptFailure, send_attempt
from .caller_request import RequestClass
from .crash_trial import CrashTrial
from .generation import AttemptError, Generation, generate_at
from .item_progress import ItemOutput, ItemProgress, RunEnd
from .outcome import Outcome, RefusedError

SAMPLE_TIMEOUT_S = 600.0
REFUSED_FINISH = "refused"
_SCORE_TIMEOUT_S = 30.0
_SCORE_PATH = "/score"
_SCORE_ATTEMPTS = 5
_PAUSE_S = 0.2
_MOST_SCORE_BYTES = 65_536


class _ScoreAnswer(msgspec.Struct):
    score: float


_encode = msgspec.msgpack.Encoder().encode
_decode_score = msgspec.json.Decoder(_ScoreAnswer).decode


@dataclass
class Sample:
    """A sample as far as it was made; satisfies ``item_progress.ItemOutput``.

    Attributes
    ----------
    is_generated : bool
        Whether the completion is whole; only the score may be missing.
    """

    generation: Generation
    prompt: str
    is_generated: bool = False
    score: float | None = None

    @property
    def events(self) -> int:
        """Tokens so far."""
        return self.generation.tokens

    @property
    def versions(self) -> list[WeightVersion]:
        """Weights that generated the tokens, each once."""
        return sorted({span.version for span in self.generation.spans})

    def start_over(self) -> None:
        """Drop what was generated."""
        generation = self.generation
        generation.text.clear()
        generation.spans.clear()
        generation.tokens = 0
        generation.finish_reason = None
        self.is_generated = False
        self.score = None

    def refuse(self) -> None:
        """Make it a sample without tokens, which the trainer can leave out."""
        self.start_over()
        self.generation.finish_reason = REFUSED_FINISH

    def content(self) -> bytes:
        """Return the sample as its trainer gets it."""
        generation = self.generation
        return _encode(
            SampleBody(
                prompt=self.prompt,
                text=generation.generated_text,
                tokens=generation.tokens,
                spans=generation.spans,
                finish_reason=generation.finish_reason or "",
                request_id=generation.request_id,
                score=self.score,
            )
        )


class SampleItemRunner:
    """Makes samples; satisfies ``item_progress.ItemRunner``."""

    def begin(self, item: BatchItem, spec: BatchJobSpec) -> ItemOutput:
        """Return a sample without tokens."""
        generation = Generation(
            request_id=RequestId(new_id("sample")),
            service=spec.service,
            request_body=completion_request(item, spec),
            request_class=RequestClass.LONG,
            deadline=deadline_in(SAMPLE_TIMEOUT_S),
        )
        return Sample(generation, item.body.decode())

    async def run(
        self, progress: ItemProgress, server: BackendServer, context: EntryContext
    ) -> RunEnd:
        """Generate a sample at an engine, from where an earlier run broke off.

        Parameters
        ----------
        progress : ItemProgress
            Holds the sample as it grows.
        server : BackendServer
            The engine.
        context : EntryContext
            Parts of the entry process.
        """
        sample = cast(Sample, progress.output)
        if not sample.is_generated:
            end = await _generate(sample, progress, server, context)
            if end is not RunEnd.WHOLE or not sample.is_generated:
                return end
        progress.server = None
        terms = _terms_of(progress.spec)
        if terms.scorer is None:
            return RunEnd.WHOLE
        sample.score = await _score(sample, terms, context)
        return RunEnd.WHOLE if sample.score is not None else RunEnd.BROKEN


def completion_request(item: BatchItem, spec: BatchJobSpec) -> dict[str, Any]:
    """Return the completion request that makes a sample."""
    return {
        "model": spec.service,
        "prompt": item.body.decode(),
        "max_tokens": _terms_of(spec).max_tokens,
        "user": item.item,
    }


def _terms_of(spec: BatchJobSpec) -> SampleParameters:
    assert spec.sample is not None
    return spec.sample


async def _generate(
    sample: Sample,
    progress: ItemProgress,
    server: BackendServer,
    context: EntryContext,
) -> RunEnd:
    generation = sample.generation
    trial = CrashTrial(context, generation.request_id, generation.fingerprint)
    trial_end = TrialEnd.OPEN
    try:
        if not await trial.try_start(server):
            return RunEnd.NOT_RUN
        end = await _attempt(sample, progress, server, context)
        if isinstance(end, AttemptFailure):
            return await _note_failure(end, trial, server)
        if end is RunEnd.WHOLE:
            trial_end = TrialEnd.CLEARED
        return end
    except RequestCondemnedError:
        sample.refuse()
        return RunEnd.WHOLE
    except ControlError as error:
        context.events.record(
            "sample.interrupted", request=generation.request_id, reason=str(error)
        )
        return RunEnd.BROKEN
    finally:
        await trial.end(trial_end)


async def _attempt(
    sample: Sample,
    progress: ItemProgress,
    server: BackendServer,
    context: EntryContext,
) -> RunEnd | AttemptFailure:
    generation = sample.generation
    generation.deadline = deadline_in(SAMPLE_TIMEOUT_S)
    # A connection that fell silent may do so again; a new one does not.
    session = context.single_use_session if progress.losses else context.session
    started_at = now()
    try:
        async for _ in generate_at(generation, server, session, context):
            progress.note_event(server)
            if not progress.fits(progress.spec):
                return RunEnd.TOO_OLD
    except AttemptError as error:
        context.events.record(
            "attempt.failed",
            request=generation.request_id,
            server=server.name,
            outcome=error.failed.outcome.value,
            reason=error.failed.reason,
        )
        return error.failed
    except RefusedError as error:
        context.events.record(
            "sample.failed", request=generation.request_id, reason=str(error)
        )
        return RunEnd.BROKEN
    sample.is_generated = True
    context.events.record(
        "sample.generated",
        request=generation.request_id,
        item=progress.item.item,
        server=server.name,
        seconds=round(now() - started_at, 3),
    )
    return RunEnd.WHOLE


async def _note_failure(
    failed: AttemptFailure, trial: CrashTrial, server: BackendServer
) -> RunEnd:
    is_sent = failed.outcome is not Outcome.NOT_RUN
    if failed.is_connection_lost and is_sent:
        await trial.handle_lost_connection(server)
    elif failed.is_connection_lost or failed.is_other_server:
        server.record_failure()
    if not is_sent:
        return RunEnd.NOT_RUN
    return RunEnd.SILENT if failed.is_timeout else RunEnd.BROKEN


async def _score(
    sample: Sample, terms: SampleParameters, context: EntryContext
) -> float | None:
    generation = sample.generation
    asked = {"prompt": sample.prompt, "text": generation.generated_text}
    deadline = deadline_in(_SCORE_TIMEOUT_S)
    for number in range(_SCORE_ATTEMPTS):
        attempt = Attempt(
            request_id=RequestId(f"{generation.request_id}/score{number}"),
            method="POST",
            path=_SCORE_PATH,
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(asked),
            deadline=deadline,
        )
        score = await _ask_score(attempt, terms, context)
        if score is not None or not remaining(deadline):
            return score
        await asyncio.sleep(_PAUSE_S)
    return None


async def _ask_score(
    attempt: Attempt, terms: SampleParameters, context: EntryContext
) -> float | None:
    assert terms.scorer is not None
    servers = context.usable_servers(terms.scorer)
    if not servers:
        return None
    server = context.choose(servers, context.rng)
    match await send_attempt(
        attempt, server, context.session, context.settings, context.dialect
    ):
        case Ok(answer) if answer.response.status == 200:
            try:
                body = await answer.response.content.read(_MOST_SCORE_BYTES)
                return _decode_score(body).score
            except (*SEND_ERRORS, msgspec.MsgspecError) as error:
                reason = str(error) or type(error).__name__
            finally:
                answer.response.release()
        case Ok(answer):
            answer.response.close()
            reason = f"status {answer.response.status}"
        case Err(failed):
            reason = failed.reason
    context.events.record(
        "score.failed", request=attempt.request_id, server=server.name, reason=reason
    )
    return None
