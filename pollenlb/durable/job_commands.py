"""Commands of rollout jobs: steps, trainer versions and batches."""

from __future__ import annotations

import msgspec

from ..ids import (
    BatchNumber,
    BootId,
    GroupIndex,
    JobName,
    ServiceName,
    StepNumber,
    WeightVersion,
)
from .batch_job_commands import ItemResult
from .command_base import Command, CommandResult


class JobSettings(msgspec.Struct, frozen=True):
    """Settings with which a trainer creates a rollout job.

    Attributes
    ----------
    name : JobName
        Name of the job.
    service : ServiceName
        Service whose engines generate the samples.
    group_size : int
        Number of samples generated for each prompt.
    batch_groups : int
        Number of complete groups in a batch.
    staleness_bound : int
        Number of versions by which the weights of a sample may be older than the
        trainer's.
    max_tokens : int
        Maximum number of output tokens of a sample.
    scorer : ServiceName or None
        Plain service that scores samples; None when they are not scored.
    """

    name: JobName
    service: ServiceName
    group_size: int
    batch_groups: int
    staleness_bound: int
    max_tokens: int
    scorer: ServiceName | None = None


class CreateJob(Command, frozen=True):
    """Creates a rollout job."""

    settings: JobSettings


class SetTrainerVersion(Command, frozen=True):
    """Reports the weight version that a job's trainer has reached."""

    job: JobName
    version: WeightVersion


class SubmitStep(Command, frozen=True):
    """Adds a step of prompts to a job; each prompt gets one group.

    Attributes
    ----------
    job : JobName
        The rollout job.
    step : StepNumber
        Number of the step.
    prompts : list of str
        Prompt of each group.
    owner : BootId
        Entry process that is to run the step.
    """

    job: JobName
    step: StepNumber
    prompts: list[str]
    owner: BootId


class PullBatch(Command, frozen=True):
    """Requests a numbered batch, which acknowledges the one before it."""

    job: JobName
    number: BatchNumber


class Batch(msgspec.Struct):
    """A sealed batch of complete groups of one step.

    Attributes
    ----------
    number : BatchNumber
        Number of the batch in its job, from 1.
    step : StepNumber
        Step that the groups belong to.
    groups : list of GroupIndex
        Groups in the batch.
    seal : int
        Log index at which the batch was sealed.
    """

    number: BatchNumber
    step: StepNumber
    groups: list[GroupIndex]
    seal: int


class SealedSample(msgspec.Struct, frozen=True):
    """One sample of a sealed batch.

    Attributes
    ----------
    group : GroupIndex
        Group of the sample.
    position : int
        Position of the sample in its group, from 0.
    result : ItemResult
        Generated sample.
    """

    group: GroupIndex
    position: int
    result: ItemResult


class BatchSealed(CommandResult, frozen=True):
    """The requested batch with its samples.

    Attributes
    ----------
    batch : Batch
        The batch.
    samples : list of SealedSample
        Samples of the batch, in order of groups and positions.
    trainer_version : WeightVersion
        Trainer version against which the staleness of the samples was checked.
    """

    batch: Batch
    samples: list[SealedSample]
    trainer_version: WeightVersion


class BatchNotReady(CommandResult, frozen=True):
    """Too few groups are complete for the next batch.

    Attributes
    ----------
    whole_groups : int
        Number of complete groups.
    needed_groups : int
        Number of complete groups that the batch needs.
    """

    whole_groups: int
    needed_groups: int
