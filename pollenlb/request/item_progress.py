"""One item of a batch job as far as it was generated."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from ..clock import Deadline, now
from ..connection.backend import BackendServer
from ..durable.batch_job_commands import (
    BatchItem,
    BatchJobSpec,
    ItemResult,
    ItemState,
)
from ..ids import BackendServerName, WeightVersion

if TYPE_CHECKING:
    from ..process.context import EntryContext


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


class ItemOutput(Protocol):
    """What was generated of an item so far."""

    @property
    def events(self) -> int:
        """Events of its streams."""

    @property
    def versions(self) -> list[WeightVersion]:
        """Weights that generated them, each once."""

    def start_over(self) -> None:
        """Drop what was generated."""

    def content(self) -> bytes:
        """Return what the item's result holds."""


class ItemRunner(Protocol):
    """How the items of an entry's protocol are run."""

    def begin(self, item: BatchItem, spec: BatchJobSpec) -> ItemOutput:
        """Return the empty output of an item."""

    async def run(
        self, progress: ItemProgress, server: BackendServer, context: EntryContext
    ) -> RunEnd:
        """Run an item at an engine, from where an earlier run broke off."""


@dataclass
class ItemProgress:
    """An item, its output and its runs.

    Attributes
    ----------
    failures : int
        Runs that the engine ended with an error.
    losses : int
        Runs whose connection broke.
    server : BackendServerName or None
        Engine that runs it now.
    avoided : dict
        Until when an engine is not asked again, by name.
    run_at : float
        Monotonic time of the run's start, in seconds.
    event_at : float
        Monotonic time of the last event or of the start, in seconds.
    is_moving : bool
        Whether its run is broken off to go on at another engine.
    """

    item: BatchItem
    spec: BatchJobSpec
    give_up_at: Deadline
    output: ItemOutput
    failures: int = 0
    losses: int = 0
    server: BackendServerName | None = None
    avoided: dict[BackendServerName, Deadline] = field(default_factory=dict)
    run_at: float = 0.0
    event_at: float = 0.0
    is_moving: bool = False

    def note_event(self, server: BackendServer) -> None:
        """Take note of an event from an engine."""
        server.load.record_event_interval(now() - self.event_at)
        self.event_at = now()

    def fits(self, spec: BatchJobSpec) -> bool:
        """Whether what was generated may be part of a batch job's results."""
        versions = self.output.versions
        if spec.is_single_version and len(versions) > 1:
            return False
        return all(each >= spec.least_version for each in versions)

    def result(self, state: ItemState) -> ItemResult:
        """Return the item's result."""
        if state is ItemState.EXPIRED:
            return ItemResult(self.item.item, state)
        return ItemResult.completed(
            self.item.item, self.output.content(), sorted(self.output.versions)
        )
