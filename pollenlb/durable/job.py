"""State of a rollout job: its open steps and its sealed batch."""

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
    """An open step: one with groups that the trainer has not acknowledged.

    Attributes
    ----------
    at_ms : int
        Wall time of the submission, milliseconds since the epoch.
    batch_job : BatchJobId
        Batch job whose items are the step's samples.
    groups : list of GroupIndex
        Groups that are not acknowledged.
    """

    at_ms: int
    batch_job: BatchJobId
    groups: list[GroupIndex]


class Job(msgspec.Struct):
    """State of one rollout job.

    Attributes
    ----------
    settings : JobSettings
        Settings with which the trainer created it.
    trainer_version : WeightVersion
        Latest weight version that the trainer has reached.
    steps : dict
        Open steps by number, in the order of their submission.
    next_step : StepNumber
        Lowest number that a new step may have.
    batch : Batch or None
        Sealed batch that is not acknowledged yet.
    acknowledged : BatchNumber
        Number of the last batch that the trainer acknowledged; 0 before the first.
    accepted : int
        Number of samples that were committed.
    wasted : int
        Number of samples that were rejected or discarded as too old.
    delivered : int
        Number of samples in acknowledged batches.
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
    def min_version(self) -> WeightVersion:
        """Oldest weight version that the staleness bound allows now."""
        oldest = self.trainer_version - self.settings.staleness_bound
        return WeightVersion(max(0, oldest))

    def item_ids(self, step: StepNumber, groups: Collection[GroupIndex]) -> set[ItemId]:
        """Return the ids of the items of some groups of a step."""
        return {
            SampleSlot(self.settings.name, step, group, position).item
            for group in groups
            for position in range(self.settings.group_size)
        }

    def batch_job_spec(self, command: SubmitStep) -> BatchJobSpec:
        """Return the batch job that generates the samples of a submitted step."""
        settings = self.settings
        items = [
            BatchItem(
                item=SampleSlot(settings.name, command.step, group, position).item,
                path="",
                headers={},
                body=prompt.encode(),
                group=GroupName(str(group)),
            )
            for group, prompt in _number_prompts(command.prompts)
            for position in range(settings.group_size)
        ]
        return BatchJobSpec(
            batch_job=BatchJobId(f"{settings.name}/{command.step}"),
            service=settings.service,
            host="",
            items=items,
            model=ModelName(settings.service),
            least_version=self.min_version,
            due_s=math.inf,
            give_up_s=math.inf,
            kept_s=math.inf,
            sample=SampleParameters(
                settings.name, command.step, settings.max_tokens, settings.scorer
            ),
        )


def _number_prompts(prompts: list[str]) -> list[tuple[GroupIndex, str]]:
    return [(GroupIndex(index), prompt) for index, prompt in enumerate(prompts)]
