"""Runs items of batch jobs that are requests answered with numbered events."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import cast

from result import Err

from ..clock import Deadline, now
from ..connection.backend import BackendServer
from ..durable.batch_job_commands import BatchItem, BatchJobSpec, SavedOutput
from ..ids import ItemId, RequestId, SoftwareVersion, WeightVersion
from ..process.context import EntryContext
from .attempt import (
    SEND_ERRORS,
    Answer,
    Attempt,
    error_detail,
    release_short_answer,
    send_attempt,
)
from .dialect import NumberedEvent
from .event_blocks import (
    MAX_OUTPUT_BYTES,
    EventOrder,
    StreamTooLongError,
    check_event_stream,
    iter_event_blocks,
)
from .item_progress import ItemOutput, ItemProgress, RunEnd
from .outcome import Outcome
from .process_check import check_process
from .reward_call import RewardAnswer, RewardRequest

_REJECTED_STATUS = 422  # the engine can never run the request
_FAILED_STATUS = 500
# Longer than the 0.9 s for which a change of weights pauses running streams.
_STALL_TIMEOUT_S = 1.5


@dataclass
class EventOutput:
    """Events of an item's answer; implements ``item_progress.ItemOutput``.

    Attributes
    ----------
    event_data : list of str
        Data of the events received so far.
    last_event_number : int or None
        Number of the last event, after which another engine can resume.
    versions : list of WeightVersion
        Weight versions that generated the events, each once.
    software : SoftwareVersion or None
        Software version that generated the events; None without events.
    is_generated : bool
        Whether the last event has been received.
    score : str or None
        Score from the item's reward call; None before, or without such a call.
    order : EventOrder
        Checks the order of the events.
    """

    event_data: list[str] = field(default_factory=list)
    last_event_number: int | None = None
    versions: list[WeightVersion] = field(default_factory=list)
    software: SoftwareVersion | None = None
    is_generated: bool = False
    score: str | None = None
    order: EventOrder = field(default_factory=EventOrder)

    @property
    def events(self) -> int:
        """Number of events received so far."""
        return len(self.event_data)

    def add(
        self,
        event: NumberedEvent,
        version: WeightVersion | None,
        software: SoftwareVersion,
    ) -> None:
        """Append an event that a server of a software version generated."""
        self.software = software
        self.event_data.append(event.data)
        self.last_event_number = event.number
        if version is not None and version not in self.versions:
            self.versions.append(version)

    def start_over(self) -> None:
        """Discard all events."""
        self.event_data.clear()
        self.versions.clear()
        self.last_event_number = None
        self.software = None
        self.is_generated = False
        self.score = None

    def content(self) -> bytes:
        """Return the data of all events in order, separated by line feeds."""
        return "\n".join(self.event_data).encode()

    def save(self, item: ItemId) -> SavedOutput | None:
        """Return what another process needs to go on; None without events."""
        if self.last_event_number is None or self.software is None:
            return None
        return SavedOutput.pack(
            item,
            self.event_data,
            self.last_event_number,
            list(self.versions),
            self.software,
            self.is_generated,
        )

    def restore(self, saved: SavedOutput) -> None:
        """Replace the events by those that another process saved."""
        self.event_data = saved.event_data
        self.last_event_number = saved.last_event_number
        self.versions = list(saved.versions)
        self.software = saved.software
        self.is_generated = saved.is_generated
        self.score = None


class RequestItemRunner:
    """Runs items that are requests; implements ``item_progress.ItemRunner``."""

    def create_output(self, item: BatchItem, spec: BatchJobSpec) -> ItemOutput:
        """Return the empty output of an item."""
        return EventOutput()

    async def run(
        self, progress: ItemProgress, server: BackendServer, context: EntryContext
    ) -> RunEnd:
        """Run an item at an engine, resuming an earlier interrupted run.

        An engine of another software version than the earlier one starts over, and so
        does one with other weights if a single version must generate the item.

        Parameters
        ----------
        progress : ItemProgress
            Progress of the item; its output grows during the run.
        server : BackendServer
            The engine.
        context : EntryContext
            Parts of the entry process.
        """
        item, output = progress.item, _output_of(progress)
        version = server.model_version(progress.spec.model)
        has_same_weights = progress.required_version in (None, version)
        if not has_same_weights or not context.may_continue(output.software, server):
            output.start_over()
        failure = await check_process(server, output.software is not None, context)
        if failure is not None:
            server.record_failure()
            context.events.record(
                "item.not_started",
                item=item.item,
                server=server.name,
                outcome=failure.outcome.value,
                reason=failure.log_text,
            )
            return RunEnd.NOT_RUN
        headers = context.dialect.item_headers(item, progress.spec)
        if output.last_event_number is not None:
            headers.update(context.dialect.resume_headers(output.last_event_number))
        attempt = Attempt(
            request_id=RequestId(item.item),
            method="POST",
            target=item.path,
            headers=headers,
            body=item.body,
            deadline=progress.expires_at,
            workspace=progress.spec.workspace,
        )
        if output.events:
            context.events.record(
                "item.resumed",
                item=item.item,
                server=server.name,
                software=server.software,
                events=output.events,
            )
        with server.load.track_request(is_long=True):
            end = await _run_attempt(progress, attempt, server, context)
        output.is_generated = end is RunEnd.COMPLETE
        return end

    def reward_request(
        self, progress: ItemProgress, context: EntryContext
    ) -> RewardRequest | None:
        """Return the reward call that came with the item; None without one."""
        call = progress.item.reward
        if call is None:
            return None
        return RewardRequest(
            request_id=call.request_id,
            host=call.host,
            path=call.path,
            headers=context.dialect.reward_call_headers(call),
            body=call.body,
            workspace=progress.spec.workspace,
        )

    def record_score(
        self, progress: ItemProgress, answer: RewardAnswer, context: EntryContext
    ) -> bool:
        """Record the score in an answer's headers; return whether there is one."""
        score = context.dialect.read_score(answer.headers)
        _output_of(progress).score = score
        return score is not None


def _output_of(progress: ItemProgress) -> EventOutput:
    return cast(EventOutput, progress.output)


async def _run_attempt(
    progress: ItemProgress,
    attempt: Attempt,
    server: BackendServer,
    context: EntryContext,
) -> RunEnd:
    started_at = now()
    head_deadline = Deadline(min(attempt.deadline, started_at + _STALL_TIMEOUT_S))
    sent = await send_attempt(
        attempt,
        server,
        context.session,
        context.settings,
        context.dialect,
        head_deadline,
    )
    if isinstance(sent, Err):
        failure = sent.err_value
        context.events.record(
            "item.not_started",
            item=attempt.request_id,
            server=server.name,
            outcome=failure.outcome.value,
            reason=failure.log_text,
        )
        if failure.is_other_server or failure.is_connection_lost or failure.is_timeout:
            server.record_failure()
        if failure.outcome is Outcome.NOT_RUN:
            return RunEnd.NOT_RUN
        return RunEnd.SILENT if failure.is_timeout else RunEnd.BROKEN
    answer = sent.ok_value
    try:
        return await _read_answer(progress, answer, context)
    except (*SEND_ERRORS, ValueError) as error:
        is_silent = isinstance(error, TimeoutError)
        if isinstance(error, StreamTooLongError):
            progress.output.start_over()
        if isinstance(error, SEND_ERRORS):
            silent_since = max(progress.last_event_at, started_at)
            context.reachability.record_failure(server.name, silent_since)
        context.events.record(
            "item.broken",
            item=attempt.request_id,
            server=server.name,
            events=progress.output.events,
            reason=f"reading events failed (timeout {_STALL_TIMEOUT_S:g} s): "
            f"{error_detail(error)}",
        )
        return RunEnd.SILENT if is_silent else RunEnd.BROKEN
    finally:
        answer.response.close()


async def _read_answer(
    progress: ItemProgress, answer: Answer, context: EntryContext
) -> RunEnd:
    status = answer.response.status
    if status in (_REJECTED_STATUS, _FAILED_STATUS):
        await release_short_answer(answer.response)
        return RunEnd.IMPOSSIBLE if status == _REJECTED_STATUS else RunEnd.FAILED
    if status != 200:
        raise ValueError(f"engine answered with unexpected HTTP status {status}")
    version = answer.head.version
    if version is not None:
        answer.server.record_version(progress.spec.model, version)
    if not _is_version_allowed(progress, version):
        return RunEnd.TOO_OLD
    check_event_stream(answer.response)
    output = _output_of(progress)
    order = output.order
    order.begin_run(output.last_event_number)
    async for block in iter_event_blocks(
        answer.response.content, _STALL_TIMEOUT_S, MAX_OUTPUT_BYTES
    ):
        event = context.dialect.read_numbered_event(block)
        if event.version is not None:
            version = event.version
            answer.server.record_version(progress.spec.model, version)
        if not _is_version_allowed(progress, version):
            return RunEnd.TOO_OLD
        order.check_next(event.number)
        if 0 < progress.item.tokens <= output.events:
            raise StreamTooLongError(
                f"the engine sent more events than the {progress.item.tokens} tokens "
                "that the item may have"
            )
        progress.record_event(answer.server)
        context.reachability.record_contact(progress.last_event_at)
        output.add(event, version, answer.server.software)
    order.check_end()
    answer.server.record_answer(0.0)
    return RunEnd.COMPLETE


def _is_version_allowed(progress: ItemProgress, version: WeightVersion | None) -> bool:
    """Return whether the next event of an item may come from these weights."""
    if version is None:
        return True
    if version < progress.spec.least_version:
        return False
    return progress.required_version in (None, version)
