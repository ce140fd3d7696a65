"""A rollout job: its open steps, their groups and samples."""

from __future__ import annotations

import msgspec

from ..ids import BatchNumber, BodyDigest, BootId, GroupIndex, StepNumber, WeightVersion
from .job_commands import Batch, JobSettings, SampleRecord
from .key_commands import BodyHolder


class Group(msgspec.Struct):
    """Samples of one prompt.

    Attributes
    ----------
    samples : list
        One record a position, None while it is missing.
    claimants : list
        Entry process that generates each missing sample, or None.
    """

    samples: list[SampleRecord | None]
    claimants: list[BodyHolder | None]
    batch: BatchNumber | None = None

    @property
    def open_positions(self) -> list[int]:
        """Positions whose sample is missing and that nobody generates."""
        return [
            at
            for at, sample in enumerate(self.samples)
            if sample is None and self.claimants[at] is None
        ]

    def claim(self, holder: BodyHolder, most: int) -> list[int]:
        """Let a process generate some open samples; return their positions."""
        positions = self.open_positions[:most]
        for at in positions:
            self.claimants[at] = holder
        return positions

    def drop_claims(self, boots: set[BootId]) -> None:
        """Open the samples that ended processes were to generate."""
        self.claimants = [
            None if each is not None and each.boot in boots else each
            for each in self.claimants
        ]

    def reopen(self, position: int) -> None:
        """Give up the sample at a position so that it is generated again."""
        self.samples[position] = None
        self.claimants[position] = None
        self.batch = None


class Step(msgspec.Struct):
    """Groups of a step that the trainer has not acknowledged.

    Attributes
    ----------
    at_ms : int
        Wall time of the submission, milliseconds since the epoch.
    """

    at_ms: int
    prompts: BodyDigest
    prompt_holders: list[BodyHolder]
    groups: dict[GroupIndex, Group]


class Job(msgspec.Struct):
    """One rollout job.

    Attributes
    ----------
    steps : dict
        Open steps by number, in the order they were submitted.
    next_step : StepNumber
        Least number that a new step may have.
    batch : Batch or None
        Sealed batch that is not acknowledged.
    acknowledged : BatchNumber
        Last batch that the trainer acknowledged.
    wasted : int
        Samples thrown away as too old.
    """

    settings: JobSettings
    trainer_version: WeightVersion = WeightVersion(0)
    steps: dict[StepNumber, Step] = {}
    next_step: StepNumber = StepNumber(0)
    batch: Batch | None = None
    acknowledged: BatchNumber = BatchNumber(0)
    accepted: int = 0
    wasted: int = 0
    delivered: int = 0

    def is_fresh(self, sample: SampleRecord) -> bool:
        """Whether a sample is within the staleness bound now."""
        age = self.trainer_version - sample.oldest_version
        return age <= self.settings.staleness_bound

    def open_samples(self) -> int:
        """Return the number of samples that nobody generates."""
        return sum(
            len(group.open_positions)
            for step in self.steps.values()
            for group in step.groups.values()
        )
