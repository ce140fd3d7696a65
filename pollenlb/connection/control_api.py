"""Messages between entry processes and control instances, over gRPC."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from ..durable.batch_job_commands import BatchJobSpec, ItemResult, SavedOutput
from ..durable.commands import AnyCommand, AnyResult
from ..durable.configuration_commands import Announcement, Change
from ..durable.duty_commands import DutyCall
from ..durable.job_commands import JobSettings
from ..durable.leases import EntryHealth, EntryInfo
from ..durable.records import Member
from ..ids import (
    Address,
    BackendServerName,
    BatchJobId,
    BootId,
    CommandId,
    DocumentVersion,
    FailureDomain,
    Fingerprint,
    InstanceName,
    ItemId,
    JobName,
    LogIndex,
    ModelName,
    ReplicaId,
    RequestId,
    Revision,
    ServiceName,
    SoftwareVersion,
    StepNumber,
    Term,
    UsageWindow,
    WeightVersion,
    WorkspaceName,
)
from ..release import UNREPORTED, Release
from .rpc import Method

_SERVICE = "pollenlb.Control"


class CallStatus(Enum):
    """Outcome of a call to a control instance.

    After ``NOT_LEADER``, the call may be repeated at the leader. ``IN_DOUBT``
    means that a command may or may not take effect.
    """

    DONE = "done"
    NOT_LEADER = "not-leader"
    IN_DOUBT = "in-doubt"


class ProposeRequest(msgspec.Struct, frozen=True):
    """Request to the leader to execute a command.

    Attributes
    ----------
    command_id : CommandId or None
        Idempotency key of the command.
    """

    command_id: CommandId | None
    command: AnyCommand


class ProposeAnswer(msgspec.Struct, frozen=True):
    """Result of a command, or the leader to send it to instead.

    Attributes
    ----------
    leader : Address
        Leader, as far as the answering control instance knows; else empty.
    result : AnyResult or None
        Set when the status is ``DONE``.
    unreadable : str
        Why the command was not executed, when a member could not read it; else empty.
    """

    status: CallStatus
    leader: Address = Address("")
    result: AnyResult | None = None
    unreadable: str = ""


class ConfigurationView(msgspec.Struct, frozen=True):
    """The configuration that entry processes are to apply.

    Attributes
    ----------
    keeps_workspaces : bool
        Whether the document leaves out the workspaces, since they are those of the
        revision that the entry has applied.
    """

    revision: Revision
    document: dict[str, Any]
    keeps_workspaces: bool = False


class DirectoryView(msgspec.Struct, frozen=True):
    """The announced backend servers.

    Attributes
    ----------
    releases : dict
        Released weight version by model.
    """

    version: int
    servers: list[Announcement]
    releases: dict[ModelName, WeightVersion]


class PlannedLoad(msgspec.Struct, frozen=True):
    """A weight version that an engine is about to load or is loading.

    Attributes
    ----------
    boot : BootId
        Process of the engine that loads it.
    fencing : int
        Fencing number of the order, which identifies the load.
    """

    boot: BootId
    model: ModelName
    version: WeightVersion
    fencing: int


class LoadsView(msgspec.Struct, frozen=True):
    """The planned loads of weight versions, for owners of batch jobs.

    Attributes
    ----------
    loads : dict
        Planned load by engine.
    assigned : dict
        Model of each engine of a service that is not divided evenly.
    """

    version: int
    loads: dict[BackendServerName, PlannedLoad]
    assigned: dict[BackendServerName, ModelName] = {}


class JobView(msgspec.Struct, frozen=True):
    """The part of a job's state that entry processes need.

    Attributes
    ----------
    open_samples : int
        Number of samples of open steps that have no result yet.
    oldest_step : StepNumber
        The oldest open step; without one, the least number for a new step.
    oldest_step_at_ms : int
        Wall time at which the oldest open step was submitted, milliseconds
        since the epoch; 0 without one.
    steps : int
        Number of open steps.
    accepted, delivered, wasted : int
        Number of samples that were accepted, delivered to the trainer, and
        discarded as too old.
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
    """Requests that crashed a backend server, or ran concurrently with one that did.

    Attributes
    ----------
    suspects : dict
        Whether the request is refused, by fingerprint.
    """

    version: int
    suspects: dict[Fingerprint, bool]


class EntriesView(msgspec.Struct, frozen=True):
    """The entry processes with a live lease.

    Attributes
    ----------
    stranded : list of BootId
        Those that reported that they reach no backend server.
    """

    version: int
    entries: list[EntryInfo]
    stranded: list[BootId] = []


class BatchWork(msgspec.Struct, frozen=True):
    """A batch job that is assigned to an entry process.

    Attributes
    ----------
    listed : set of ItemId
        Items that already have a result.
    age_s : float
        Seconds since it was submitted.
    saved : list of SavedOutput
        Output of items without a result that an earlier owner saved.
    failed_runs : dict
        Number of runs that engines ended with an error, by item without a result.
    """

    spec: BatchJobSpec
    listed: set[ItemId]
    age_s: float
    saved: list[SavedOutput] = []
    failed_runs: dict[ItemId, int] = {}


class WorkView(msgspec.Struct, frozen=True):
    """The batch jobs that are assigned to an entry process.

    Attributes
    ----------
    owned : list of BatchJobId
        All of them. Any other batch job that the entry still runs has been
        assigned to another entry process.
    added : list of BatchWork
        Those that were not assigned to the entry before.
    is_partial : bool
        Whether more of them were left out, as the message would be too large. The
        next renewal asks for them.
    """

    version: int
    owned: list[BatchJobId]
    added: list[BatchWork]
    is_partial: bool = False


class LimitReport(msgspec.Struct, frozen=True):
    """What an entry knows of a backend server's limit, and its use of it.

    Attributes
    ----------
    boot : BootId
        Boot id of the backend server.
    limit_per_s : float or None
        Requests a second from all entries; None if the limit has ended.
    age_s : float
        Seconds since an answer showed this.
    demand : float
        Recent requests and waiting items that the server could have run.
    granted_per_s : float
        Share that the entry uses by a grant of the leader, in requests a second.
    """

    boot: BootId
    limit_per_s: float | None
    age_s: float
    demand: float
    granted_per_s: float


class LimitGrant(msgspec.Struct, frozen=True):
    """The limit of a backend server, and an entry's share of it.

    Attributes
    ----------
    boot : BootId
        Boot id of the backend server.
    limit_per_s : float or None
        Requests a second from all entries; None if the limit has ended.
    age_s : float
        Seconds since an answer showed this.
    granted_per_s : float
        Share that the entry may use during its lease, in requests a second.
    """

    boot: BootId
    limit_per_s: float | None
    age_s: float
    granted_per_s: float


class RenewRequest(msgspec.Struct, frozen=True):
    """Renews an entry's lease and asks for changed views (a long poll).

    Attributes
    ----------
    entry : EntryInfo
        Entry process that renews its lease.
    revision : Revision
        Configuration revision that the entry has applied.
    directory, ledger, quarantine, entries, work : int
        Versions of the views that the entry has.
    announced : list of BackendServerName
        Backend servers that announced themselves since the last renewal.
    wait_s : float
        Maximum time to wait for a change, in seconds.
    limits : dict
        What the entry knows of limits, by backend server.
    limits_version : int
        Version of the limits that the entry has.
    accepts_packed : bool
        Whether the answer may contain its views in compressed form.
    usage : dict
        Requests that the entry counted, by workspace, by window of the usage
        reports that is not sealed.
    usage_number : int
        Number of this report of usage, higher than those of earlier ones; 0
        without one.
    usage_at_s : float
        Wall time at which the requests were counted, in seconds since the epoch;
        infinite in the last report of a process that stops.
    loads : int
        Version of the planned loads that the entry has; -1 if it does not use
        them.
    lacks_work : bool or None
        Whether batch jobs were left out of the last view of them; None for an entry
        process that takes only complete views.
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
    limits: dict[BackendServerName, LimitReport] = {}
    limits_version: int = 0
    accepts_packed: bool = False
    usage: dict[UsageWindow, dict[WorkspaceName, int]] = {}
    usage_number: int = 0
    usage_at_s: float = 0.0
    loads: int = -1
    lacks_work: bool | None = None


class RenewAnswer(msgspec.Struct, frozen=True):
    """The renewed lease, and the views that changed; unchanged ones are None.

    Attributes
    ----------
    lease_s : float
        Duration of the lease in seconds, counted from the time at which the
        request was sent.
    controls : list of Address
        Addresses of the control instances.
    limits : dict
        All known limits with the entry's shares, by backend server.
    limits_version : int
        Version of these limits.
    packed : dict
        Views in compressed form by the name of their field, for an entry process
        that accepts this form.
    usage_window_s : float
        Duration of the windows in which requests are counted, in seconds; 0 if
        they are not to be counted.
    usage_sealed : UsageWindow
        First window whose counts may still change.
    needs_load : bool
        Whether renewals are to tell the requests in flight by backend server.
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
    limits: dict[BackendServerName, LimitGrant] = {}
    limits_version: int = 0
    packed: dict[str, bytes] = {}
    usage_window_s: float = 0.0
    usage_sealed: UsageWindow = UsageWindow(0)
    loads: LoadsView | None = None
    needs_load: bool = False


class ReadBatchJob(msgspec.Struct, frozen=True):
    """Request to the leader for the results of a batch job.

    Attributes
    ----------
    after : int
        Position of the first requested result, from 0.
    wait_s : float
        Maximum time to wait for a result at that position, in seconds.
    """

    batch_job: BatchJobId
    after: int
    wait_s: float


class BatchJobRead(msgspec.Struct, frozen=True):
    """Results of a batch job.

    Attributes
    ----------
    total : int or None
        Number of items of the batch job; None when there is no such job.
    """

    status: CallStatus
    leader: Address = Address("")
    total: int | None = None
    results: list[ItemResult] = []


class ReadItem(msgspec.Struct, frozen=True):
    """Request to the leader for the body of an item."""

    batch_job: BatchJobId
    item: ItemId


class ItemRead(msgspec.Struct, frozen=True):
    """Body of an item; None when there is none, or when the item has a result."""

    status: CallStatus
    leader: Address = Address("")
    body: bytes | None = None


class ReadConfiguration(msgspec.Struct, frozen=True):
    """Request to the leader for the latest complete configuration."""


class ConfigurationRead(msgspec.Struct, frozen=True):
    """The latest complete configuration, as the operator sent it.

    Attributes
    ----------
    version : DocumentVersion
        Number of this complete configuration; 0 before the first.
    source : bytes
        The document; empty before the first.
    """

    status: CallStatus
    leader: Address = Address("")
    version: DocumentVersion = DocumentVersion(0)
    source: bytes = b""


class Retirement(Enum):
    """Progress of the retirement of a control instance.

    ``TOO_FEW`` means that too few control instances would remain, and
    ``UNKNOWN`` that there is no such instance.
    """

    UNKNOWN = "unknown"
    TOO_FEW = "too-few"
    RUNNING = "running"
    COMPLETED = "completed"


class RetireRequest(msgspec.Struct, frozen=True):
    """Request to the leader to retire a control instance.

    Attributes
    ----------
    is_question : bool
        Whether to return the progress only, without starting a retirement.
    """

    instance: InstanceName
    is_question: bool


class RetireAnswer(msgspec.Struct, frozen=True):
    """Progress of the retirement.

    Attributes
    ----------
    retirement : Retirement or None
        Set when the status is ``DONE``.
    """

    status: CallStatus
    leader: Address = Address("")
    retirement: Retirement | None = None


class StatusRequest(msgspec.Struct, frozen=True):
    """Request for the status of one control instance.

    Attributes
    ----------
    is_confirmed : bool
        Whether the answer must reflect all earlier commits. The control
        instance then confirms its leadership first.
    """

    is_confirmed: bool


class ReplicaView(msgspec.Struct, frozen=True):
    """Backend servers of one kind in a failure domain, ordered and present.

    Attributes
    ----------
    is_reclaimable : bool
        Whether the infrastructure may reclaim them at any time.
    ordered : int or None
        Number that was ordered; None if none was.
    present : int
        Number that is announced and serves.
    reason : str
        Why the number was ordered.
    status : int or None
        HTTP status of the response to the order; None without one.
    """

    service: ServiceName
    failure_domain: FailureDomain
    is_reclaimable: bool
    ordered: int | None
    present: int
    reason: str = ""
    status: int | None = None


class DutiesView(msgspec.Struct, frozen=True):
    """Holder of the duties and what it has done.

    Attributes
    ----------
    holder : InstanceName
        Control instance that may make calls; empty before the first one.
    accepted_call : DutyCall or None
        Last call that was accepted.
    last_call : DutyCall or None
        Last call of the answering process, whatever the response.
    unsent_windows : list of UsageWindow
        Sealed windows whose report is not accepted yet.
    """

    holder: InstanceName
    fencing: int
    accepted_call: DutyCall | None = None
    last_call: DutyCall | None = None
    unsent_windows: list[UsageWindow] = []
    replicas: list[ReplicaView] = []


class StatusAnswer(msgspec.Struct, frozen=True):
    """State of a control instance and its copy of the replicated state.

    Attributes
    ----------
    status : CallStatus
        ``NOT_LEADER`` when the requested confirmation failed. The other fields
        are set all the same.
    entries : list of EntryInfo
        Entry processes with a live lease; empty unless this instance leads.
    suspects : dict
        Whether the request is refused, by fingerprint.
    duties : DutiesView or None
        None if this instance has no duties.
    release : Release
        Release that the instance runs.
    """

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
    duties: DutiesView | None = None
    release: Release = UNREPORTED


class RecordStream(msgspec.Struct, frozen=True):
    """Tells a control instance which software version began a stream.

    Attributes
    ----------
    request : RequestId
        Request with which the stream began.
    workspace : WorkspaceName or None
        Workspace of its caller, also None from a release that does not report it.
    """

    request: RequestId
    software: SoftwareVersion
    workspace: WorkspaceName | None = None


class StreamRecorded(msgspec.Struct, frozen=True):
    """The control instance remembers the stream for a while.

    Attributes
    ----------
    boot : BootId or None
        Boot id of the process, which forgets its streams when it ends; None from a
        release that does not report it.
    """

    boot: BootId | None = None


class KnownStream(msgspec.Struct, frozen=True):
    """A stream and the software version that began it.

    Attributes
    ----------
    request : RequestId
        Request with which the stream began.
    kept_s : float
        Seconds for which the stream may still be taken up.
    workspace : WorkspaceName or None
        Workspace of its caller, also None from a release that does not report it.
    """

    request: RequestId
    software: SoftwareVersion
    kept_s: float
    workspace: WorkspaceName | None = None


class RecordStreams(msgspec.Struct, frozen=True):
    """Repeats earlier streams to a control instance that may not know them."""

    streams: list[KnownStream]


class FindStream(msgspec.Struct, frozen=True):
    """Asks a control instance which software version began a stream.

    Attributes
    ----------
    request : RequestId
        Request with which the stream began.
    workspace : WorkspaceName or None
        Workspace of the caller that takes it up.
    """

    request: RequestId
    workspace: WorkspaceName | None = None


class StreamFound(msgspec.Struct, frozen=True):
    """Software version that began a stream; None if the instance does not know.

    Attributes
    ----------
    is_complete : bool
        Whether the instance has learnt the streams that began before it started.
    """

    software: SoftwareVersion | None = None
    is_complete: bool = True


class CopyStreams(msgspec.Struct, frozen=True):
    """Asks a control instance for a page of the streams that it knows.

    Attributes
    ----------
    after : int
        Position after which the page begins; 0 for the first one.
    """

    after: int = 0


class StreamPage(msgspec.Struct, frozen=True):
    """A page of the streams that a control instance knows.

    Attributes
    ----------
    last : int
        Position of the last stream of the page.
    is_last : bool
        Whether no page follows.
    is_complete : bool
        Whether the instance has learnt the streams that began before it started.
    """

    streams: list[KnownStream]
    last: int
    is_last: bool
    is_complete: bool


PROPOSE = Method(_SERVICE, "Propose", ProposeRequest, ProposeAnswer)
RENEW = Method(_SERVICE, "Renew", RenewRequest, RenewAnswer)
READ_BATCH_JOB = Method(_SERVICE, "ReadBatchJob", ReadBatchJob, BatchJobRead)
READ_ITEM = Method(_SERVICE, "ReadItem", ReadItem, ItemRead)
READ_CONFIGURATION = Method(
    _SERVICE, "ReadConfiguration", ReadConfiguration, ConfigurationRead
)
RETIRE = Method(_SERVICE, "Retire", RetireRequest, RetireAnswer)
STATUS = Method(_SERVICE, "Status", StatusRequest, StatusAnswer)
RECORD_STREAM = Method(_SERVICE, "RecordStream", RecordStream, StreamRecorded)
FIND_STREAM = Method(_SERVICE, "FindStream", FindStream, StreamFound)
RECORD_STREAMS = Method(_SERVICE, "RecordStreams", RecordStreams, StreamRecorded)
COPY_STREAMS = Method(_SERVICE, "CopyStreams", CopyStreams, StreamPage)
