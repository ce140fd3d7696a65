"""Generates and scores samples of rollout jobs, which are items of batch jobs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, cast

import msgspec
from result import Err, Ok

from ..clock import Deadline, deadline_in, now, remaining_time_s, sleep_until
from ..connection.backend import BackendServer
from ..connection.trainer_messages import SampleBody
from ..durable.batch_job_commands import BatchItem, BatchJobSpec, SampleParameters
from ..ids import RequestId, ServiceName, SoftwareVersion, WeightVersion, new_id
from ..process.context import EntryContext
from .attempt import SEND_ERRORS, Attempt, AttemptFailure, send_attempt
from .caller_request import RequestClass
from .generation import AttemptError, Generation, generate_at
from .item_progress import ItemOutput, ItemProgress, RunEnd
from .outcome import Outcome, RefusedError

SAMPLE_TIMEOUT_S = 600.0
_SCORE_TIMEOUT_S = 30.0
_SCORE_PATH = "/score"
_MAX_SCORE_ATTEMPT_COUNT = 5
_SCORE_RETRY_DELAY_S = 0.2
_MAX_SCORE_BYTES = 65_536
_LIMIT_POLL_INTERVAL_S = 0.1


class _ScoreAnswer(msgspec.Struct):
    score: float


_encode = msgspec.msgpack.Encoder().encode
_decode_score = msgspec.json.Decoder(_ScoreAnswer).decode


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
    score : float or None
        Score from the scoring service; None before, or without such a service.
    """

    generation: Generation
    prompt: str
    is_generated: bool = False
    score: float | None = None

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

    def start_over(self) -> None:
        """Discard the output and the score."""
        self.generation.start_over()
        self.is_generated = False
        self.score = None

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
                score=self.score,
            )
        )


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
        """Generate and score a sample, resuming an earlier interrupted run.

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
        if not sample.is_generated:
            if not context.may_continue(sample.software, server):
                sample.start_over()
            end = await _generate(sample, progress, server, context)
            if end is not RunEnd.COMPLETE or not sample.is_generated:
                return end
        progress.server = None
        parameters = _sample_parameters(progress.spec)
        if parameters.scorer is None:
            return RunEnd.COMPLETE
        sample.score = await _score(sample, parameters, context)
        return RunEnd.COMPLETE if sample.score is not None else RunEnd.BROKEN


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
        context.single_use_session if progress.interrupted_runs else context.session
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
            reason=error.failure.reason,
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


async def _score(
    sample: Sample, parameters: SampleParameters, context: EntryContext
) -> float | None:
    generation = sample.generation
    body = {"prompt": sample.prompt, "text": generation.generated_text}
    deadline = deadline_in(_SCORE_TIMEOUT_S)
    for number in range(_MAX_SCORE_ATTEMPT_COUNT):
        attempt = Attempt(
            request_id=RequestId(f"{generation.request_id}/score{number}"),
            method="POST",
            path=_SCORE_PATH,
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(body),
            deadline=deadline,
        )
        score = await _request_score(attempt, parameters, context)
        if score is not None or not remaining_time_s(deadline):
            return score
        await asyncio.sleep(_SCORE_RETRY_DELAY_S)
    return None


async def _choose_scorer(
    service: ServiceName, deadline: Deadline, context: EntryContext
) -> BackendServer | None:
    """Return a server of the scoring service once its limit allows a request."""
    while remaining_time_s(deadline):
        servers = context.usable_servers(service)
        for server in servers:
            server.request_limit.record_demand()
        within = [server for server in servers if server.request_limit.may_send]
        if within:
            chosen = context.choose(within, context.rng)
            chosen.request_limit.spend()
            return chosen
        if not servers:
            return None
        await sleep_until(deadline_in(_LIMIT_POLL_INTERVAL_S))
    return None


async def _request_score(
    attempt: Attempt, parameters: SampleParameters, context: EntryContext
) -> float | None:
    assert parameters.scorer is not None
    server = await _choose_scorer(parameters.scorer, attempt.deadline, context)
    if server is None:
        return None
    match await send_attempt(
        attempt, server, context.session, context.settings, context.dialect
    ):
        case Ok(answer) if answer.response.status == 200:
            try:
                body = await answer.response.content.read(_MAX_SCORE_BYTES)
                return _decode_score(body).score
            except (*SEND_ERRORS, msgspec.MsgspecError) as error:
                reason = str(error) or type(error).__name__
            finally:
                answer.response.release()
        case Ok(answer):
            answer.response.close()
            reason = (
                f"scoring service answered with HTTP status {answer.response.status}"
            )
        case Err(failure):
            reason = failure.reason
    context.events.record(
        "score.failed", request=attempt.request_id, server=server.name, reason=reason
    )
    return None
