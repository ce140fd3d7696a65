"""Commands of batch jobs: many requests, submitted at once and run later."""

from __future__ import annotations

import hashlib
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
    RequestId,
    Revision,
    ServiceName,
    SoftwareVersion,
    StepNumber,
    WeightVersion,
    WorkspaceName,
)
from .command_base import Command, CommandResult

# zlib level; higher levels cost an entry process more time than they save.
_COMPRESSION_LEVEL = 1
_DIGEST_BYTES = 16


class RewardCall(msgspec.Struct, frozen=True):
    """Request whose answer is the score of an item's output.

    Attributes
    ----------
    request_id : RequestId
        Id of the request; repeats have the same.
    host : str
        Host of the route through which it is sent.
    path : str
        Path and query of the request.
    body : bytes
        Body of the request.
    """

    request_id: RequestId
    host: str
    path: str
    body: bytes


class BatchItem(msgspec.Struct, frozen=True):
    """One request of a batch job.

    Attributes
    ----------
    item : ItemId
        Id of the item; a later batch job with the same item may reuse its result.
    path : str
        Path and query of the request.
    headers : dict
        Headers sent to the backend server, by name.
    body : bytes
        Body of the request; the prompt for a sample of a rollout job.
    tokens : int
        Prompt tokens plus the maximum number of output tokens; 0 when unknown.
    length_hint : int
        Output tokens that the trainer expects; 0 when it gives no hint.
    group : GroupName
        Items of one group share their prompt; a trainer uses complete groups.
    reward : RewardCall or None
        Scores the output; None when the item is not scored.
    """

    item: ItemId
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    length_hint: int = 0
    group: GroupName = GroupName("")
    reward: RewardCall | None = None

    @property
    def digest(self) -> bytes:
        """Digest of what determines the result: the body and the reward call."""
        content = msgspec.msgpack.encode((self.body, self.reward))
        return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()

    def without_request(self) -> BatchItem:
        """Return the item without what only its run needs."""
        return msgspec.structs.replace(self, path="", headers={}, body=b"", reward=None)


class SampleParameters(msgspec.Struct, frozen=True):
    """Parameters that all samples of a step share.

    Attributes
    ----------
    job : JobName
        Rollout job of the step.
    step : StepNumber
        Number of the step.
    max_tokens : int
        Maximum number of output tokens of a sample.
    scorer : ServiceName or None
        Plain service that scores samples; None when they are not scored.
    """

    job: JobName
    step: StepNumber
    max_tokens: int
    scorer: ServiceName | None = None


class SampleSlot(msgspec.Struct, frozen=True):
    """Position of a sample in a rollout job.

    Attributes
    ----------
    job : JobName
        Rollout job.
    step : StepNumber
        Step of the job.
    group : GroupIndex
        Group of the step, from 0.
    position : int
        Position of the sample in its group, from 0.
    """

    job: JobName
    step: StepNumber
    group: GroupIndex
    position: int

    @property
    def item(self) -> ItemId:
        """Id of the item whose result is the sample."""
        return ItemId(f"{self.job}/{self.step}/{self.group}/{self.position}")


class BatchJobSpec(msgspec.Struct, frozen=True):
    """Items that a trainer submitted, with the settings of its route at that time.

    Attributes
    ----------
    batch_job : BatchJobId
        Id of the batch job.
    service : ServiceName
        Service whose backend servers run the items.
    host : str
        Host header of the requests to backend servers; empty for samples.
    items : list of BatchItem
        Requests to run.
    model : ModelName
        Model that generates; empty when the job does not name one.
    least_version : WeightVersion
        Oldest weights that may generate a token.
    is_single_version : bool
        Whether one version must generate all tokens of an item.
    needed_groups : int
        Complete groups that the trainer waits for; 0 when it waits for all.
    due_s : float
        Seconds after the submission at which the results are due; infinite
        for a job that shares the engines with others.
    give_up_s : float
        Seconds after the submission from which items may be abandoned.
    max_attempts : int
        Failed runs after which an item may be abandoned.
    kept_s : float
        Seconds after the submission for which results can be read.
    sample : SampleParameters or None
        For a step of a rollout job: its items are prompts and their results
        samples, which are retained until the trainer has acknowledged them.
        None for any other batch job.
    workspace : WorkspaceName or None
        Workspace that submitted it; None where callers need no key.
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
    workspace: WorkspaceName | None = None


class ItemState(Enum):
    """Outcome of an item.

    Attributes
    ----------
    COMPLETED
        All of its output was generated.
    EXPIRED
        It was abandoned before its output was complete.
    """

    COMPLETED = "completed"
    EXPIRED = "expired"


class ItemResult(msgspec.Struct, frozen=True):
    """Result of an item, at a fixed position of its batch job.

    Attributes
    ----------
    item : ItemId
        The item.
    state : ItemState
        Whether the item was completed.
    packed : bytes
        Generated content; for a request, the data of all events in order,
        separated by line feeds. Compressed with zlib, since it crosses failure
        domains several times and is retained for minutes.
    versions : list of WeightVersion
        Weight versions that generated it, in order.
    score : str or None
        Score from the item's reward call, as received; None without a reward call.
    failed_runs : int
        Number of runs that engines ended with an error, of an item that was abandoned.
    """

    item: ItemId
    state: ItemState
    packed: bytes = b""
    versions: list[WeightVersion] = []
    score: str | None = None
    failed_runs: int = 0

    @classmethod
    def completed(
        cls,
        item: ItemId,
        content: bytes,
        versions: list[WeightVersion],
        score: str | None = None,
    ) -> ItemResult:
        """Return the result of an item whose output is complete.

        Parameters
        ----------
        item : ItemId
            The item.
        content : bytes
            Generated content, not compressed.
        versions : list of WeightVersion
            Weight versions that generated it, in order.
        score : str or None
            Score from the item's reward call.
        """
        packed = zlib.compress(content, _COMPRESSION_LEVEL)
        return cls(item, ItemState.COMPLETED, packed, versions, score)

    @property
    def content(self) -> bytes:
        """Generated content, decompressed; empty when nothing is stored."""
        return zlib.decompress(self.packed) if self.packed else b""

    def is_fresh(self, min_version: WeightVersion) -> bool:
        """Return whether no weights older than a version generated any of it."""
        return not self.versions or min(self.versions) >= min_version


class SavedOutput(msgspec.Struct, frozen=True):
    """Output of an item without a result, from which another process goes on.

    Attributes
    ----------
    item : ItemId
        The item.
    packed : bytes
        Data of all events so far in order, as a list; compressed with zlib.
    last_event_number : int
        Number of the last event.
    versions : list of WeightVersion
        Weight versions that generated it, each once, in the order of their use.
    software : SoftwareVersion
        Software version of the server that generated it.
    is_generated : bool
        Whether it is complete, so that only its score is missing.
    """

    item: ItemId
    packed: bytes
    last_event_number: int
    versions: list[WeightVersion]
    software: SoftwareVersion
    is_generated: bool

    @classmethod
    def pack(
        cls,
        item: ItemId,
        event_data: list[str],
        last_event_number: int,
        versions: list[WeightVersion],
        software: SoftwareVersion,
        is_generated: bool,
    ) -> SavedOutput:
        """Return the output of an item with its events compressed.

        Parameters
        ----------
        item : ItemId
            The item.
        event_data : list of str
            Data of all events so far.
        last_event_number : int
            Number of the last event.
        versions : list of WeightVersion
            Weight versions that generated it.
        software : SoftwareVersion
            Software version that generated it.
        is_generated : bool
            Whether it is complete.
        """
        encoded = msgspec.msgpack.encode(event_data)
        return cls(
            item,
            zlib.compress(encoded, _COMPRESSION_LEVEL),
            last_event_number,
            versions,
            software,
            is_generated,
        )

    @property
    def event_data(self) -> list[str]:
        """Data of all events so far, decompressed."""
        return msgspec.msgpack.decode(zlib.decompress(self.packed), type=list[str])

    def satisfies(self, spec: BatchJobSpec) -> bool:
        """Return whether a batch job allows the weights that generated it."""
        if spec.is_single_version and len(self.versions) > 1:
            return False
        return all(version >= spec.least_version for version in self.versions)


class SaveOutputs(Command, frozen=True):
    """Stores outputs of items without a result, in place of earlier ones.

    It has no effect unless the owner still runs the batch job.

    Attributes
    ----------
    batch_job : BatchJobId
        The batch job.
    owner : BootId
        Entry process that runs it.
    outputs : list of SavedOutput
        Outputs to store.
    failed_runs : dict
        Number of runs that engines ended with an error, by item.
    """

    batch_job: BatchJobId
    owner: BootId
    outputs: list[SavedOutput]
    failed_runs: dict[ItemId, int] = {}


class SubmitBatchJob(Command, frozen=True):
    """Submits a batch job; a repeat of its id has no effect.

    Attributes
    ----------
    spec : BatchJobSpec
        The batch job.
    owner : BootId
        Entry process that is to run it.
    revision : Revision
        Revision of the configuration that the specification follows from. A later
        one makes the submission fail; -1 for any.
    """

    spec: BatchJobSpec
    owner: BootId
    revision: Revision = Revision(-1)


class BatchJobAccepted(CommandResult, frozen=True):
    """The batch job is stored.

    Attributes
    ----------
    owner : BootId or None
        Entry process that runs it.
    """

    owner: BootId | None


class CommitItems(Command, frozen=True):
    """Stores results of items; the first result of an item wins."""

    batch_job: BatchJobId
    results: list[ItemResult]


class ItemsCommitted(CommandResult, frozen=True):
    """Results of a ``CommitItems`` were processed.

    Attributes
    ----------
    entered : int
        Number of results that were stored.
    stale : int
        Number of results that were rejected, since their weights were too old.
    """

    entered: int
    stale: int


class EndBatchJob(Command, frozen=True):
    """Ends a batch job; none of its items needs to run any more."""

    batch_job: BatchJobId


class AssignBatchJobs(Command, frozen=True):
    """Assigns open batch jobs to other entry processes.

    Attributes
    ----------
    owners : dict
        Entry process that is to run a batch job, by id of the batch job.
    """

    owners: dict[BatchJobId, BootId]
