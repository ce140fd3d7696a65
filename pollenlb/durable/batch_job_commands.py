"""Commands of batch jobs: many requests, handed in at once and run later."""

from __future__ import annotations

import zlib
from enum import Enum

import msgspec

from ..ids import (
    BatchJobId,
    BootId,
    GroupIndex,
    GroupName,
    ItemId,
    JobName,
    ModelName,
    ServiceName,
    StepNumber,
    WeightVersion,
)
from .command_base import Command, CommandResult

_COMPRESSION_LEVEL = 1  # higher ones cost an entry more time than they save


class BatchItem(msgspec.Struct, frozen=True):
    """One request of a batch job.

    Attributes
    ----------
    path : str
        Path and query of the request.
    headers : dict
        Headers that the backend server gets, by name.
    tokens : int
        Prompt tokens and the most output tokens together.
    length_hint : int
        Output tokens that the trainer expects; 0 when it does not tell.
    group : GroupName
        Items of one group share their prompt; a trainer uses whole groups.
    """

    item: ItemId
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    length_hint: int = 0
    group: GroupName = GroupName("")


class SampleParameters(msgspec.Struct, frozen=True):
    """What the samples of a step have in common.

    Attributes
    ----------
    scorer : ServiceName or None
        Plain service that scores samples.
    """

    job: JobName
    step: StepNumber
    max_tokens: int
    scorer: ServiceName | None = None


class SampleSlot(msgspec.Struct, frozen=True):
    """Place of a sample in a rollout job."""

    job: JobName
    step: StepNumber
    group: GroupIndex
    position: int

    @property
    def item(self) -> ItemId:
        """Name of the item that fills it."""
        return ItemId(f"{self.job}/{self.step}/{self.group}/{self.position}")


class BatchJobSpec(msgspec.Struct, frozen=True):
    """What a trainer handed in, with the terms of its route at that time.

    Attributes
    ----------
    host : str
        Host that the backend server is asked for; empty for samples.
    model : ModelName
        Model that generates; empty when the job does not name one.
    least_version : WeightVersion
        Oldest weights that may generate a token.
    is_single_version : bool
        Whether one version must generate all tokens of an item.
    needed_groups : int
        Whole groups that the trainer waits for; 0 when it waits for all.
    due_s : float
        Seconds after the submission at which the results are wanted; infinite
        for a job that shares the engines with others.
    give_up_s : float
        Seconds after the submission from which items may be given up.
    max_attempts : int
        Failed runs after which an item may be given up.
    kept_s : float
        Seconds after the submission for which results can be read.
    sample : SampleParameters or None
        For a step of a rollout job: its items are prompts, their results
        samples, which stay until the trainer has acknowledged them.
    """

    batch_job: BatchJobId
    service: ServiceName
    host: str
    items: list[BatchItem]
    model: ModelName = ModelName("")
    least_version: WeightVersion = WeightVersion(0)
    is_single_version: bool = False
    needed_groups: int = 0
    due_s: float = 0.0
    give_up_s: float = 0.0
    max_attempts: int = 1
    kept_s: float = 120.0
    sample: SampleParameters | None = None


class ItemState(Enum):
    """What became of an item."""

    COMPLETED = "completed"
    EXPIRED = "expired"


class ItemResult(msgspec.Struct, frozen=True):
    """Result of an item, at a fixed position of its batch job.

    Attributes
    ----------
    packed : bytes
        What was generated, for a request the data of all events in order,
        separated by line feeds; compressed, since it crosses failure domains
        several times and is kept for minutes.
    versions : list of WeightVersion
        Weights that generated it, in order.
    """

    item: ItemId
    state: ItemState
    packed: bytes = b""
    versions: list[WeightVersion] = []

    @classmethod
    def completed(
        cls, item: ItemId, content: bytes, versions: list[WeightVersion]
    ) -> ItemResult:
        """Return the result of an item that was generated whole."""
        packed = zlib.compress(content, _COMPRESSION_LEVEL)
        return cls(item, ItemState.COMPLETED, packed, versions)

    @property
    def content(self) -> bytes:
        """What was generated."""
        return zlib.decompress(self.packed) if self.packed else b""

    def is_fresh(self, least_version: WeightVersion) -> bool:
        """Whether no older weights than allowed generated any of it."""
        return not self.versions or min(self.versions) >= least_version


class SubmitBatchJob(Command, frozen=True):
    """Hands in a batch job; the same id again changes nothing.

    Attributes
    ----------
    owner : BootId
        Entry process that is to run it.
    """

    spec: BatchJobSpec
    owner: BootId


class BatchJobAccepted(CommandResult, frozen=True):
    """The batch job is kept, and who runs it."""

    owner: BootId | None


class CommitItems(Command, frozen=True):
    """Enters results; the first for an item wins."""

    batch_job: BatchJobId
    results: list[ItemResult]


class ItemsCommitted(CommandResult, frozen=True):
    """How many results were entered, and how many were too old."""

    entered: int
    stale: int


class EndBatchJob(Command, frozen=True):
    """Ends a batch job; nothing more of it need run."""

    batch_job: BatchJobId


class AssignBatchJobs(Command, frozen=True):
    """Lets other entry processes run batch jobs."""

    owners: dict[BatchJobId, BootId]
