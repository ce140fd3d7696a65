"""Generates one completion and resumes it at another engine after a failure."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
from result import Err, Ok

from ..clock import Deadline, deadline_in, now
from ..connection.backend import BackendServer
from ..connection.backend_api import BOOT_HEADER
from ..connection.engine_api import (
    COMPLETIONS_PATH,
    END_OF_STREAM_DATA,
    Resume,
    StreamEvent,
    completion_body,
    decode_event,
)
from ..connection.trainer_messages import Span
from ..ids import (
    BootId,
    Fingerprint,
    RequestId,
    ServiceName,
    SoftwareVersion,
    WeightVersion,
    WorkspaceName,
)
from ..process.caller_queue import QueuedRequest
from ..process.context import EntryContext
from ..process.usage_meter import RequestUsage
from .attempt import (
    SEND_ERRORS,
    Answer,
    Attempt,
    AttemptFailure,
    error_detail,
    error_kind,
    release_short_answer,
    send_attempt,
)
from .caller_request import RequestClass
from .event_blocks import (
    MAX_OUTPUT_BYTES,
    BrokenStreamError,
    StreamTooLongError,
    iter_data_lines,
)
from .outcome import Outcome, Refusal, RefusedError
from .process_check import check_process
from .retries import Retries, RetryPolicy

_PRIORITIES = {
    RequestClass.INTERACTIVE: 0,
    RequestClass.SHORT: 10,
    RequestClass.LONG: 20,
}
_MAX_REASON_BYTES = 300  # of an engine's refusal, for the caller and the event log


@dataclass
class Generation:
    """A completion request and the output generated so far.

    Attributes
    ----------
    request_id : RequestId
        Identifies the completion; each attempt adds its number.
    service : ServiceName
        Service whose engines generate the completion.
    request_body : dict
        Body of the completion request.
    request_class : RequestClass
        Determines the priority at the engine.
    deadline : Deadline
        When the completion is abandoned.
    is_repeatable : bool
        Whether the request may be sent again when it may have been run.
    least_version : WeightVersion
        Engines with older weights are not used.
    text_chunks : list of str
        Text of the events received so far.
    tokens : int
        Number of tokens generated so far.
    spans : list of Span
        Weight versions that generated the tokens so far.
    finish_reason : str or None
        Why the generation ended, as the engine reported; None before.
    attempts : int
        Number of attempts started so far.
    server : BackendServer or None
        Engine of the latest attempt.
    software : SoftwareVersion or None
        Software version that generated the tokens so far; None without tokens.
    is_delivered : bool
        Whether the events are sent to the caller as they arrive.
    workspace : WorkspaceName or None
        Workspace for which it runs; None without one.
    usage : RequestUsage or None
        Count of the request in usage reports; None if it does not count.
    queued : QueuedRequest or None
        The request in the queue of its service; None if it does not wait there.
    """

    request_id: RequestId
    service: ServiceName
    request_body: dict[str, Any]
    request_class: RequestClass
    deadline: Deadline
    is_repeatable: bool = True
    least_version: WeightVersion = WeightVersion(0)
    text_chunks: list[str] = field(default_factory=list)
    tokens: int = 0
    spans: list[Span] = field(default_factory=list)
    finish_reason: str | None = None
    attempts: int = 0
    server: BackendServer | None = None
    software: SoftwareVersion | None = None
    is_delivered: bool = False
    workspace: WorkspaceName | None = None
    usage: RequestUsage | None = None
    queued: QueuedRequest | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Digest of the service and the prompt, the same for all samples of a group."""
        text = f"{self.service}\n{self.request_body['prompt']}"
        if self.workspace is not None:
            text = f"{self.workspace}\0{text}"
        return Fingerprint(hashlib.sha256(text.encode()).hexdigest()[:32])

    @property
    def generated_text(self) -> str:
        """Text generated so far."""
        return "".join(self.text_chunks)

    @property
    def resume(self) -> Resume | None:
        """Output from which an engine can resume; None without any."""
        return Resume(self.generated_text, self.tokens) if self.tokens else None

    def add(self, event: StreamEvent) -> None:
        """Append the text and tokens of an event."""
        choice = event.choices[0]
        self.finish_reason = choice.finish_reason or self.finish_reason
        origin = event.pollenlb
        if not origin.tokens:
            return
        self.text_chunks.append(choice.text)
        last = self.tokens + origin.tokens - 1
        if self.spans and self.spans[-1].version == origin.version:
            first = self.spans.pop().first
        else:
            first = self.tokens
        self.spans.append(Span(origin.version, first, last))
        self.tokens += origin.tokens
        if self.server is not None:
            self.software = self.server.software

    def start_over(self) -> None:
        """Discard the output."""
        self.text_chunks.clear()
        self.spans.clear()
        self.tokens = 0
        self.finish_reason = None
        self.software = None


async def generate(
    generation: Generation, context: EntryContext
) -> AsyncIterator[StreamEvent]:
    """Yield the events of a completion, resuming at other engines after failures.

    Parameters
    ----------
    generation : Generation
        What to generate; its output grows with each event.
    context : EntryContext
        Parts of the entry process.

    Raises
    ------
    RefusedError
        When the completion cannot be finished, or an engine refused it.
    """
    retries = Retries(
        context,
        generation.service,
        generation.request_id,
        generation.fingerprint,
        RetryPolicy(
            generation.deadline,
            generation.request_class,
            generation.is_repeatable,
            generation.least_version,
            queued=generation.queued,
        ),
    )
    while True:
        server = await retries.next_server()
        is_complete = False
        try:
            async for event in generate_at(
                generation, server, retries.session, context
            ):
                yield event
            is_complete = True
        except AttemptError as error:
            if error.failure.is_output_invalid:
                await retries.record_failure(server, error.failure)
                await retries.record_abandonment()
                raise _invalid_output_error(error.failure) from error
            await retries.handle_failure(server, error.failure)
            _keep_to_software(generation, retries, context)
        except (GeneratorExit, asyncio.CancelledError, RefusedError):
            await retries.record_abandonment()
            raise
        if is_complete:
            await retries.record_success(server)
            return


def _keep_to_software(
    generation: Generation, retries: Retries, context: EntryContext
) -> None:
    """Let the next attempt continue the output at its software version only.

    Without a usable engine of that version, output that was not delivered yet is
    generated anew.
    """
    software = generation.software
    if software is None:
        return
    usable = context.usable_servers(generation.service)
    if generation.is_delivered or any(server.software == software for server in usable):
        retries.require_software(software)
    else:
        generation.start_over()


def _invalid_output_error(failure: AttemptFailure) -> RefusedError:
    return RefusedError(Refusal(502, Outcome.UNKNOWN, failure.reason))


class AttemptError(Exception):
    """An attempt ended before its completion was finished.

    Parameters
    ----------
    failure : AttemptFailure
        How the attempt failed.
    """

    def __init__(self, failure: AttemptFailure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


async def generate_at(
    generation: Generation,
    server: BackendServer,
    session: aiohttp.ClientSession,
    context: EntryContext,
) -> AsyncIterator[StreamEvent]:
    """Yield the events of one attempt at an engine.

    Raises
    ------
    AttemptError
        When the attempt ends before the completion is finished.
    RefusedError
        When the engine refuses the completion.
    """
    is_long = generation.request_class is RequestClass.LONG
    if generation.tokens:
        with server.load.track_request(is_long):
            failure = await check_process(server, True, context)
        if failure is not None:
            raise AttemptError(failure)
    generation.attempts += 1
    generation.server = server
    attempt_id = RequestId(f"{generation.request_id}/{generation.attempts}")
    attempt = Attempt(
        request_id=attempt_id,
        method="POST",
        target=COMPLETIONS_PATH,
        headers={"Content-Type": "application/json"},
        body=completion_body(
            generation.request_body,
            _PRIORITIES[generation.request_class],
            generation.resume,
        ),
        deadline=generation.deadline,
        workspace=generation.workspace,
        usage=generation.usage,
    )
    if generation.tokens:
        context.events.record(
            "generation.resumed",
            request=generation.request_id,
            server=server.name,
            software=server.software,
            tokens=generation.tokens,
        )
    started_at = now()
    with server.load.track_request(is_long):
        answer = await _open_stream(attempt, server, session, context)
        try:
            async for event in _read_events(answer, attempt_id, context):
                _check_length(generation, event, server)
                generation.add(event)
                yield event
            await release_short_answer(answer.response)
        finally:
            answer.response.close()
        server.record_answer(now() - started_at)


async def _open_stream(
    attempt: Attempt,
    server: BackendServer,
    session: aiohttp.ClientSession,
    context: EntryContext,
) -> Answer:
    progress_s = context.settings.progress_timeout_s
    head_deadline = Deadline(min(attempt.deadline, deadline_in(progress_s)))
    result = await send_attempt(
        attempt, server, session, context.settings, context.dialect, head_deadline
    )
    match result:
        case Err(failure):
            raise AttemptError(failure)
        case Ok(answer):
            await _check_status(answer, progress_s)
            return answer
    raise AssertionError


async def _check_status(answer: Answer, progress_timeout_s: float) -> None:
    status = answer.response.status
    if status == 200:
        return
    try:
        async with asyncio.timeout(progress_timeout_s):
            body = await answer.response.content.read(_MAX_REASON_BYTES)
    except SEND_ERRORS:
        body = b""
    answer.response.close()
    if 400 <= status < 500:
        reason = (
            f"{answer.server.name} refused the request with HTTP status {status}: "
            f"{body!r}"
        )
        raise RefusedError(Refusal(status, Outcome.RAN, reason))
    raise AttemptError(
        AttemptFailure(
            Outcome.UNKNOWN, f"{answer.server.name} answered with HTTP status {status}"
        )
    )


async def _read_events(
    answer: Answer, attempt_id: RequestId, context: EntryContext
) -> AsyncIterator[StreamEvent]:
    boot = answer.response.headers.get(BOOT_HEADER)
    last: StreamEvent | None = None
    try:
        async for data in iter_data_lines(
            answer.response.content,
            context.settings.progress_timeout_s,
            MAX_OUTPUT_BYTES,
        ):
            if data == END_OF_STREAM_DATA:
                if last is None:
                    raise BrokenStreamError("stream ended without a finish reason")
                yield last
                return
            if last is not None:
                raise BrokenStreamError("stream continued after its last event")
            event = _check_event(decode_event(data), attempt_id, BootId(boot or ""))
            if event.choices[0].finish_reason is None:
                yield event
            else:
                # Delayed until the end mark arrives: without it the completion
                # can still be resumed at another engine.
                last = event
    except (*SEND_ERRORS, BrokenStreamError, msgspec.MsgspecError) as error:
        raise AttemptError(_stream_failure(answer, error)) from error
    raise AttemptError(
        _stream_failure(answer, BrokenStreamError("stream ended without an end mark"))
    )


def _check_length(
    generation: Generation, event: StreamEvent, server: BackendServer
) -> None:
    max_tokens = generation.request_body["max_tokens"]
    if generation.tokens + event.pollenlb.tokens > max_tokens:
        raise AttemptError(
            AttemptFailure(
                Outcome.UNKNOWN,
                f"{server.name} sent more than the {max_tokens} tokens asked for",
                is_output_invalid=True,
            )
        )


def _check_event(
    event: StreamEvent, attempt_id: RequestId, boot: BootId
) -> StreamEvent:
    if event.id != attempt_id:
        raise BrokenStreamError(f"stream does not belong to request {attempt_id}")
    if event.pollenlb.boot != boot:
        raise BrokenStreamError("engine restarted during the stream")
    if len(event.choices) != 1:
        raise BrokenStreamError(
            f"event has {len(event.choices)} choices instead of one"
        )
    return event


def _stream_failure(answer: Answer, error: Exception) -> AttemptFailure:
    is_invalid_answer = isinstance(error, (BrokenStreamError, msgspec.MsgspecError))
    return AttemptFailure(
        Outcome.UNKNOWN,
        f"reading the stream of {answer.server.name} failed: {error_kind(error)}",
        error_detail(error),
        is_connection_lost=not is_invalid_answer
        and not isinstance(error, TimeoutError),
        is_timeout=isinstance(error, TimeoutError),
        is_output_invalid=isinstance(error, StreamTooLongError),
    )
