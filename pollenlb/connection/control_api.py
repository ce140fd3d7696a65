"""Messages between entries and control instances."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from ..durable.commands import AnyCommand, AnyResult
from ..durable.configuration_commands import Announcement, Change
from ..durable.job_commands import JobSettings
from ..durable.leases import EntryInfo
from ..durable.records import Member
from ..ids import (
    Address,
    BackendServerName,
    CommandId,
    Fingerprint,
    JobName,
    LogIndex,
    ReplicaId,
    Revision,
    ServiceName,
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
    releases: dict[ServiceName, WeightVersion]


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


class RenewRequest(msgspec.Struct, frozen=True):
    """Renews a lease and asks for what changed.

    Attributes
    ----------
    revision : Revision
        Configuration revision that the entry has in force.
    directory, ledger, quarantine, entries : int
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


class RenewAnswer(msgspec.Struct, frozen=True):
    """The lease, and those views that changed.

    Attributes
    ----------
    lease_s : float
        Seconds that the lease lasts from the moment the request was sent.
    """

    status: CallStatus
    leader: Address = Address("")
    lease_s: float = 0.0
    configuration: ConfigurationView | None = None
    directory: DirectoryView | None = None
    ledger: LedgerView | None = None
    quarantine: QuarantineView | None = None
    entries: EntriesView | None = None


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
    releases: dict[ServiceName, WeightVersion]
    jobs: dict[JobName, JobView]
    suspects: dict[Fingerprint, bool]


PROPOSE = Method(_SERVICE, "Propose", ProposeRequest, ProposeAnswer)
RENEW = Method(_SERVICE, "Renew", RenewRequest, RenewAnswer)
STATUS = Method(_SERVICE, "Status", StatusRequest, StatusAnswer)
