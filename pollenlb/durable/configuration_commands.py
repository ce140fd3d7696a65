"""Commands of operators and backend servers."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from ..ids import (
    Address,
    BackendServerName,
    BootId,
    DocumentVersion,
    FailureDomain,
    InstanceName,
    ModelName,
    Revision,
    ServiceName,
    WeightVersion,
)
from .command_base import Command, CommandResult


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
    started_at_ms : int
        When its process started, in milliseconds since the epoch by its own
        clock; 0 when it does not tell.
    sequence : int
        Number of the announcement since the start of the process, from 0.
    models : dict
        Weight version that it serves, by model; empty when it does not tell.
    """

    server: BackendServerName
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    boot: BootId
    slots: int
    state: ServerState = ServerState.SERVING
    started_at_ms: int = 0
    sequence: int = 0
    models: dict[ModelName, WeightVersion] = {}

    def differs_beyond_sequence(self, other: Announcement) -> bool:
        """Whether anything but the number of the announcement differs."""
        return msgspec.structs.replace(self, sequence=other.sequence) != other


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


class ReplaceConfiguration(Command, frozen=True):
    """Puts a whole configuration in force, if its version is the highest.

    Attributes
    ----------
    version : DocumentVersion
        Number that the operator gave it.
    document : dict
        Nested tables, as in a settings file.
    source : bytes
        What the operator sent, given back when the configuration is read.
    """

    version: DocumentVersion
    document: dict[str, Any]
    source: bytes


class ConfigurationReplaced(CommandResult, frozen=True):
    """The configuration in force; unchanged when its version is as high."""

    revision: Revision
    version: DocumentVersion


class AnnounceServer(Command, frozen=True):
    """Enters a backend server in the directory."""

    announcement: Announcement


class ForgetServer(Command, frozen=True):
    """Removes a backend server that no longer announces itself."""

    server: BackendServerName
    boot: BootId


class WithdrawServer(Command, frozen=True):
    """Removes a backend server that says it leaves.

    Attributes
    ----------
    started_at_ms : int
        When its process started; 0 when it does not tell.
    """

    server: BackendServerName
    started_at_ms: int = 0


class NoteModelVersion(Command, frozen=True):
    """Enters the weight version that a backend server was seen to serve."""

    server: BackendServerName
    boot: BootId
    model: ModelName
    version: WeightVersion


class ReleaseVersion(Command, frozen=True):
    """Sets the weight version of a model that backend servers should have."""

    model: ModelName
    version: WeightVersion


class VersionSuperseded(CommandResult, frozen=True):
    """A later version of the model was released before."""

    current: WeightVersion


class NoteOrder(Command, frozen=True):
    """Enters an order before it is sent, so that later leaders know of it.

    Attributes
    ----------
    fencing : int
        Number of the order, higher than that of any order before.
    """

    server: BackendServerName
    fencing: int


class RetireInstance(Command, frozen=True):
    """Takes a control instance out of the log, for good."""

    instance: InstanceName
