"""Commands of rollout jobs: steps, versions and batches."""

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
    """What a trainer asks of a rollout job.

    Attributes
    ----------
    group_size : int
        Samples generated for each prompt.
    batch_groups : int
        Whole groups in a batch.
    staleness_bound : int
        Versions by which a sample may be older than the trainer's.
    scorer : ServiceName or None
        Plain service that scores samples.
    """

    name: JobName
    service: ServiceName
    group_size: int
    batch_groups: int
    staleness_bound: int
    max_tokens: int
    scorer: ServiceName | None = None


class CreateJob(Command, frozen=True):
    """Creates a job."""

    settings: JobSettings


class SetTrainerVersion(Command, frozen=True):
    """Tells the version that a job's trainer has reached."""

    job: JobName
    version: WeightVersion


class SubmitStep(Command, frozen=True):
    """Adds a step of prompts to a job; each prompt gets one group.

    Attributes
    ----------
    owner : BootId
        Entry process that is to run it.
    """

    job: JobName
    step: StepNumber
    prompts: list[str]
    owner: BootId


class PullBatch(Command, frozen=True):
    """Asks for a numbered batch, which acknowledges the one before it."""

    job: JobName
    number: BatchNumber


class Batch(msgspec.Struct):
    """A sealed batch of whole groups of one step.

    Attributes
    ----------
    seal : int
        Log index at which the batch was sealed.
    """

    number: BatchNumber
    step: StepNumber
    groups: list[GroupIndex]
    seal: int


class SealedSample(msgspec.Struct, frozen=True):
    """One sample of a sealed batch."""

    group: GroupIndex
    position: int
    result: ItemResult


class BatchSealed(CommandResult, frozen=True):
    """The batch and its samples, and the version at which it was checked."""

    batch: Batch
    samples: list[SealedSample]
    trainer_version: WeightVersion


class BatchNotReady(CommandResult, frozen=True):
    """Too few groups are whole."""

    whole_groups: int
    needed_groups: int
