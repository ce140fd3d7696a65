"""One item of a batch job: its text so far, and one run at an engine."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from result import Err

from ..connection.backend import BackendServer
from ..durable.batch_job_commands import (
    BatchItem,
    BatchJobSpec,
    ItemResult,
    ItemState,
)
from ..ids import BackendServerName, RequestId, WeightVersion
from ..process.clock import Deadline, now
from ..process.context import EntryContext
from .attempt import SEND_ERRORS, Answer, Attempt, send
from .dialect import StreamPiece
from .event_blocks import event_blocks
from .outcome import Outcome

_IMPOSSIBLE_STATUS = 422
_FAILED_STATUS = 500


class RunEnd(Enum):
    """How a run of an item ended."""

    WHOLE = "whole"
    NOT_RUN = "not-run"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    TOO_OLD = "too-old"
    BROKEN = "broken"
    SILENT = "silent"
    MOVED = "moved"


@dataclass
class ItemProgress:
    """An item as far as it was generated.

    Attributes
    ----------
    pieces : list of str
        Data of the events so far.
    last_number : int or None
        Number of the last event, from which another engine can go on.
    versions : list of WeightVersion
        Weights that generated them, each once.
    failures : int
        Runs that the engine ended with an error.
    losses : int
        Runs whose connection broke.
    server : BackendServerName or None
        Engine that runs it now.
    avoided : dict
        Until when an engine is not asked again, by name.
    piece_at : float
        Monotonic time of the last event or of the start, in seconds.
    is_moving : bool
        Whether its run is broken off to go on at another engine.
    """

    item: BatchItem
    spec: BatchJobSpec
    give_up_at: Deadline
    pieces: list[str] = field(default_factory=list)
    last_number: int | None = None
    versions: list[WeightVersion] = field(default_factory=list)
    failures: int = 0
    losses: int = 0
    runs: int = 0
    server: BackendServerName | None = None
    avoided: dict[BackendServerName, Deadline] = field(default_factory=dict)
    piece_at: float = 0.0
    is_moving: bool = False

    def add(self, piece: StreamPiece, version: WeightVersion | None) -> None:
        """Append an event."""
        self.pieces.append(piece.data)
        self.last_number = piece.number
        self.piece_at = now()
        if version is not None and version not in self.versions:
            self.versions.append(version)

    def start_over(self) -> None:
        """Drop what was generated."""
        self.pieces.clear()
        self.versions.clear()
        self.last_number = None

    def fits(self, spec: BatchJobSpec) -> bool:
        """Whether what was generated may be part of a batch job's results."""
        if spec.is_single_version and len(self.versions) > 1:
            return False
        return all(each >= spec.least_version for each in self.versions)

    def result(self, state: ItemState) -> ItemResult:
        """Return the item's result."""
        if state is ItemState.EXPIRED:
            return ItemResult(self.item.item, state)
        text = "\n".join(self.pieces)
        return ItemResult.completed(self.item.item, text, sorted(self.versions))


async def run_item(
    progress: ItemProgress,
    server: BackendServer,
    stall_s: float,
    context: EntryContext,
) -> RunEnd:
    """Run an item at an engine, from where an earlier run broke off.

    Parameters
    ----------
    progress : ItemProgress
        Holds the text as it grows.
    server : BackendServer
        The engine.
    stall_s : float
        Seconds without an event after which the run counts as lost.
    context : EntryContext
        Parts of the entry process.
    """
    item, spec = progress.item, progress.spec
    headers = context.dialect.item_headers(item, spec)
    if progress.last_number is not None:
        headers.update(context.dialect.resume_headers(progress.last_number))
    attempt = Attempt(
        request_id=RequestId(item.item),
        method="POST",
        path=item.path,
        headers=headers,
        body=item.body,
        deadline=progress.give_up_at,
    )
    progress.runs += 1
    progress.server = server.name
    progress.piece_at = now()
    try:
        with server.load.running(is_long=True):
            return await _run(progress, attempt, server, stall_s, context)
    finally:
        progress.server = None


async def _run(
    progress: ItemProgress,
    attempt: Attempt,
    server: BackendServer,
    stall_s: float,
    context: EntryContext,
) -> RunEnd:
    head_deadline = Deadline(min(attempt.deadline, now() + stall_s))
    sent = await send(
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
            server.note_failure()
        if failed.outcome is Outcome.NOT_RUN:
            return RunEnd.NOT_RUN
        return RunEnd.SILENT if failed.is_timeout else RunEnd.BROKEN
    answer = sent.ok_value
    try:
        return await _take_answer(progress, answer, stall_s, context)
    except (*SEND_ERRORS, ValueError) as error:
        is_silent = isinstance(error, TimeoutError)
        context.events.record(
            "item.broken",
            item=attempt.request_id,
            server=server.name,
            events=len(progress.pieces),
            reason=str(error) or type(error).__name__,
        )
        return RunEnd.SILENT if is_silent else RunEnd.BROKEN
    finally:
        answer.response.close()


async def _take_answer(
    progress: ItemProgress, answer: Answer, stall_s: float, context: EntryContext
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
    async for block in event_blocks(answer.response.content, stall_s):
        piece = context.dialect.read_piece(block)
        version = piece.version or version
        if not _is_allowed(progress, version):
            return RunEnd.TOO_OLD
        if progress.last_number is not None and piece.number <= progress.last_number:
            raise ValueError(f"event {piece.number} came twice")
        answer.server.load.note_piece(now() - progress.piece_at)
        progress.add(piece, version)
    answer.server.note_answer(0.0)
    return RunEnd.WHOLE


def _is_allowed(progress: ItemProgress, version: WeightVersion | None) -> bool:
    if version is None:
        return True
    if version < progress.spec.least_version:
        return False
    if not progress.spec.is_single_version:
        return True
    return not progress.versions or progress.versions == [version]
