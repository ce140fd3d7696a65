"""Progress of one item of a batch job: its output and its runs."""

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
    SavedOutput,
)
from ..ids import BackendServerName, ItemId, SoftwareVersion, WeightVersion

if TYPE_CHECKING:
    from ..process.context import EntryContext
    from .reward_call import RewardAnswer, RewardRequest


class RunEnd(Enum):
    """How a run of an item ended.

    Attributes
    ----------
    COMPLETE
        The output is complete.
    NOT_RUN
        The engine certainly did not run the item.
    FAILED
        The engine answered with an error.
    IMPOSSIBLE
        The engine answered that it can never run the item.
    TOO_OLD
        The engine's weights are not allowed for the item, or for the rest of its
        output.
    BROKEN
        The run was interrupted, for example by a failed connection.
    SILENT
        The engine sent nothing for too long.
    MOVED
        The run was cancelled to continue at another engine.
    """

    COMPLETE = "whole"
    NOT_RUN = "not-run"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    TOO_OLD = "too-old"
    BROKEN = "broken"
    SILENT = "silent"
    MOVED = "moved"


class ItemOutput(Protocol):
    """Output of an item so far."""

    @property
    def events(self) -> int:
        """Number of events, or tokens, generated so far."""

    @property
    def versions(self) -> list[WeightVersion]:
        """Weight versions that generated the output, each once."""

    @property
    def software(self) -> SoftwareVersion | None:
        """Software version that generated the output; None without output."""

    @property
    def is_generated(self) -> bool:
        """Whether the output is complete; only its score may be missing."""

    @property
    def score(self) -> str | None:
        """Score of the output, as the result states it beside its content."""

    def start_over(self) -> None:
        """Discard the output, so that the next run starts from the beginning."""

    def content(self) -> bytes:
        """Return the content of the item's result."""

    def save(self, item: ItemId) -> SavedOutput | None:
        """Return what another process needs to go on; None without output."""

    def restore(self, saved: SavedOutput) -> None:
        """Replace the output by one that another process saved."""


class ItemRunner(Protocol):
    """Runs the items of one protocol."""

    def create_output(self, item: BatchItem, spec: BatchJobSpec) -> ItemOutput:
        """Return the empty output of an item."""

    async def run(
        self, progress: ItemProgress, server: BackendServer, context: EntryContext
    ) -> RunEnd:
        """Generate an item's output, resuming an earlier interrupted run.

        After ``COMPLETE`` the output is generated.
        """

    def reward_request(
        self, progress: ItemProgress, context: EntryContext
    ) -> RewardRequest | None:
        """Return the reward call of a generated output; None if it is not scored."""

    def record_score(
        self, progress: ItemProgress, answer: RewardAnswer, context: EntryContext
    ) -> bool:
        """Record the score that an answer brings; return False if it brings none."""


@dataclass
class ItemProgress:
    """An item, its output and its runs.

    Attributes
    ----------
    item : BatchItem
        The item.
    spec : BatchJobSpec
        Its batch job.
    expires_at : Deadline
        When the item is abandoned.
    output : ItemOutput
        What was generated so far.
    failed_runs : int
        Number of runs that the engine ended with an error.
    saved_failed_runs : int
        Number of these that the replicated log knows.
    interrupted_runs : int
        Number of runs that ended ``BROKEN`` or ``SILENT``.
    server : BackendServerName or None
        Engine that runs the item now.
    avoided : dict
        Monotonic time until which the item avoids an engine, by engine name.
    run_started_at : float
        Monotonic time at which the run started, in seconds.
    last_event_at : float
        Monotonic time of the last event, or of the start of the run before its
        first event, in seconds.
    run_ended_at : float
        Monotonic time at which the last run ended, in seconds.
    is_moving : bool
        Whether the run is being cancelled to continue at another engine.
    saved_events : int
        Number of events of the output that was saved last.
    is_saved_complete : bool
        Whether the output that was saved last is complete.
    saved_at : float
        Monotonic time at which output was saved or its first event arrived, in
        seconds; infinite before.
    """

    item: BatchItem
    spec: BatchJobSpec
    expires_at: Deadline
    output: ItemOutput
    failed_runs: int = 0
    saved_failed_runs: int = 0
    interrupted_runs: int = 0
    server: BackendServerName | None = None
    avoided: dict[BackendServerName, Deadline] = field(default_factory=dict)
    run_started_at: float = 0.0
    last_event_at: float = 0.0
    run_ended_at: float = float("-inf")
    is_moving: bool = False
    saved_events: int = 0
    is_saved_complete: bool = False
    saved_at: float = float("inf")

    def record_event(self, server: BackendServer) -> None:
        """Record an event of the current run at an engine.

        The time to the first event of a run says nothing of the engine's speed,
        since it includes the connection and the reading of the prompt.
        """
        if self.last_event_at > self.run_started_at:
            server.load.record_event_interval(now() - self.last_event_at)
        self.last_event_at = now()
        self.saved_at = min(self.saved_at, self.last_event_at)

    @property
    def required_version(self) -> WeightVersion | None:
        """Weight version that must generate the rest; None if any allowed one may."""
        if not self.spec.is_single_version or not self.output.versions:
            return None
        return self.output.versions[0]

    def satisfies(self, spec: BatchJobSpec) -> bool:
        """Return whether a batch job allows the weights that generated the output."""
        versions = self.output.versions
        if spec.is_single_version and len(versions) > 1:
            return False
        return all(version >= spec.least_version for version in versions)

    def result(self, state: ItemState) -> ItemResult:
        """Return the result of the item in its final state."""
        if state is ItemState.EXPIRED:
            return ItemResult(self.item.item, state, failed_runs=self.failed_runs)
        return ItemResult.completed(
            self.item.item,
            self.output.content(),
            sorted(self.output.versions),
            self.output.score,
        )
