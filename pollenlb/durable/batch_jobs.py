"""Batch jobs: their items, results in fixed positions, and who runs them."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from ..ids import BatchJobId, BootId, ItemId, LogIndex, WeightVersion
from .batch_job_commands import (
    AssignBatchJobs,
    BatchItem,
    BatchJobAccepted,
    BatchJobSpec,
    CommitItems,
    EndBatchJob,
    ItemResult,
    ItemsCommitted,
    ItemState,
    SubmitBatchJob,
)
from .command_base import Done, Refused
from .commands import AnyResult

# Wall clocks of leaders may jump by some seconds, so jobs are kept longer.
KEPT_MARGIN_MS = 30_000
MOST_CHANGES = 2_000  # entry processes whose last change of work is remembered


class BatchJob(msgspec.Struct):
    """One batch job.

    Attributes
    ----------
    at_ms : int
        Wall time of the submission, milliseconds since the epoch.
    owner : BootId or None
        Entry process that runs it.
    results : list of ItemResult
        Results in the positions at which they were first entered.
    listed : set of ItemId
        Items that have a result.
    changed_at : LogIndex
        Log index at which it last changed what its owner has to run.
    """

    spec: BatchJobSpec
    at_ms: int
    owner: BootId | None
    results: list[ItemResult] = []
    listed: set[ItemId] = set()
    is_ended: bool = False
    changed_at: LogIndex = LogIndex(0)

    @property
    def is_open(self) -> bool:
        """Whether items may still be run."""
        return not self.is_ended and len(self.results) < len(self.spec.items)

    @property
    def kept_until_ms(self) -> float:
        """Wall time until which results can be read, in milliseconds."""
        return self.at_ms + 1000 * self.spec.kept_s + KEPT_MARGIN_MS

    def find_item(self, item: ItemId) -> BatchItem | None:
        """Return an item of the job, or None."""
        for each in self.spec.items:
            if each.item == item:
                return each
        return None


class BatchJobTable(msgspec.Struct):
    """Batch jobs by id, oldest first.

    Attributes
    ----------
    changed_at : dict
        Log index of the last change of what an entry process has to run.
    """

    batch_jobs: dict[BatchJobId, BatchJob] = {}
    changed_at: dict[BootId, LogIndex] = {}

    def submit(self, command: SubmitBatchJob, index: LogIndex, at_ms: int) -> AnyResult:
        """Keep a batch job; results of carried items are entered at once."""
        spec = command.spec
        known = self.batch_jobs.get(spec.batch_job)
        if known is not None:
            return BatchJobAccepted(known.owner)
        self._drop_old(at_ms)
        batch_job = BatchJob(spec, at_ms, command.owner, changed_at=index)
        for result in self._carried(spec):
            batch_job.results.append(result)
            batch_job.listed.add(result.item)
        self.batch_jobs[spec.batch_job] = batch_job
        self._note_change(command.owner, index)
        return BatchJobAccepted(command.owner)

    def commit(self, command: CommitItems, index: LogIndex) -> AnyResult:
        """Enter results of items that have none yet, but for stale ones."""
        batch_job = self.batch_jobs.get(command.batch_job)
        if batch_job is None:
            return Refused(f"there is no batch job {command.batch_job}")
        named = {each.item for each in batch_job.spec.items}
        stale = 0
        listed = len(batch_job.listed)
        for result in command.results:
            if result.item not in named or result.item in batch_job.listed:
                continue
            if not result.is_fresh(batch_job.spec.least_version):
                stale += 1
                continue
            batch_job.results.append(result)
            batch_job.listed.add(result.item)
        if not batch_job.is_open and batch_job.owner is not None:
            self._note_change(batch_job.owner, index)
        return ItemsCommitted(len(batch_job.listed) - listed, stale)

    def end(self, command: EndBatchJob, index: LogIndex) -> AnyResult:
        """End a batch job; the same again changes nothing."""
        batch_job = self.batch_jobs.get(command.batch_job)
        if batch_job is None:
            return Refused(f"there is no batch job {command.batch_job}")
        batch_job.is_ended = True
        if batch_job.owner is not None:
            self._note_change(batch_job.owner, index)
        return Done()

    def assign(self, command: AssignBatchJobs, index: LogIndex) -> AnyResult:
        """Give open batch jobs to other entry processes."""
        for name, owner in command.owners.items():
            batch_job = self.batch_jobs.get(name)
            if batch_job is None or not batch_job.is_open:
                continue
            if batch_job.owner is not None:
                self._note_change(batch_job.owner, index)
            batch_job.owner = owner
            batch_job.changed_at = index
            self._note_change(owner, index)
        return Done()

    def raise_least_version(
        self, name: BatchJobId, version: WeightVersion, index: LogIndex
    ) -> None:
        """Allow only newer weights from now on."""
        batch_job = self.batch_jobs[name]
        if version > batch_job.spec.least_version:
            batch_job.spec = msgspec.structs.replace(
                batch_job.spec, least_version=version
            )
            self._note_change_of(batch_job, index)

    def drop_stale(
        self, name: BatchJobId, index: LogIndex, kept: Collection[ItemId] = ()
    ) -> set[ItemId]:
        """Drop the results that are too old by now, so that they are made again.

        Parameters
        ----------
        name : BatchJobId
            The batch job.
        index : LogIndex
            Log index of the command.
        kept : collection of ItemId
            Items whose results stay, however old.

        Returns
        -------
        set of ItemId
            Items that have no result any more.
        """
        batch_job = self.batch_jobs[name]
        least = batch_job.spec.least_version
        stale = {each.item for each in batch_job.results if not each.is_fresh(least)}
        stale.difference_update(kept)
        if stale:
            batch_job.results = [
                each for each in batch_job.results if each.item not in stale
            ]
            batch_job.listed -= stale
            self._note_change_of(batch_job, index)
        return stale

    def empty_results(self, name: BatchJobId, items: set[ItemId]) -> None:
        """Give back the space of results that nobody will read again."""
        batch_job = self.batch_jobs[name]
        batch_job.results = [
            ItemResult(each.item, each.state) if each.item in items else each
            for each in batch_job.results
        ]

    def drop(self, name: BatchJobId, index: LogIndex) -> None:
        """Forget a batch job that nobody will read again."""
        batch_job = self.batch_jobs.pop(name)
        if batch_job.owner is not None:
            self._note_change(batch_job.owner, index)

    def open_jobs_owned_by(self, boot: BootId) -> list[BatchJob]:
        """Return the open batch jobs that an entry process runs."""
        return [
            each
            for each in self.batch_jobs.values()
            if each.owner == boot and each.is_open
        ]

    def open_job_owners(self) -> set[BootId]:
        """Return the entry processes that run an open batch job."""
        return {
            each.owner
            for each in self.batch_jobs.values()
            if each.is_open and each.owner is not None
        }

    def _note_change_of(self, batch_job: BatchJob, index: LogIndex) -> None:
        batch_job.changed_at = index
        if batch_job.owner is not None:
            self._note_change(batch_job.owner, index)

    def _note_change(self, owner: BootId, index: LogIndex) -> None:
        # An entry that stood still meanwhile must learn of it, however late.
        self.changed_at.pop(owner, None)
        self.changed_at[owner] = index
        while len(self.changed_at) > MOST_CHANGES:
            del self.changed_at[next(iter(self.changed_at))]

    def _carried(self, spec: BatchJobSpec) -> list[ItemResult]:
        """Return results of earlier jobs that this job's versions allow."""
        asked = {each.item: each for each in spec.items}
        carried: dict[ItemId, ItemResult] = {}
        for earlier in self.batch_jobs.values():
            if earlier.spec.model != spec.model:
                continue
            for result in earlier.results:
                item = asked.get(result.item)
                if item is None or not _is_usable(result, spec):
                    continue
                before = earlier.find_item(result.item)
                if before is not None and before.body == item.body:
                    carried[result.item] = result
        return list(carried.values())

    def _drop_old(self, at_ms: int) -> None:
        old = [
            name
            for name, each in self.batch_jobs.items()
            if not each.is_open and each.kept_until_ms < at_ms
        ]
        for name in old:
            del self.batch_jobs[name]


def _is_usable(result: ItemResult, spec: BatchJobSpec) -> bool:
    if result.state is not ItemState.COMPLETED or not result.versions:
        return False
    if spec.is_single_version and len(result.versions) != 1:
        return False
    return min(result.versions) >= spec.least_version
