"""Messages between entries and control instances."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from ..durable.batch_job_commands import BatchJobSpec, ItemResult
from ..durable.commands import AnyCommand, AnyResult
from ..durable.configuration_commands import Announcement, Change
from ..durable.job_commands import JobSettings
from ..durable.leases import EntryHealth, EntryInfo
from ..durable.records import Member
from ..ids import (
    Address,
    BackendServerName,
    BatchJobId,
    CommandId,
    DocumentVersion,
    Fingerprint,
    InstanceName,
    ItemId,
    JobName,
    LogIndex,
    ModelName,
    ReplicaId,
    Revision,
    StepNumber,
    Term,
    WeightVersion,
)
from .rpc import Method

_SERVICE = "pollenlb.Control"


class CallStatus(Enum):
    """How a control instance dealt with a call."""

    DONE = "done"
    NOT_LEADER = "not-leader"
    IN_DOUBT = "in-doubt"


class ProposeRequest(msgspec.Struct, frozen=True):
    """Asks the leader to carry out a command."""

    command_id: CommandId | None
    command: AnyCommand


class ProposeAnswer(msgspec.Struct, frozen=True):
    """The command's result, or where to ask instead."""

    status: CallStatus
    leader: Address = Address("")
    result: AnyResult | None = None


class ConfigurationView(msgspec.Struct, frozen=True):
    """The configuration that entries have in force."""

    revision: Revision
    document: dict[str, Any]


class DirectoryView(msgspec.Struct, frozen=True):
    """The announced backend servers."""

    version: int
    servers: list[Announcement]
    releases: dict[ModelName, WeightVersion]


class JobView(msgspec.Struct, frozen=True):
    """What an entry needs to know of a job.

    Attributes
    ----------
    oldest_step_at_ms : int
        Wall time at which the oldest open step was submitted, milliseconds
        since the epoch; 0 without one.
    """

    settings: JobSettings
    trainer_version: WeightVersion
    open_samples: int
    oldest_step: StepNumber
    oldest_step_at_ms: int
    steps: int
    accepted: int
    delivered: int
    wasted: int


class LedgerView(msgspec.Struct, frozen=True):
    """The rollout jobs."""

    version: int
    jobs: dict[JobName, JobView]


class QuarantineView(msgspec.Struct, frozen=True):
    """Requests that crashed a backend server, or ran beside one that did.

    Attributes
    ----------
    suspects : dict
        Whether the request is refused, by fingerprint.
    """

    version: int
    suspects: dict[Fingerprint, bool]


class EntriesView(msgspec.Struct, frozen=True):
    """The entry processes with a live lease."""

    version: int
    entries: list[EntryInfo]


class BatchWork(msgspec.Struct, frozen=True):
    """A batch job that an entry is to run.

    Attributes
    ----------
    listed : set of ItemId
        Items that have a result already.
    age_s : float
        Seconds since it was handed in.
    """

    spec: BatchJobSpec
    listed: set[ItemId]
    age_s: float


class WorkView(msgspec.Struct, frozen=True):
    """The batch jobs that an entry is to run.

    Attributes
    ----------
    owned : list of BatchJobId
        All of them; what the entry runs beside these is another's by now.
    added : list of BatchWork
        Those that the entry did not have.
    """

    version: int
    owned: list[BatchJobId]
    added: list[BatchWork]


class RenewRequest(msgspec.Struct, frozen=True):
    """Renews a lease and asks for what changed.

    Attributes
    ----------
    revision : Revision
        Configuration revision that the entry has in force.
    directory, ledger, quarantine, entries, work : int
        Versions of the views that the entry has.
    announced : list
        Backend servers that announced themselves since the last renewal.
    wait_s : float
        Longest wait for a change, in seconds.
    """

    entry: EntryInfo
    revision: Revision
    directory: int
    ledger: int
    quarantine: int
    entries: int
    announced: list[BackendServerName]
    wait_s: float
    work: int = 0
    health: EntryHealth = EntryHealth()


class RenewAnswer(msgspec.Struct, frozen=True):
    """The lease, and those views that changed.

    Attributes
    ----------
    lease_s : float
        Seconds that the lease lasts from the moment the request was sent.
    controls : list of Address
        Where the control instances are.
    """

    status: CallStatus
    leader: Address = Address("")
    lease_s: float = 0.0
    configuration: ConfigurationView | None = None
    directory: DirectoryView | None = None
    ledger: LedgerView | None = None
    quarantine: QuarantineView | None = None
    entries: EntriesView | None = None
    work: WorkView | None = None
    controls: list[Address] = []


class ReadBatchJob(msgspec.Struct, frozen=True):
    """Asks the leader for the results of a batch job.

    Attributes
    ----------
    after : int
        First position that is wanted, from 0.
    wait_s : float
        Longest wait for a result at that position, in seconds.
    """

    batch_job: BatchJobId
    after: int
    wait_s: float


class BatchJobRead(msgspec.Struct, frozen=True):
    """Results of a batch job; the total is None when there is no such job."""

    status: CallStatus
    leader: Address = Address("")
    total: int | None = None
    results: list[ItemResult] = []


class ReadItem(msgspec.Struct, frozen=True):
    """Asks the leader for the body of an item."""

    batch_job: BatchJobId
    item: ItemId


class ItemRead(msgspec.Struct, frozen=True):
    """Body of an item, or None when there is no such item."""

    status: CallStatus
    leader: Address = Address("")
    body: bytes | None = None


class ReadConfiguration(msgspec.Struct, frozen=True):
    """Asks the leader for the newest whole configuration."""


class ConfigurationRead(msgspec.Struct, frozen=True):
    """The newest whole configuration, as the operator sent it."""

    status: CallStatus
    leader: Address = Address("")
    version: DocumentVersion = DocumentVersion(0)
    source: bytes = b""


class Retirement(Enum):
    """How far the taking away of a control instance is."""

    UNKNOWN = "unknown"
    TOO_FEW = "too-few"
    RUNNING = "running"
    COMPLETED = "completed"


class RetireRequest(msgspec.Struct, frozen=True):
    """Asks that a control instance be emptied, or how far that is."""

    instance: InstanceName
    is_question: bool


class RetireAnswer(msgspec.Struct, frozen=True):
    """How far it is."""

    status: CallStatus
    leader: Address = Address("")
    retirement: Retirement | None = None


class StatusRequest(msgspec.Struct, frozen=True):
    """Asks a control instance how it is.

    Attributes
    ----------
    is_confirmed : bool
        Whether the answer must hold all that was committed before.
    """

    is_confirmed: bool


class StatusAnswer(msgspec.Struct, frozen=True):
    """State of a control instance and what it knows."""

    status: CallStatus
    replica: ReplicaId
    role: str
    term: Term
    leader: Address
    commit_index: LogIndex
    members: list[Member]
    revision: Revision
    document: dict[str, Any]
    changes: list[Change]
    entries: list[EntryInfo]
    servers: list[Announcement]
    releases: dict[ModelName, WeightVersion]
    jobs: dict[JobName, JobView]
    suspects: dict[Fingerprint, bool]


PROPOSE = Method(_SERVICE, "Propose", ProposeRequest, ProposeAnswer)
RENEW = Method(_SERVICE, "Renew", RenewRequest, RenewAnswer)
READ_BATCH_JOB = Method(_SERVICE, "ReadBatchJob", ReadBatchJob, BatchJobRead)
READ_ITEM = Method(_SERVICE, "ReadItem", ReadItem, ItemRead)
READ_CONFIGURATION = Method(
    _SERVICE, "ReadConfiguration", ReadConfiguration, ConfigurationRead
)
RETIRE = Method(_SERVICE, "Retire", RetireRequest, RetireAnswer)
STATUS = Method(_SERVICE, "Status", StatusRequest, StatusAnswer)
