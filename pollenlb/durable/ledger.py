"""Ledger of rollout jobs: which sample fills which slot, once."""

from __future__ import annotations

import msgspec

from ..ids import (
    BatchNumber,
    BodyDigest,
    BootId,
    GroupIndex,
    JobName,
    StepNumber,
)
from .command import Done, Refused
from .commands import AnyResult
from .job import Group, Job, Step
from .job_commands import (
    Batch,
    BatchNotReady,
    BatchSealed,
    ClaimedGroup,
    ClaimGroups,
    CommitSamples,
    CreateJob,
    GroupsClaimed,
    PullBatch,
    ReportMissing,
    SampleFate,
    SampleRecord,
    SamplesCommitted,
    SetTrainerVersion,
    SubmitStep,
)
from .key_commands import BodyHolder


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

    def set_trainer_version(self, command: SetTrainerVersion) -> AnyResult:
        """Raise the trainer's version."""
        job = self.jobs.get(command.job)
        if job is None:
            return _no_job(command.job)
        if command.version < job.trainer_version:
            return Refused(f"the trainer has reached version {job.trainer_version}")
        job.trainer_version = command.version
        return Done()

    def submit(self, command: SubmitStep, at_ms: int) -> AnyResult:
        """Add a step; the same prompts again add holders only."""
        job = self.jobs.get(command.job)
        if job is None:
            return _no_job(command.job)
        known = job.steps.get(command.step)
        if known is not None:
            return _submit_again(known, command)
        if command.step < job.next_step:
            return Refused(f"step {command.step} ended; the next is {job.next_step}")
        size = job.settings.group_size
        groups = {
            GroupIndex(index): Group([None] * size, [None] * size)
            for index in range(command.group_count)
        }
        job.steps[command.step] = Step(
            at_ms, command.prompts, list(command.holders), groups
        )
        job.next_step = StepNumber(command.step + 1)
        return Done()

    def claim(self, command: ClaimGroups) -> AnyResult:
        """Hand out open samples, oldest step first."""
        job = self.jobs.get(command.job)
        if job is None:
            return _no_job(command.job)
        claimed: list[ClaimedGroup] = []
        left = command.most
        for number, step in job.steps.items():
            for index, group in step.groups.items():
                if left <= 0:
                    return GroupsClaimed(claimed)
                positions = group.claim(command.holder, left)
                if positions:
                    left -= len(positions)
                    claimed.append(_claimed(number, step, index, positions))
        return GroupsClaimed(claimed)

    def commit(self, command: CommitSamples) -> AnyResult:
        """Enter samples; the first for a slot wins, stale ones are refused."""
        return SamplesCommitted([self._commit_one(each) for each in command.samples])

    def pull(self, command: PullBatch, index: int) -> AnyResult:
        """Return a batch, sealing it if it is the next one.

        Parameters
        ----------
        command : PullBatch
            Asks for batch k, which acknowledges batch k - 1.
        index : int
            Log index of the command.
        """
        job = self.jobs.get(command.job)
        if job is None:
            return _no_job(command.job)
        if job.batch is not None and command.number == job.batch.number + 1:
            _acknowledge(job)
        if command.number != job.acknowledged + 1:
            return Refused(
                f"batch {command.number} cannot be asked for; "
                f"the next is {job.acknowledged + 1}"
            )
        _reopen_stale(job)
        if job.batch is None:
            return _seal(job, command.number, index)
        return _sealed(job, job.batch)

    def lose_holders(self, boots: set[BootId]) -> None:
        """Drop ended processes as holders and claimants."""
        for job in self.jobs.values():
            for step in job.steps.values():
                step.prompt_holders = _without(step.prompt_holders, boots)
                for group in step.groups.values():
                    group.drop_claims(boots)
            _drop_bodies(job, None, boots)

    def report_missing(self, command: ReportMissing) -> AnyResult:
        """Drop a process as holder of one body."""
        job = self.jobs.get(command.job)
        if job is None:
            return _no_job(command.job)
        for step in job.steps.values():
            if step.prompts == command.body:
                step.prompt_holders = _without(step.prompt_holders, {command.boot})
        _drop_bodies(job, command.body, {command.boot})
        return Done()

    def boots(self) -> set[BootId]:
        """Return the processes that holders and claims name."""
        found: set[BootId] = set()
        for job in self.jobs.values():
            for step in job.steps.values():
                found.update(holder.boot for holder in step.prompt_holders)
                for group in step.groups.values():
                    found.update(_group_boots(group))
        return found

    def _commit_one(self, sample: SampleRecord) -> SampleFate:
        job = self.jobs.get(sample.job)
        step = job.steps.get(sample.step) if job else None
        group = step.groups.get(sample.group) if step else None
        if job is None or group is None or group.samples[sample.position] is not None:
            return SampleFate.LOST
        if not job.is_fresh(sample):
            job.wasted += 1
            return SampleFate.STALE
        group.samples[sample.position] = sample
        job.accepted += 1
        return SampleFate.ACCEPTED


def _no_job(name: JobName) -> Refused:
    return Refused(f"there is no job {name}")


def _submit_again(known: Step, command: SubmitStep) -> AnyResult:
    if known.prompts != command.prompts:
        return Refused(f"step {command.step} was submitted with other prompts")
    _add_holders(known.prompt_holders, command.holders)
    return Done()


def _add_holders(holders: list[BodyHolder], added: list[BodyHolder]) -> None:
    holders.extend(holder for holder in added if holder not in holders)


def _claimed(
    number: StepNumber, step: Step, index: GroupIndex, positions: list[int]
) -> ClaimedGroup:
    return ClaimedGroup(
        number, index, positions, step.prompts, list(step.prompt_holders)
    )


def _acknowledge(job: Job) -> None:
    batch = job.batch
    assert batch is not None
    step = job.steps[batch.step]
    for index in batch.groups:
        job.delivered += len(step.groups.pop(index).samples)
    if not step.groups:
        del job.steps[batch.step]
    job.acknowledged = batch.number
    job.batch = None


def _reopen_stale(job: Job) -> None:
    for step in job.steps.values():
        for group in step.groups.values():
            for position, sample in enumerate(group.samples):
                if sample is not None and not job.is_fresh(sample):
                    _reopen(job, group, position)
                    job.wasted += 1


def _reopen(job: Job, group: Group, position: int) -> None:
    if job.batch is not None and group.batch == job.batch.number:
        _unseal(job)
    group.reopen(position)


def _unseal(job: Job) -> None:
    batch = job.batch
    assert batch is not None
    for index in batch.groups:
        job.steps[batch.step].groups[index].batch = None
    job.batch = None


def _seal(job: Job, number: BatchNumber, index: int) -> AnyResult:
    for step_number, step in job.steps.items():
        whole = [at for at, group in step.groups.items() if None not in group.samples]
        needed = min(job.settings.batch_groups, len(step.groups))
        if len(whole) < needed:
            return BatchNotReady(len(whole), needed)
        batch = Batch(number, step_number, whole[:needed], index)
        for at in batch.groups:
            step.groups[at].batch = number
        job.batch = batch
        return _sealed(job, batch)
    return BatchNotReady(0, job.settings.batch_groups)


def _sealed(job: Job, batch: Batch) -> BatchSealed:
    step = job.steps[batch.step]
    samples = [
        sample
        for at in batch.groups
        for sample in step.groups[at].samples
        if sample is not None
    ]
    return BatchSealed(
        batch, samples, job.trainer_version, step.prompts, list(step.prompt_holders)
    )


def _drop_bodies(job: Job, body: BodyDigest | None, boots: set[BootId]) -> None:
    for step in job.steps.values():
        for group in step.groups.values():
            for position, sample in enumerate(group.samples):
                if sample is None or body not in (None, sample.body):
                    continue
                kept = _without(sample.holders, boots)
                if not kept:
                    _reopen(job, group, position)
                elif len(kept) < len(sample.holders):
                    sample.holders[:] = kept


def _without(holders: list[BodyHolder], boots: set[BootId]) -> list[BodyHolder]:
    return [holder for holder in holders if holder.boot not in boots]


def _group_boots(group: Group) -> set[BootId]:
    found = {
        holder.boot
        for sample in group.samples
        if sample is not None
        for holder in sample.holders
    }
    found.update(
        claimant.boot
        for claimant, sample in zip(group.claimants, group.samples)
        if claimant is not None and sample is None
    )
    return found
