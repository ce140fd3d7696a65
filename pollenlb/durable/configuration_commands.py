"""Commands of operators and backend servers."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from ..ids import (
    Address,
    BackendServerName,
    BootId,
    FailureDomain,
    Revision,
    ServiceName,
    WeightVersion,
)
from .command import Command, CommandResult


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
