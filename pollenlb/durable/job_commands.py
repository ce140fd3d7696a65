"""Commands of rollout jobs: steps, samples, batches, bodies."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import (
    BatchNumber,
    BodyDigest,
    BootId,
    GroupIndex,
    JobName,
    ServiceName,
    StepNumber,
    WeightVersion,
)
from .command import Command, CommandResult
from .key_commands import BodyHolder

_NEWEST_VERSION = WeightVersion(2**62)


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
    """Adds a step of prompts to a job."""

    job: JobName
    step: StepNumber
    group_count: int
    prompts: BodyDigest
    holders: list[BodyHolder]


class ClaimGroups(Command, frozen=True):
    """Asks for samples of a job to generate.

    Attributes
    ----------
    most : int
        Greatest number of samples.
    """

    job: JobName
    holder: BodyHolder
    most: int


class ClaimedGroup(msgspec.Struct, frozen=True):
    """Samples of a group to generate.

    Attributes
    ----------
    missing : list of int
        Positions of the samples that are claimed.
    """

    step: StepNumber
    group: GroupIndex
    missing: list[int]
    prompts: BodyDigest
    prompt_holders: list[BodyHolder]


class GroupsClaimed(CommandResult, frozen=True):
    """Samples that the claimant should generate; empty when none is open."""

    groups: list[ClaimedGroup]


class Span(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of a sample that one weight version produced.

    Attributes
    ----------
    first, last : int
        Positions of the first and last token, from 0.
    """

    version: WeightVersion
    first: int
    last: int


class SampleRecord(msgspec.Struct, frozen=True):
    """A generated sample, without its body."""

    job: JobName
    step: StepNumber
    group: GroupIndex
    position: int
    body: BodyDigest
    spans: list[Span]
    holders: list[BodyHolder]

    @property
    def oldest_version(self) -> WeightVersion:
        """Oldest version that produced a token; the newest there is without any."""
        versions = (span.version for span in self.spans)
        return min(versions, default=_NEWEST_VERSION)


class CommitSamples(Command, frozen=True):
    """Enters samples in their slots; the first one for a slot wins."""

    samples: list[SampleRecord]


class SampleFate(Enum):
    """What became of a sample that was to be committed."""

    ACCEPTED = "accepted"
    LOST = "lost"
    STALE = "stale"


class SamplesCommitted(CommandResult, frozen=True):
    """Fates of the samples, in the order they were given."""

    fates: list[SampleFate]


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


class BatchSealed(CommandResult, frozen=True):
    """The batch and its samples, and the version at which it was checked."""

    batch: Batch
    samples: list[SampleRecord]
    trainer_version: WeightVersion
    prompts: BodyDigest
    prompt_holders: list[BodyHolder]


class BatchNotReady(CommandResult, frozen=True):
    """Too few groups are whole."""

    whole_groups: int
    needed_groups: int


class LoseHolders(Command, frozen=True):
    """Tells that entry processes ended or cannot be reached."""

    boots: list[BootId]


class ReportMissing(Command, frozen=True):
    """Tells that an entry process does not hold a body it should hold."""

    job: JobName
    body: BodyDigest
    boot: BootId
