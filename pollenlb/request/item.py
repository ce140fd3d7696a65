"""Items of batch jobs that are requests with numbered events in their answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import cast

from result import Err

from ..clock import Deadline, now
from ..connection.backend import BackendServer
from ..durable.batch_job_commands import BatchItem, BatchJobSpec
from ..ids import RequestId, WeightVersion
from ..process.context import EntryContext
from .attempt import SEND_ERRORS, Answer, Attempt, send_attempt
from .dialect import NumberedEvent
from .event_blocks import iter_event_blocks
from .item_progress import ItemOutput, ItemProgress, RunEnd
from .outcome import Outcome

_IMPOSSIBLE_STATUS = 422
_FAILED_STATUS = 500
_STALL_S = 1.5  # a change of weights holds running streams for 0.9 s


@dataclass
class EventText:
    """Events of an item's answer; satisfies ``item_progress.ItemOutput``.

    Attributes
    ----------
    pieces : list of str
        Data of the events so far.
    last_number : int or None
        Number of the last event, from which another engine can go on.
    versions : list of WeightVersion
        Weights that generated them, each once.
    """

    pieces: list[str] = field(default_factory=list)
    last_number: int | None = None
    versions: list[WeightVersion] = field(default_factory=list)

    @property
    def events(self) -> int:
        """Events so far."""
        return len(self.pieces)

    def add(self, piece: NumberedEvent, version: WeightVersion | None) -> None:
        """Append an event."""
        self.pieces.append(piece.data)
        self.last_number = piece.number
        if version is not None and version not in self.versions:
            self.versions.append(version)

    def start_over(self) -> None:
        """Drop all events."""
        self.pieces.clear()
        self.versions.clear()
        self.last_number = None

    def content(self) -> bytes:
        """Return the data of all events in order, separated by line feeds."""
        return "\n".join(self.pieces).encode()


class RequestItemRunner:
    """Runs items that are requests; satisfies ``item_progress.ItemRunner``."""

    def begin(self, item: BatchItem, spec: BatchJobSpec) -> ItemOutput:
        """Return the empty output of an item."""
        return EventText()

    async def run(
        self, progress: ItemProgress, server: BackendServer, context: EntryContext
    ) -> RunEnd:
        """Run an item at an engine, from where an earlier run broke off.

        Parameters
        ----------
        progress : ItemProgress
            Holds the text as it grows.
        server : BackendServer
            The engine.
        context : EntryContext
            Parts of the entry process.
        """
        item, text = progress.item, _text_of(progress)
        headers = context.dialect.item_headers(item, progress.spec)
        if text.last_number is not None:
            headers.update(context.dialect.resume_headers(text.last_number))
        attempt = Attempt(
            request_id=RequestId(item.item),
            method="POST",
            path=item.path,
            headers=headers,
            body=item.body,
            deadline=progress.give_up_at,
        )
        with server.load.running(is_long=True):
            return await _run(progress, attempt, server, context)


def _text_of(progress: ItemProgress) -> EventText:
    return cast(EventText, progress.output)


async def _run(
    progress: ItemProgress,
    attempt: Attempt,
    server: BackendServer,
    context: EntryContext,
) -> RunEnd:
    head_deadline = Deadline(min(attempt.deadline, now() + _STALL_S))
    sent = await send_attempt(
        attempt,
        server,
        context.session,
        context.settings,
        context.dialect,
        head_deadline,
    )
    if isinstance(sent, Err):
        failed = sent.err_value
        context.events.record(
            "item.not_started",
            item=attempt.request_id,
            server=server.name,
            outcome=failed.outcome.value,
            reason=failed.reason,
        )
        if failed.is_other_server or failed.is_connection_lost or failed.is_timeout:
            server.record_failure()
        if failed.outcome is Outcome.NOT_RUN:
            return RunEnd.NOT_RUN
        return RunEnd.SILENT if failed.is_timeout else RunEnd.BROKEN
    answer = sent.ok_value
    try:
        return await _take_answer(progress, answer, context)
    except (*SEND_ERRORS, ValueError) as error:
        is_silent = isinstance(error, TimeoutError)
        context.events.record(
            "item.broken",
            item=attempt.request_id,
            server=server.name,
            events=progress.output.events,
            reason=str(error) or type(error).__name__,
        )
        return RunEnd.SILENT if is_silent else RunEnd.BROKEN
    finally:
        answer.response.close()


async def _take_answer(
    progress: ItemProgress, answer: Answer, context: EntryContext
) -> RunEnd:
    status = answer.response.status
    if status == _IMPOSSIBLE_STATUS:
        return RunEnd.IMPOSSIBLE
    if status == _FAILED_STATUS:
        return RunEnd.FAILED
    if status != 200:
        raise ValueError(f"the engine answered {status}")
    version = answer.head.version
    if not _is_allowed(progress, version):
        return RunEnd.TOO_OLD
    text = _text_of(progress)
    async for block in iter_event_blocks(answer.response.content, _STALL_S):
        piece = context.dialect.read_numbered_event(block)
        version = piece.version or version
        if not _is_allowed(progress, version):
            return RunEnd.TOO_OLD
        if text.last_number is not None and piece.number <= text.last_number:
            raise ValueError(f"event {piece.number} came twice")
        progress.note_event(answer.server)
        text.add(piece, version)
    answer.server.record_answer(0.0)
    return RunEnd.WHOLE


def _is_allowed(progress: ItemProgress, version: WeightVersion | None) -> bool:
    if version is None:
        return True
    if version < progress.spec.least_version:
        return False
    if not progress.spec.is_single_version:
        return True
    known = progress.output.versions
    return not known or known == [version]
