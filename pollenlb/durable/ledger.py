"""Ledger of rollout jobs: assigns each sample to at most one batch of its trainer.

The samples themselves are items of batch jobs, one batch job per step.
"""

from __future__ import annotations

import msgspec

from ..ids import (
    BatchNumber,
    FormatVersion,
    GroupIndex,
    ItemId,
    JobName,
    LogIndex,
    StepNumber,
)
from ..release import THIS_RELEASE
from .batch_job_commands import ItemResult, ItemsCommitted, SampleSlot, SubmitBatchJob
from .batch_jobs import BatchJob, BatchJobTable
from .command_base import Done, Refused
from .commands import AnyResult
from .job import Job, Step
from .job_commands import (
    Batch,
    BatchNotReady,
    BatchSealed,
    CreateJob,
    PullBatch,
    SealedSample,
    SetTrainerVersion,
    SubmitStep,
)


class Ledger(msgspec.Struct):
    """Replicated table of all rollout jobs.

    Attributes
    ----------
    jobs : dict
        Rollout job by name.
    """

    jobs: dict[JobName, Job] = {}

    def create(self, command: CreateJob) -> AnyResult:
        """Create a job; a repeat with the same settings has no effect."""
        existing = self.jobs.get(command.settings.name)
        if existing is None:
            self.jobs[command.settings.name] = Job(command.settings)
            return Done()
        if existing.settings == command.settings:
            return Done()
        return Refused(
            f"cannot create job {command.settings.name}: "
            "it already exists with other settings"
        )

    def set_trainer_version(
        self, command: SetTrainerVersion, batch_jobs: BatchJobTable, index: LogIndex
    ) -> AnyResult:
        """Raise the trainer's weight version and drop samples that are now too old.

        Samples of a sealed batch are retained until that batch is requested
        again, since the trainer may have counted it already.

        Parameters
        ----------
        command : SetTrainerVersion
            Names the job and the version, which must not be lower than before.
        batch_jobs : BatchJobTable
            Holds the samples.
        index : LogIndex
            Log index of the command.
        """
        job = self.jobs.get(command.job)
        if job is None:
            return _unknown_job(command.job)
        if command.version < job.trainer_version:
            return Refused(
                f"cannot set the trainer version of job {command.job} to "
                f"{command.version}: the trainer has already reached version "
                f"{job.trainer_version}"
            )
        job.trainer_version = command.version
        for step_number, step in job.steps.items():
            batch_jobs.raise_min_version(step.batch_job, job.min_version, index)
            sealed = _items_in_sealed_batch(job, step_number)
            job.wasted += len(
                batch_jobs.drop_stale_results(step.batch_job, index, sealed)
            )
        return Done()

    def submit(
        self,
        command: SubmitStep,
        batch_jobs: BatchJobTable,
        index: LogIndex,
        at_ms: int,
        log_format: FormatVersion = THIS_RELEASE.reads,
    ) -> AnyResult:
        """Add a step to a job; a repeat with the same prompts has no effect.

        Parameters
        ----------
        command : SubmitStep
            Step, its prompts and the entry process that is to run it.
        batch_jobs : BatchJobTable
            Receives the batch job that generates the step's samples.
        index : LogIndex
            Log index of the command.
        at_ms : int
            Wall time of the leader, milliseconds since the epoch.
        log_format : FormatVersion
            Format that determines the effect of the submission.
        """
        job = self.jobs.get(command.job)
        if job is None:
            return _unknown_job(command.job)
        existing = job.steps.get(command.step)
        if existing is not None:
            return _check_resubmission(
                batch_jobs.batch_jobs[existing.batch_job], job, command
            )
        if command.step < job.next_step:
            return Refused(
                f"cannot submit step {command.step} of job {command.job}: "
                f"it has ended, a new step must be {job.next_step} or higher"
            )
        spec = job.batch_job_spec(command)
        submission = SubmitBatchJob(spec, command.owner)
        batch_jobs.submit(submission, index, at_ms, log_format)
        groups = [GroupIndex(number) for number in range(len(command.prompts))]
        job.steps[command.step] = Step(at_ms, spec.batch_job, groups)
        job.next_step = StepNumber(command.step + 1)
        return Done()

    def record_commit(self, name: JobName, committed: ItemsCommitted) -> None:
        """Count the committed samples of a job and those rejected as too old."""
        job = self.jobs[name]
        job.accepted += committed.entered
        job.wasted += committed.stale

    def pull(
        self, command: PullBatch, batch_jobs: BatchJobTable, index: LogIndex
    ) -> AnyResult:
        """Return a batch, sealing it first if it is not sealed yet.

        Parameters
        ----------
        command : PullBatch
            Requests batch k, which acknowledges batch k - 1.
        batch_jobs : BatchJobTable
            Holds the samples.
        index : LogIndex
            Log index of the command.
        """
        job = self.jobs.get(command.job)
        if job is None:
            return _unknown_job(command.job)
        if job.batch is not None and command.number == job.batch.number + 1:
            _acknowledge(job, job.batch, batch_jobs, index)
        if command.number != job.acknowledged + 1:
            return Refused(
                f"cannot pull batch {command.number} of job {command.job}: "
                f"the next batch is {job.acknowledged + 1}"
            )
        if job.batch is not None:
            _unseal_if_stale(job, job.batch, batch_jobs, index)
        if job.batch is None:
            return _seal(job, command.number, batch_jobs, index)
        return _sealed_result(job, job.batch, batch_jobs)


def _unknown_job(name: JobName) -> Refused:
    return Refused(f"job {name} does not exist")


def _check_resubmission(existing: BatchJob, job: Job, command: SubmitStep) -> AnyResult:
    """Accept a step that was submitted before if its prompts are the same."""
    if [item.body for item in existing.spec.items] != [
        item.body for item in job.batch_job_spec(command).items
    ]:
        return Refused(
            f"step {command.step} of job {command.job} was already submitted "
            "with other prompts"
        )
    return Done()


def _items_in_sealed_batch(job: Job, step: StepNumber) -> set[ItemId]:
    """Return the items of a step that are part of the sealed batch."""
    batch = job.batch
    if batch is None or batch.step != step:
        return set()
    return job.item_ids(step, batch.groups)


def _unseal_if_stale(
    job: Job, batch: Batch, batch_jobs: BatchJobTable, index: LogIndex
) -> None:
    """Drop samples of a sealed batch that are too old; if any were, unseal it."""
    stale = batch_jobs.drop_stale_results(job.steps[batch.step].batch_job, index)
    job.wasted += len(stale)
    if stale:
        job.batch = None


def _acknowledge(
    job: Job, batch: Batch, batch_jobs: BatchJobTable, index: LogIndex
) -> None:
    """Count a batch as delivered and free the results of its samples."""
    step = job.steps[batch.step]
    step.groups = [group for group in step.groups if group not in batch.groups]
    items = job.item_ids(batch.step, batch.groups)
    job.delivered += len(items)
    if step.groups:
        batch_jobs.discard_contents(step.batch_job, items)
    else:
        batch_jobs.remove(step.batch_job, index)
        del job.steps[batch.step]
    job.acknowledged = batch.number
    job.batch = None


def _seal(
    job: Job, number: BatchNumber, batch_jobs: BatchJobTable, index: LogIndex
) -> AnyResult:
    """Seal a batch from the complete groups of the oldest open step, if they suffice.

    The last batch of a step may have fewer groups than the job's settings say.
    """
    for step_number, step in job.steps.items():
        committed_items = batch_jobs.batch_jobs[step.batch_job].listed
        complete_groups = [
            group
            for group in step.groups
            if job.item_ids(step_number, [group]) <= committed_items
        ]
        needed_count = min(job.settings.batch_groups, len(step.groups))
        if len(complete_groups) < needed_count:
            return BatchNotReady(len(complete_groups), needed_count)
        job.batch = Batch(number, step_number, complete_groups[:needed_count], index)
        return _sealed_result(job, job.batch, batch_jobs)
    return BatchNotReady(0, job.settings.batch_groups)


def _sealed_result(job: Job, batch: Batch, batch_jobs: BatchJobTable) -> AnyResult:
    """Return the answer to a pull: the sealed batch with its samples."""
    step = job.steps[batch.step]
    results: dict[ItemId, ItemResult] = {
        result.item: result for result in batch_jobs.batch_jobs[step.batch_job].results
    }
    samples = []
    for group in batch.groups:
        for position in range(job.settings.group_size):
            slot = SampleSlot(job.settings.name, batch.step, group, position)
            samples.append(SealedSample(group, position, results[slot.item]))
    return BatchSealed(batch, samples, job.trainer_version)
