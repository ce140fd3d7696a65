"""Unions of all commands and results, and the form of a command in the log."""

from __future__ import annotations

import msgspec

from ..ids import CommandId
from .batch_job_commands import (
    AssignBatchJobs,
    BatchJobAccepted,
    CommitItems,
    EndBatchJob,
    ItemsCommitted,
    SaveOutputs,
    SubmitBatchJob,
)
from .command_base import Done, Refused
from .configuration_commands import (
    AbandonLoad,
    AnnounceServer,
    AssignEngines,
    ChangeConfiguration,
    ConfigurationChanged,
    ConfigurationConflict,
    ConfigurationInvalid,
    ConfigurationReplaced,
    ForgetServer,
    NoteModelVersion,
    NoteOrder,
    ReleaseVersion,
    ReplaceConfiguration,
    RetireInstance,
    VersionSuperseded,
    WithdrawServer,
)
from .crash_commands import (
    CrashReported,
    EndTrial,
    Pardon,
    ReportCrash,
    StartTrial,
    TrialStarted,
)
from .duty_commands import (
    CloseUsage,
    EndReplicaOrder,
    OpenUsage,
    OrderReplicas,
    RecordUsage,
    SealUsage,
    SkipUsage,
    TakeDuties,
)
from .format_commands import AdoptFormat
from .job_commands import (
    BatchNotReady,
    BatchSealed,
    CreateJob,
    PullBatch,
    SetTrainerVersion,
    SubmitStep,
)
from .key_commands import ClaimKey, KeyClaimed, KeyHeld, LoseClaimants, SettleKey

AnyCommand = (
    ChangeConfiguration
    | ReplaceConfiguration
    | AnnounceServer
    | WithdrawServer
    | ForgetServer
    | NoteModelVersion
    | NoteOrder
    | AbandonLoad
    | AssignEngines
    | ReleaseVersion
    | SubmitBatchJob
    | CommitItems
    | SaveOutputs
    | EndBatchJob
    | AssignBatchJobs
    | RetireInstance
    | ClaimKey
    | SettleKey
    | CreateJob
    | SetTrainerVersion
    | SubmitStep
    | PullBatch
    | LoseClaimants
    | ReportCrash
    | StartTrial
    | EndTrial
    | Pardon
    | TakeDuties
    | OpenUsage
    | RecordUsage
    | SealUsage
    | SkipUsage
    | CloseUsage
    | OrderReplicas
    | EndReplicaOrder
    | AdoptFormat
)

AnyResult = (
    Done
    | Refused
    | ConfigurationChanged
    | ConfigurationConflict
    | ConfigurationInvalid
    | ConfigurationReplaced
    | VersionSuperseded
    | BatchJobAccepted
    | KeyClaimed
    | KeyHeld
    | ItemsCommitted
    | BatchSealed
    | BatchNotReady
    | CrashReported
    | TrialStarted
)


class Proposal(msgspec.Struct, frozen=True):
    """A command as it is stored in the replicated log.

    Attributes
    ----------
    command_id : CommandId or None
        Identifies the command across resends; None when it is idempotent and
        needs no deduplication.
    at_ms : int
        Wall time of the leader, milliseconds since the epoch.
    command : AnyCommand
        The command itself.
    """

    command_id: CommandId | None
    at_ms: int
    command: AnyCommand
