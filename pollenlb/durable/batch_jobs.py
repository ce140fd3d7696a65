"""Replicated table of batch jobs: items, results in fixed positions, and owners."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from ..ids import (
    BatchJobId,
    BootId,
    FormatVersion,
    InWorkspace,
    ItemId,
    LogIndex,
    ModelName,
    WeightVersion,
)
from ..release import FAILED_RUNS_CARRIED, THIS_RELEASE, WORKSPACES_APART
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
    SavedOutput,
    SaveOutputs,
    SubmitBatchJob,
)
from .command_base import Done, Refused
from .commands import AnyResult

# Added to the retention time of a batch job, since the wall clocks of leaders may
# jump by some seconds.
RETENTION_MARGIN_MS = 30_000
# Entry processes for which the table records when their work last changed.
MAX_TRACKED_OWNER_COUNT = 2_000


class BatchJob(msgspec.Struct):
    """State of one batch job.

    Attributes
    ----------
    spec : BatchJobSpec
        Items and the requirements for running them.
    at_ms : int
        Wall time of the submission, milliseconds since the epoch.
    owner : BootId or None
        Entry process that runs it.
    results : list of ItemResult
        Results in the order in which they were first committed; readers
        address a result by its position.
    listed : set of ItemId
        Items that have a result.
    is_ended : bool
        Whether it was ended, so that none of its items needs to run any more.
    changed_at : LogIndex
        Log index of the last command that changed what its owner has to run.
    saved : dict
        Saved output of items without a result, by item.
    failed_runs : dict
        Number of runs that engines ended with an error, by item that is not completed.
        A later batch job of the item counts on from there.
    digests : dict
        Digest of the request of each item with a result, whose request is not
        retained; empty for a step of a rollout job, whose results may be dropped.
    """

    spec: BatchJobSpec
    at_ms: int
    owner: BootId | None
    results: list[ItemResult] = []
    listed: set[ItemId] = set()
    is_ended: bool = False
    changed_at: LogIndex = LogIndex(0)
    saved: dict[ItemId, SavedOutput] = {}
    failed_runs: dict[ItemId, int] = {}
    digests: dict[ItemId, bytes] = {}

    @property
    def is_open(self) -> bool:
        """Whether it is not ended and has items without a result."""
        return not self.is_ended and len(self.results) < len(self.spec.items)

    @property
    def open_item_count(self) -> int:
        """Number of items without a result."""
        return len(self.spec.items) - len(self.results)

    @property
    def retained_until_ms(self) -> float:
        """Wall time until which results can be read, milliseconds since the epoch."""
        return self.at_ms + 1000 * self.spec.kept_s + RETENTION_MARGIN_MS

    def capture(self) -> BatchJob:
        """Return a copy that later commands do not change; its contents are shared."""
        return msgspec.structs.replace(
            self,
            results=list(self.results),
            listed=set(self.listed),
            saved=dict(self.saved),
            failed_runs=dict(self.failed_runs),
            digests=dict(self.digests),
        )

    def discard_requests(self) -> None:
        """Keep only a digest of the request of each item that has a result.

        The items of a step are retained: results that are too old are dropped.
        """
        if self.spec.sample is not None:
            return
        items = []
        for item in self.spec.items:
            if item.item in self.listed and item.item not in self.digests:
                self.digests[item.item] = item.digest
                item = item.without_request()
            items.append(item)
        self.spec = msgspec.structs.replace(self.spec, items=items)

    def has_same_work(self, item: BatchItem) -> bool:
        """Return whether an item of this id here has the same body and reward call."""
        own = self.find_item(item.item)
        if own is None:
            return False
        return (self.digests.get(item.item) or own.digest) == item.digest

    def find_item(self, item: ItemId) -> BatchItem | None:
        """Return the request of an item, or None when the job has no such item."""
        for batch_item in self.spec.items:
            if batch_item.item == item:
                return batch_item
        return None


class BatchJobTable(msgspec.Struct):
    """Batch jobs by id, oldest first.

    Attributes
    ----------
    batch_jobs : dict
        Batch job by id.
    changed_at : dict
        Log index of the last command that changed what an entry process has to
        run, by its boot id, least recently changed first.
    """

    batch_jobs: dict[BatchJobId, BatchJob] = {}
    changed_at: dict[BootId, LogIndex] = {}

    def submit(
        self,
        command: SubmitBatchJob,
        index: LogIndex,
        at_ms: int,
        log_format: FormatVersion = THIS_RELEASE.reads,
    ) -> AnyResult:
        """Add a batch job, unless its id is known.

        Items that an earlier batch job of the workspace has already run get that
        result at once, if the new job accepts it. Output that was saved of the others
        goes with them.

        Parameters
        ----------
        command : SubmitBatchJob
            The batch job and the entry process that is to run it.
        index : LogIndex
            Log index of the command.
        at_ms : int
            Wall time of the leader, milliseconds since the epoch.
        log_format : FormatVersion
            Format that determines the effect of the submission.
        """
        spec = command.spec
        existing = self.batch_jobs.get(spec.batch_job)
        if existing is not None:
            return BatchJobAccepted(existing.owner)
        self._remove_expired(at_ms)
        batch_job = BatchJob(spec, at_ms, command.owner, changed_at=index)
        related = self._related_jobs(spec, log_format)
        for result in _find_reusable_results(related, spec):
            batch_job.results.append(result)
            batch_job.listed.add(result.item)
        batch_job.discard_requests()
        _move_saved_outputs(related, batch_job)
        if log_format >= FAILED_RUNS_CARRIED:
            _carry_failed_runs(related, batch_job)
        self.batch_jobs[spec.batch_job] = batch_job
        self._record_owner_change(command.owner, index)
        return BatchJobAccepted(command.owner)

    def commit(
        self,
        command: CommitItems,
        index: LogIndex,
        log_format: FormatVersion = THIS_RELEASE.reads,
    ) -> AnyResult:
        """Store results of items that have none yet; reject those of stale weights.

        Parameters
        ----------
        command : CommitItems
            The batch job and the results.
        index : LogIndex
            Log index of the command.
        log_format : FormatVersion
            Format that determines the effect of the commit.
        """
        batch_job = self.batch_jobs.get(command.batch_job)
        if batch_job is None:
            return Refused(
                f"cannot commit items: batch job {command.batch_job} does not exist"
            )
        known_items = {item.item for item in batch_job.spec.items}
        stale_count = 0
        count_before = len(batch_job.listed)
        for result in command.results:
            if result.item not in known_items or result.item in batch_job.listed:
                continue
            if not result.is_fresh(batch_job.spec.least_version):
                stale_count += 1
                continue
            batch_job.results.append(result)
            batch_job.listed.add(result.item)
            batch_job.saved.pop(result.item, None)
            failed_runs = batch_job.failed_runs.pop(result.item, 0)
            failed_runs = max(failed_runs, result.failed_runs)
            is_abandoned = result.state is ItemState.EXPIRED
            if log_format >= FAILED_RUNS_CARRIED and is_abandoned and failed_runs:
                batch_job.failed_runs[result.item] = failed_runs
        batch_job.discard_requests()
        if not batch_job.is_open and batch_job.owner is not None:
            self._record_owner_change(batch_job.owner, index)
        return ItemsCommitted(len(batch_job.listed) - count_before, stale_count)

    def save_outputs(self, command: SaveOutputs) -> AnyResult:
        """Store outputs of items without a result, if their owner has not changed.

        A former owner must not replace what the present one has saved.
        """
        batch_job = self.batch_jobs.get(command.batch_job)
        if batch_job is None or batch_job.owner != command.owner:
            return Refused(
                f"cannot save outputs: {command.owner} does not run batch job "
                f"{command.batch_job}"
            )
        if batch_job.is_open:
            open_items = {item.item for item in batch_job.spec.items} - batch_job.listed
            for output in command.outputs:
                if output.item in open_items:
                    batch_job.saved[output.item] = output
            for item in command.failed_runs.keys() & open_items:
                batch_job.failed_runs[item] = command.failed_runs[item]
        return Done()

    def end(self, command: EndBatchJob, index: LogIndex) -> AnyResult:
        """End a batch job; a repeat has no effect."""
        batch_job = self.batch_jobs.get(command.batch_job)
        if batch_job is None:
            return Refused(
                f"cannot end batch job {command.batch_job}: it does not exist"
            )
        batch_job.is_ended = True
        if batch_job.owner is not None:
            self._record_owner_change(batch_job.owner, index)
        return Done()

    def assign(self, command: AssignBatchJobs, index: LogIndex) -> AnyResult:
        """Assign open batch jobs to other entry processes; skip closed ones."""
        for name, owner in command.owners.items():
            batch_job = self.batch_jobs.get(name)
            if batch_job is None or not batch_job.is_open:
                continue
            if batch_job.owner is not None:
                self._record_owner_change(batch_job.owner, index)
            batch_job.owner = owner
            batch_job.changed_at = index
            self._record_owner_change(owner, index)
        return Done()

    def raise_min_version(
        self, name: BatchJobId, version: WeightVersion, index: LogIndex
    ) -> None:
        """Raise the oldest weight version that may generate items of a batch job."""
        batch_job = self.batch_jobs[name]
        if version > batch_job.spec.least_version:
            batch_job.spec = msgspec.structs.replace(
                batch_job.spec, least_version=version
            )
            self._record_job_change(batch_job, index)

    def drop_stale_results(
        self, name: BatchJobId, index: LogIndex, retained: Collection[ItemId] = ()
    ) -> set[ItemId]:
        """Drop results whose weights are now too old, so that their items run again.

        Parameters
        ----------
        name : BatchJobId
            The batch job.
        index : LogIndex
            Log index of the command.
        retained : collection of ItemId
            Items whose results are retained, however old.

        Returns
        -------
        set of ItemId
            Items whose results were dropped.
        """
        batch_job = self.batch_jobs[name]
        min_version = batch_job.spec.least_version
        stale = {
            result.item
            for result in batch_job.results
            if not result.is_fresh(min_version)
        }
        stale.difference_update(retained)
        if stale:
            batch_job.results = [
                result for result in batch_job.results if result.item not in stale
            ]
            batch_job.listed -= stale
            self._record_job_change(batch_job, index)
        return stale

    def discard_contents(self, name: BatchJobId, items: set[ItemId]) -> None:
        """Free the generated content of results that nobody will read again."""
        batch_job = self.batch_jobs[name]
        batch_job.results = [
            ItemResult(result.item, result.state) if result.item in items else result
            for result in batch_job.results
        ]

    def remove(self, name: BatchJobId, index: LogIndex) -> None:
        """Remove a batch job that nobody will read again."""
        batch_job = self.batch_jobs.pop(name)
        if batch_job.owner is not None:
            self._record_owner_change(batch_job.owner, index)

    def open_jobs_owned_by(self, boot: BootId) -> list[BatchJob]:
        """Return the open batch jobs that an entry process runs."""
        return [
            batch_job
            for batch_job in self.batch_jobs.values()
            if batch_job.owner == boot and batch_job.is_open
        ]

    def open_job_owners(self) -> set[BootId]:
        """Return the entry processes that run an open batch job."""
        return {
            batch_job.owner
            for batch_job in self.batch_jobs.values()
            if batch_job.is_open and batch_job.owner is not None
        }

    def _record_job_change(self, batch_job: BatchJob, index: LogIndex) -> None:
        batch_job.changed_at = index
        if batch_job.owner is not None:
            self._record_owner_change(batch_job.owner, index)

    def _record_owner_change(self, owner: BootId, index: LogIndex) -> None:
        # The record is retained after the job has another owner or is removed: an
        # entry process that was suspended must learn of the change when it resumes.
        self.changed_at.pop(owner, None)
        self.changed_at[owner] = index
        while len(self.changed_at) > MAX_TRACKED_OWNER_COUNT:
            del self.changed_at[next(iter(self.changed_at))]

    def _related_jobs(
        self, spec: BatchJobSpec, log_format: FormatVersion
    ) -> list[BatchJob]:
        """Return the batch jobs whose work a new one may take over, oldest first.

        They are of its model and of its workspace.
        """
        key = _work_key(spec, log_format)
        return [
            earlier
            for earlier in self.batch_jobs.values()
            if _work_key(earlier.spec, log_format) == key
        ]

    def _remove_expired(self, at_ms: int) -> None:
        expired = [
            name
            for name, batch_job in self.batch_jobs.items()
            if not batch_job.is_open and batch_job.retained_until_ms < at_ms
        ]
        for name in expired:
            del self.batch_jobs[name]


def _work_key(spec: BatchJobSpec, log_format: FormatVersion) -> InWorkspace[ModelName]:
    is_apart = log_format >= WORKSPACES_APART
    return InWorkspace(spec.workspace if is_apart else None, spec.model)


def _find_reusable_results(
    related: list[BatchJob], spec: BatchJobSpec
) -> list[ItemResult]:
    """Return results of related batch jobs that answer the same items.

    The body and the reward call of the item must be the same, and the weight versions
    must meet the new job's requirements.
    """
    requested = {item.item: item for item in spec.items}
    reusable: dict[ItemId, ItemResult] = {}
    for earlier in related:
        for result in earlier.results:
            item = requested.get(result.item)
            if item is None or not _is_reusable(result, spec):
                continue
            if earlier.has_same_work(item):
                reusable[result.item] = result
    return list(reusable.values())


def _move_saved_outputs(related: list[BatchJob], batch_job: BatchJob) -> None:
    """Move saved output of related batch jobs to the same items of a new one."""
    spec = batch_job.spec
    requested = {
        item.item: item for item in spec.items if item.item not in batch_job.listed
    }
    for earlier in related:
        for name in earlier.saved.keys() & requested.keys():
            earlier_item = earlier.find_item(name)
            if earlier_item is None or earlier_item.body != requested[name].body:
                continue
            output = earlier.saved.pop(name)
            if output.satisfies(spec):
                batch_job.saved[name] = output


def _carry_failed_runs(related: list[BatchJob], batch_job: BatchJob) -> None:
    """Let the failed runs of the same items in related batch jobs count on."""
    requested = {
        item.item: item
        for item in batch_job.spec.items
        if item.item not in batch_job.listed
    }
    for earlier in related:
        for name in earlier.failed_runs.keys() & requested.keys():
            if earlier.has_same_work(requested[name]):
                known = batch_job.failed_runs.get(name, 0)
                batch_job.failed_runs[name] = max(known, earlier.failed_runs[name])


def _is_reusable(result: ItemResult, spec: BatchJobSpec) -> bool:
    if result.state is not ItemState.COMPLETED or not result.versions:
        return False
    if spec.is_single_version and len(result.versions) != 1:
        return False
    return min(result.versions) >= spec.least_version
