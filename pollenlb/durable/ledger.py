"""Ledger of rollout jobs: which samples a trainer gets in which batch, once.

The samples themselves are items of batch jobs, one batch job a step.
"""

from __future__ import annotations

import msgspec

from ..ids import BatchNumber, GroupIndex, ItemId, JobName, LogIndex, StepNumber
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
    """All rollout jobs by name."""

    jobs: dict[JobName, Job] = {}

    def create(self, command: CreateJob) -> AnyResult:
        """Create a job; the same settings again do nothing."""
        known = self.jobs.get(command.settings.name)
        if known is None:
            self.jobs[command.settings.name] = Job(command.settings)
            return Done()
        if known.settings == command.settings:
            return Done()
        return Refused(f"job {command.settings.name} exists with other settings")

    def set_trainer_version(
        self, command: SetTrainerVersion, batch_jobs: BatchJobTable, index: LogIndex
    ) -> AnyResult:
        """Raise the trainer's version; samples that are too old by now are dropped.

        Those of a sealed batch stay until it is asked for again: the trainer
        may have counted it already.
        """
        job = self.jobs.get(command.job)
        if job is None:
            return _no_job(command.job)
        if command.version < job.trainer_version:
            return Refused(f"the trainer has reached version {job.trainer_version}")
        job.trainer_version = command.version
        for number, step in job.steps.items():
            batch_jobs.raise_least_version(step.batch_job, job.least_version, index)
            sealed = _sealed_items(job, number)
            job.wasted += len(batch_jobs.drop_stale(step.batch_job, index, sealed))
        return Done()

    def submit(
        self,
        command: SubmitStep,
        batch_jobs: BatchJobTable,
        index: LogIndex,
        at_ms: int,
    ) -> AnyResult:
        """Add a step; the same prompts again do nothing."""
        job = self.jobs.get(command.job)
        if job is None:
            return _no_job(command.job)
        known = job.steps.get(command.step)
        if known is not None:
            return _submit_again(batch_jobs.batch_jobs[known.batch_job], job, command)
        if command.step < job.next_step:
            return Refused(f"step {command.step} ended; the next is {job.next_step}")
        spec = job.spec_of(command)
        batch_jobs.submit(SubmitBatchJob(spec, command.owner), index, at_ms)
        groups = [GroupIndex(at) for at in range(len(command.prompts))]
        job.steps[command.step] = Step(at_ms, spec.batch_job, groups)
        job.next_step = StepNumber(command.step + 1)
        return Done()

    def note_commit(self, name: JobName, committed: ItemsCommitted) -> None:
        """Count the samples that were entered and those that were too old."""
        job = self.jobs[name]
        job.accepted += committed.entered
        job.wasted += committed.stale

    def pull(
        self, command: PullBatch, batch_jobs: BatchJobTable, index: LogIndex
    ) -> AnyResult:
        """Return a batch, sealing it if it is the next one.

        Parameters
        ----------
        command : PullBatch
            Asks for batch k, which acknowledges batch k - 1.
        batch_jobs : BatchJobTable
            Holds the samples.
        index : LogIndex
            Log index of the command.
        """
        job = self.jobs.get(command.job)
        if job is None:
            return _no_job(command.job)
        if job.batch is not None and command.number == job.batch.number + 1:
            _acknowledge(job, job.batch, batch_jobs, index)
        if command.number != job.acknowledged + 1:
            return Refused(
                f"batch {command.number} cannot be asked for; "
                f"the next is {job.acknowledged + 1}"
            )
        if job.batch is not None:
            _unseal_stale(job, job.batch, batch_jobs, index)
        if job.batch is None:
            return _seal(job, command.number, batch_jobs, index)
        return _sealed(job, job.batch, batch_jobs)


def _no_job(name: JobName) -> Refused:
    return Refused(f"there is no job {name}")


def _submit_again(known: BatchJob, job: Job, command: SubmitStep) -> AnyResult:
    if [each.body for each in known.spec.items] != [
        each.body for each in job.spec_of(command).items
    ]:
        return Refused(f"step {command.step} was submitted with other prompts")
    return Done()


def _sealed_items(job: Job, step: StepNumber) -> set[ItemId]:
    """Return the items of a step that stand in the sealed batch."""
    batch = job.batch
    if batch is None or batch.step != step:
        return set()
    return job.items_of(step, batch.groups)


def _unseal_stale(
    job: Job, batch: Batch, batch_jobs: BatchJobTable, index: LogIndex
) -> None:
    """Give a sealed batch up when samples of it have grown too old."""
    stale = batch_jobs.drop_stale(job.steps[batch.step].batch_job, index)
    job.wasted += len(stale)
    if stale:
        job.batch = None


def _acknowledge(
    job: Job, batch: Batch, batch_jobs: BatchJobTable, index: LogIndex
) -> None:
    step = job.steps[batch.step]
    step.groups = [each for each in step.groups if each not in batch.groups]
    items = job.items_of(batch.step, batch.groups)
    job.delivered += len(items)
    if step.groups:
        batch_jobs.empty_results(step.batch_job, items)
    else:
        batch_jobs.drop(step.batch_job, index)
        del job.steps[batch.step]
    job.acknowledged = batch.number
    job.batch = None


def _seal(
    job: Job, number: BatchNumber, batch_jobs: BatchJobTable, index: LogIndex
) -> AnyResult:
    for step_number, step in job.steps.items():
        listed = batch_jobs.batch_jobs[step.batch_job].listed
        whole = [
            group
            for group in step.groups
            if job.items_of(step_number, [group]) <= listed
        ]
        needed = min(job.settings.batch_groups, len(step.groups))
        if len(whole) < needed:
            return BatchNotReady(len(whole), needed)
        job.batch = Batch(number, step_number, whole[:needed], index)
        return _sealed(job, job.batch, batch_jobs)
    return BatchNotReady(0, job.settings.batch_groups)


def _sealed(job: Job, batch: Batch, batch_jobs: BatchJobTable) -> AnyResult:
    step = job.steps[batch.step]
    results: dict[ItemId, ItemResult] = {
        each.item: each for each in batch_jobs.batch_jobs[step.batch_job].results
    }
    samples = []
    for group in batch.groups:
        for position in range(job.settings.group_size):
            slot = SampleSlot(job.settings.name, batch.step, group, position)
            samples.append(SealedSample(group, position, results[slot.item]))
    return BatchSealed(batch, samples, job.trainer_version)
