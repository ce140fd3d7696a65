"""Commands that change the replicated state, and their results."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from ..ids import (
    Address,
    BackendServerName,
    BatchNumber,
    BodyDigest,
    BootId,
    CommandId,
    FailureDomain,
    Fingerprint,
    GroupIndex,
    InstanceName,
    JobName,
    RequestKey,
    Revision,
    ServiceName,
    StepNumber,
    WeightVersion,
)

_NEWEST_VERSION = WeightVersion(2**62)


class Command(msgspec.Struct, frozen=True, tag=True):
    """Base of all commands."""


class CommandResult(msgspec.Struct, frozen=True, tag=True):
    """Base of all results of commands."""


class Done(CommandResult, frozen=True):
    """The command took effect, now or when it was first sent."""


class Refused(CommandResult, frozen=True):
    """The command changed nothing.

    Attributes
    ----------
    reason : str
        Why, in one sentence.
    """

    reason: str


class ServerState(Enum):
    """What a backend server says about itself."""

    SERVING = "serving"
    LEAVING = "leaving"


class Announcement(msgspec.Struct, frozen=True):
    """What a backend server tells when it announces itself.

    Attributes
    ----------
    slots : int
        Requests that it runs at the same time.
    orders : Address or None
        Where it takes orders, when that is not its address.
    """

    server: BackendServerName
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    boot: BootId
    slots: int
    state: ServerState = ServerState.SERVING


class Change(msgspec.Struct, frozen=True):
    """A change of configuration that was accepted.

    Attributes
    ----------
    changes : dict
        New value by dotted key; None removes the key.
    at_ms : int
        Wall time of the leader, milliseconds since the epoch.
    """

    revision: Revision
    changes: dict[str, Any]
    operator: str
    at_ms: int


class ChangeConfiguration(Command, frozen=True):
    """Sets configuration keys, if the revision is still the one named."""

    changes: dict[str, Any]
    based_on: Revision
    operator: str = ""


class ConfigurationChanged(CommandResult, frozen=True):
    """The change was accepted as a revision."""

    revision: Revision


class ConfigurationConflict(CommandResult, frozen=True):
    """Another change came first."""

    revision: Revision
    winner: Change | None


class ConfigurationInvalid(CommandResult, frozen=True):
    """The configuration would hold errors."""

    problems: list[str]


class AnnounceServer(Command, frozen=True):
    """Enters a backend server in the directory."""

    announcement: Announcement


class ForgetServer(Command, frozen=True):
    """Removes a backend server that no longer announces itself."""

    server: BackendServerName
    boot: BootId


class ReleaseVersion(Command, frozen=True):
    """Sets the weight version that a service's backend servers should have."""

    service: ServiceName
    version: WeightVersion


class BodyHolder(msgspec.Struct, frozen=True, array_like=True):
    """An entry process that holds a body in memory."""

    instance: InstanceName
    boot: BootId


class ClaimKey(Command, frozen=True):
    """Claims the right to run a request that must not run twice."""

    key: RequestKey
    fingerprint: Fingerprint
    holder: BodyHolder


class KeyClaimed(CommandResult, frozen=True):
    """The claim is granted; nobody else may run the request."""


class KeyState(Enum):
    """What is known of a request that must not run twice."""

    CLAIMED = "claimed"
    RAN = "ran"
    UNKNOWN = "unknown"


class KeyRecord(msgspec.Struct):
    """One request key.

    Attributes
    ----------
    answer : BodyDigest or None
        Digest of the stored answer, once it ran.
    holders : list of BodyHolder
        Entry processes that hold the answer.
    at_ms : int
        Wall time of the claim, milliseconds since the epoch.
    """

    key: RequestKey
    fingerprint: Fingerprint
    claimant: BodyHolder
    state: KeyState
    at_ms: int
    answer: BodyDigest | None = None
    holders: list[BodyHolder] = []


class KeyHeld(CommandResult, frozen=True):
    """Another attempt claimed the key before."""

    record: KeyRecord


class SettleKey(Command, frozen=True):
    """Ends a claim: with an answer, as unknown, or as never sent.

    Attributes
    ----------
    state : KeyState or None
        None when no byte of the request was sent: the key is free again.
    """

    key: RequestKey
    claimant: BodyHolder
    state: KeyState | None
    answer: BodyDigest | None = None
    holders: list[BodyHolder] = []


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


class AddHolder(Command, frozen=True):
    """Tells that another entry process holds a body."""

    job: JobName
    body: BodyDigest
    holder: BodyHolder


class ReportCrash(Command, frozen=True):
    """Tells that a backend server crashed while a request ran there."""

    fingerprint: Fingerprint
    server: BackendServerName
    boot: BootId


class CrashReported(CommandResult, frozen=True):
    """Tells whether the request is refused from now on."""

    is_condemned: bool


class StartTrial(Command, frozen=True):
    """Asks to run a suspect at a backend server."""

    fingerprint: Fingerprint
    server: BackendServerName
    holder: BodyHolder


class TrialStarted(CommandResult, frozen=True):
    """The request may run.

    Attributes
    ----------
    is_needed : bool
        False when it is no suspect any more.
    """

    is_needed: bool


class TrialEnd(Enum):
    """How a trial ended."""

    CLEARED = "cleared"
    OPEN = "open"


class EndTrial(Command, frozen=True):
    """Ends a trial in which the backend server did not crash."""

    fingerprint: Fingerprint
    holder: BodyHolder
    end: TrialEnd


class Pardon(Command, frozen=True):
    """Forgets what a request did, by an operator's decision."""

    fingerprint: Fingerprint


AnyCommand = (
    ChangeConfiguration
    | AnnounceServer
    | ForgetServer
    | ReleaseVersion
    | ClaimKey
    | SettleKey
    | CreateJob
    | SetTrainerVersion
    | SubmitStep
    | ClaimGroups
    | CommitSamples
    | PullBatch
    | LoseHolders
    | ReportMissing
    | AddHolder
    | ReportCrash
    | StartTrial
    | EndTrial
    | Pardon
)
AnyResult = (
    Done
    | Refused
    | ConfigurationChanged
    | ConfigurationConflict
    | ConfigurationInvalid
    | KeyClaimed
    | KeyHeld
    | GroupsClaimed
    | SamplesCommitted
    | BatchSealed
    | BatchNotReady
    | CrashReported
    | TrialStarted
)


class Proposal(msgspec.Struct, frozen=True):
    """A command as it stands in the log.

    Attributes
    ----------
    command_id : CommandId or None
        Names the command over resends; None when a repeat does no harm.
    at_ms : int
        Wall time of the leader, milliseconds since the epoch.
    """

    command_id: CommandId | None
    at_ms: int
    command: AnyCommand
