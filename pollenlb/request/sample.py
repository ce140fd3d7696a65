"""Generates and scores samples of rollout jobs, which are items of batch jobs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, cast

import msgspec

from ..clock import deadline_in, now
from ..connection.backend import BackendServer
from ..connection.trainer_messages import SampleBody
from ..durable.batch_job_commands import (
    BatchItem,
    BatchJobSpec,
    SampleParameters,
    SavedOutput,
)
from ..external_data import json_decoder
from ..ids import ItemId, RequestId, SoftwareVersion, WeightVersion, new_id
from ..process.context import EntryContext
from .attempt import AttemptFailure
from .caller_request import RequestClass
from .generation import AttemptError, Generation, generate_at
from .item_progress import ItemOutput, ItemProgress, RunEnd
from .outcome import Outcome, RefusedError
from .reward_call import RewardAnswer, RewardRequest

SAMPLE_TIMEOUT_S = 600.0
_SCORE_PATH = "/score"


class _ScoreAnswer(msgspec.Struct):
    score: float


_encode = msgspec.msgpack.Encoder().encode
_decode_score = json_decoder(_ScoreAnswer)


@dataclass
class Sample:
    """Progress of a sample; implements ``item_progress.ItemOutput``.

    Attributes
    ----------
    generation : Generation
        The completion and its output so far.
    prompt : str
        Prompt of the sample.
    is_generated : bool
        Whether all tokens are generated; only the score may be missing.
    sample_score : float or None
        Score from the scoring service; None before, or without such a service.
    """

    generation: Generation
    prompt: str
    is_generated: bool = False
    sample_score: float | None = None

    @property
    def events(self) -> int:
        """Number of tokens generated so far."""
        return self.generation.tokens

    @property
    def versions(self) -> list[WeightVersion]:
        """Weight versions that generated the tokens, each once."""
        return sorted({span.version for span in self.generation.spans})

    @property
    def software(self) -> SoftwareVersion | None:
        """Software version that generated the tokens; None without tokens."""
        return self.generation.software

    @property
    def score(self) -> str | None:
        """None: the content of a sample contains its score."""
        return None

    def start_over(self) -> None:
        """Discard the output and the score."""
        self.generation.start_over()
        self.is_generated = False
        self.sample_score = None

    def content(self) -> bytes:
        """Return the encoded ``SampleBody`` that the trainer receives."""
        generation = self.generation
        return _encode(
            SampleBody(
                prompt=self.prompt,
                text=generation.generated_text,
                tokens=generation.tokens,
                spans=generation.spans,
                finish_reason=generation.finish_reason or "",
                request_id=generation.request_id,
                score=self.sample_score,
            )
        )

    def save(self, item: ItemId) -> SavedOutput | None:
        """Return None: samples start over at another process."""
        return None

    def restore(self, saved: SavedOutput) -> None:
        """Do nothing, as no sample is saved."""


class SampleItemRunner:
    """Generates and scores samples; implements ``item_progress.ItemRunner``."""

    def create_output(self, item: BatchItem, spec: BatchJobSpec) -> ItemOutput:
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
        """Generate a sample, resuming an earlier interrupted run.

        Parameters
        ----------
        progress : ItemProgress
            Progress of the item; its sample grows during the run.
        server : BackendServer
            The engine that generates.
        context : EntryContext
            Parts of the entry process.
        """
        sample = cast(Sample, progress.output)
        if not context.may_continue(sample.software, server):
            sample.start_over()
        return await _generate(sample, progress, server, context)

    def reward_request(
        self, progress: ItemProgress, context: EntryContext
    ) -> RewardRequest | None:
        """Return the reward call of a sample; None when its job names no scorer."""
        sample = cast(Sample, progress.output)
        scorer = _sample_parameters(progress.spec).scorer
        if scorer is None:
            return None
        body = {"prompt": sample.prompt, "text": sample.generation.generated_text}
        return RewardRequest(
            request_id=RequestId(f"{sample.generation.request_id}/score"),
            host="",
            path=_SCORE_PATH,
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(body),
            service=scorer,
            may_be_given_up=False,
        )

    def record_score(
        self, progress: ItemProgress, answer: RewardAnswer, context: EntryContext
    ) -> bool:
        """Record the score in an answer's body; return whether there is one."""
        try:
            decoded = _decode_score(answer.body)
        except msgspec.MsgspecError as error:
            context.events.record(
                "score.invalid", item=progress.item.item, reason=str(error)
            )
            return False
        cast(Sample, progress.output).sample_score = decoded.score
        return True


def completion_request(item: BatchItem, spec: BatchJobSpec) -> dict[str, Any]:
    """Return the body of the completion request that generates a sample."""
    return {
        "model": spec.service,
        "prompt": item.body.decode(),
        "max_tokens": _sample_parameters(spec).max_tokens,
        "user": item.item,
    }


def _sample_parameters(spec: BatchJobSpec) -> SampleParameters:
    assert spec.sample is not None
    return spec.sample


async def _generate(
    sample: Sample,
    progress: ItemProgress,
    server: BackendServer,
    context: EntryContext,
) -> RunEnd:
    # Samples take no part in the quarantine: an item that was handed in for later
    # is never the cause of a crash and remains owed.
    end = await _attempt(sample, progress, server, context)
    if isinstance(end, AttemptFailure):
        if end.is_output_invalid:
            sample.start_over()
        return _handle_failure(end, server)
    return end


async def _attempt(
    sample: Sample,
    progress: ItemProgress,
    server: BackendServer,
    context: EntryContext,
) -> RunEnd | AttemptFailure:
    generation = sample.generation
    generation.deadline = deadline_in(SAMPLE_TIMEOUT_S)
    # A connection that has stalled may stall again, which a new one does not.
    session = (
        context.after_timeout_session if progress.interrupted_runs else context.session
    )
    started_at = now()
    try:
        async for _ in generate_at(generation, server, session, context):
            progress.record_event(server)
            if not progress.satisfies(progress.spec):
                return RunEnd.TOO_OLD
    except AttemptError as error:
        context.events.record(
            "attempt.failed",
            request=generation.request_id,
            server=server.name,
            outcome=error.failure.outcome.value,
            reason=error.failure.log_text,
        )
        return error.failure
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
    return RunEnd.COMPLETE


def _handle_failure(failure: AttemptFailure, server: BackendServer) -> RunEnd:
    if failure.is_connection_lost or failure.is_other_server:
        server.record_failure()
    if failure.outcome is Outcome.NOT_RUN:
        return RunEnd.NOT_RUN
    return RunEnd.SILENT if failure.is_timeout else RunEnd.BROKEN
