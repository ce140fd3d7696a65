"""A rollout job: its open steps and the batch that its trainer counts next."""

from __future__ import annotations

import math
from collections.abc import Collection

import msgspec

from ..ids import (
    BatchJobId,
    BatchNumber,
    GroupIndex,
    GroupName,
    ItemId,
    ModelName,
    StepNumber,
    WeightVersion,
)
from .batch_job_commands import BatchItem, BatchJobSpec, SampleParameters, SampleSlot
from .job_commands import Batch, JobSettings, SubmitStep


class Step(msgspec.Struct):
    """Groups of a step that the trainer has not acknowledged.

    Attributes
    ----------
    at_ms : int
        Wall time of the submission, milliseconds since the epoch.
    batch_job : BatchJobId
        Batch job whose items are the step's samples.
    """

    at_ms: int
    batch_job: BatchJobId
    groups: list[GroupIndex]


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

    @property
    def least_version(self) -> WeightVersion:
        """Oldest weights that the staleness bound allows now."""
        oldest = self.trainer_version - self.settings.staleness_bound
        return WeightVersion(max(0, oldest))

    def items_of(self, step: StepNumber, groups: Collection[GroupIndex]) -> set[ItemId]:
        """Return the items of some groups."""
        return {
            SampleSlot(self.settings.name, step, group, position).item
            for group in groups
            for position in range(self.settings.group_size)
        }

    def spec_of(self, command: SubmitStep) -> BatchJobSpec:
        """Return the batch job that generates a step's samples."""
        settings = self.settings
        items = [
            BatchItem(
                item=SampleSlot(settings.name, command.step, group, position).item,
                path="",
                headers={},
                body=prompt.encode(),
                group=GroupName(str(group)),
            )
            for group, prompt in _numbered(command.prompts)
            for position in range(settings.group_size)
        ]
        return BatchJobSpec(
            batch_job=BatchJobId(f"{settings.name}/{command.step}"),
            service=settings.service,
            host="",
            items=items,
            model=ModelName(settings.service),
            least_version=self.least_version,
            due_s=math.inf,
            give_up_s=math.inf,
            kept_s=math.inf,
            sample=SampleParameters(
                settings.name, command.step, settings.max_tokens, settings.scorer
            ),
        )


def _numbered(prompts: list[str]) -> list[tuple[GroupIndex, str]]:
    return [(GroupIndex(index), prompt) for index, prompt in enumerate(prompts)]
