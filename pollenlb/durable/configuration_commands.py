"""Commands on the configuration, backend servers, weight versions and instances."""

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
    SoftwareVersion,
    WeightVersion,
)
from .command_base import Command, CommandResult


class ServerState(Enum):
    """State that a backend server announces for itself."""

    SERVING = "serving"
    LEAVING = "leaving"


class Announcement(msgspec.Struct, frozen=True):
    """Description of a backend server that it sends to register itself.

    Attributes
    ----------
    server : BackendServerName
        Name of the backend server.
    service : ServiceName
        Service that it belongs to.
    address : Address
        Address at which it accepts requests.
    failure_domain : FailureDomain
        Failure domain in which it runs.
    boot : BootId
        Id of its process, new at each start.
    slots : int
        Number of requests that it runs concurrently.
    state : ServerState
        Whether it serves or is about to leave.
    started_at_ms : int
        Start time of its process, in milliseconds since the epoch by its own
        clock; 0 when it does not report it.
    sequence : int
        Sequence number of the announcement since the start of the process, from 0.
    models : dict
        Weight version that it serves, by model; empty when it does not report it.
    software : SoftwareVersion
        Version of its software; empty when it does not report it.
    is_reclaimable : bool
        Whether the infrastructure may reclaim it at any time.
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
    software: SoftwareVersion = SoftwareVersion("")
    is_reclaimable: bool = False

    def differs_beyond_sequence(self, other: Announcement) -> bool:
        """Return whether anything but the sequence number differs."""
        return msgspec.structs.replace(self, sequence=other.sequence) != other


class Change(msgspec.Struct, frozen=True):
    """An accepted change of the configuration.

    Attributes
    ----------
    revision : Revision
        Revision that the change led to.
    changes : dict
        New value by dotted key; None removes the key.
    operator : str
        Name that the operator gave; empty when none was given.
    at_ms : int
        Wall time of the leader, milliseconds since the epoch.
    """

    revision: Revision
    changes: dict[str, Any]
    operator: str
    at_ms: int


class ChangeConfiguration(Command, frozen=True):
    """Sets or removes configuration keys, if the revision is still the expected one.

    Attributes
    ----------
    changes : dict
        New value by dotted key; None removes the key.
    based_on : Revision
        Revision that the configuration must have.
    operator : str
        Name that the operator gave; empty when none was given.
    """

    changes: dict[str, Any]
    based_on: Revision
    operator: str = ""


class ConfigurationChanged(CommandResult, frozen=True):
    """The change was accepted and led to a new revision."""

    revision: Revision


class ConfigurationConflict(CommandResult, frozen=True):
    """The change was not accepted, since the configuration has another revision.

    Attributes
    ----------
    revision : Revision
        Current revision.
    winner : Change or None
        Change that followed the expected revision, or else the latest one; None
        when no change is on record.
    """

    revision: Revision
    winner: Change | None


class ConfigurationInvalid(CommandResult, frozen=True):
    """The change was not accepted, since the configuration would be invalid.

    Attributes
    ----------
    problems : list of str
        A message for each problem, with its key.
    """

    problems: list[str]


class ReplaceConfiguration(Command, frozen=True):
    """Replaces the complete configuration, if its version is the highest so far.

    Attributes
    ----------
    version : DocumentVersion
        Version that the operator gave it.
    document : dict
        Nested tables, as in a settings file.
    source : bytes
        Body that the operator sent, returned when the configuration is read.
    """

    version: DocumentVersion
    document: dict[str, Any]
    source: bytes


class ConfigurationReplaced(CommandResult, frozen=True):
    """The latest configuration; unchanged if the command's version was not higher.

    Attributes
    ----------
    revision : Revision
        Revision of the configuration.
    version : DocumentVersion
        Version that the operator gave to the latest complete configuration.
    """

    revision: Revision
    version: DocumentVersion


class AnnounceServer(Command, frozen=True):
    """Registers a backend server in the directory, or updates its announcement."""

    announcement: Announcement


class ForgetServer(Command, frozen=True):
    """Removes a backend server that has stopped announcing itself.

    Attributes
    ----------
    server : BackendServerName
        The backend server.
    boot : BootId
        Process that stopped; a later process of the same name stays registered.
    """

    server: BackendServerName
    boot: BootId


class WithdrawServer(Command, frozen=True):
    """Removes a backend server that reports that it leaves.

    Attributes
    ----------
    server : BackendServerName
        The backend server.
    started_at_ms : int
        Start time of its process, in milliseconds since the epoch by its own
        clock; 0 when it does not report it.
    """

    server: BackendServerName
    started_at_ms: int = 0


class NoteModelVersion(Command, frozen=True):
    """Records the weight version that a backend server was observed to serve."""

    server: BackendServerName
    boot: BootId
    model: ModelName
    version: WeightVersion


class ReleaseVersion(Command, frozen=True):
    """Sets the weight version of a model that backend servers should have."""

    model: ModelName
    version: WeightVersion


class VersionSuperseded(CommandResult, frozen=True):
    """The version was not released, since a later one had been released before.

    Attributes
    ----------
    current : WeightVersion
        Version that is released.
    """

    current: WeightVersion


class NoteOrder(Command, frozen=True):
    """Records an order before it is sent, so that later leaders know of it.

    An order tells a backend server to change its weights.

    Attributes
    ----------
    server : BackendServerName
        Backend server that gets the order.
    fencing : int
        Fencing number of the order, higher than that of any earlier order.
    boot : BootId
        Process that is to load the version.
    model : ModelName
        Model whose version it is to load; empty if owners of batch jobs need not
        know of the load.
    version : WeightVersion
        Version that it is to load.
    """

    server: BackendServerName
    fencing: int
    boot: BootId = BootId("")
    model: ModelName = ModelName("")
    version: WeightVersion = WeightVersion(0)


class AbandonLoad(Command, frozen=True):
    """Records that a backend server does not load the version it was to load.

    Attributes
    ----------
    server : BackendServerName
        The backend server.
    fencing : int
        Fencing number of the order to load the version; a later order stays.
    """

    server: BackendServerName
    fencing: int


class AssignEngines(Command, frozen=True):
    """Divides the engines of a service among its models.

    Attributes
    ----------
    models : dict
        Model of each engine; others follow from an even division.
    """

    service: ServiceName
    models: dict[BackendServerName, ModelName]


class RetireInstance(Command, frozen=True):
    """Removes a control instance from the replicas of the log permanently."""

    instance: InstanceName
