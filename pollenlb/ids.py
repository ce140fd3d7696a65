"""Types of identifiers and sequence numbers that processes exchange."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import Generic, NewType, TypeVar

InstanceName = NewType("InstanceName", str)
FailureDomain = NewType("FailureDomain", str)
ServiceName = NewType("ServiceName", str)
BackendServerName = NewType("BackendServerName", str)
BootId = NewType("BootId", str)
ReplicaId = NewType("ReplicaId", str)
ClusterId = NewType("ClusterId", str)
CommandId = NewType("CommandId", str)
RequestId = NewType("RequestId", str)
RequestKey = NewType("RequestKey", str)
Fingerprint = NewType("Fingerprint", str)
JobName = NewType("JobName", str)
Address = NewType("Address", str)
ModelName = NewType("ModelName", str)
BatchJobId = NewType("BatchJobId", str)
ItemId = NewType("ItemId", str)
WorkspaceName = NewType("WorkspaceName", str)
GroupName = NewType("GroupName", str)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
Revision = NewType("Revision", int)
DocumentVersion = NewType("DocumentVersion", int)
WeightVersion = NewType("WeightVersion", int)
SoftwareVersion = NewType("SoftwareVersion", str)
StepNumber = NewType("StepNumber", int)
GroupIndex = NewType("GroupIndex", int)
BatchNumber = NewType("BatchNumber", int)
UsageWindow = NewType("UsageWindow", int)
FormatVersion = NewType("FormatVersion", int)

_ID_BYTES = 8

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class InWorkspace(Generic[T]):
    """Key of a table for a name that callers choose, which two workspaces may choose.

    Attributes
    ----------
    workspace : WorkspaceName or None
        Workspace of the caller; None where callers need no key.
    name : object
        The name, such as the id of an item.
    """

    workspace: WorkspaceName | None
    name: T


def new_id(prefix: str) -> str:
    """Return a new random identifier.

    Parameters
    ----------
    prefix : str
        Short word for the kind of object that gets the identifier.

    Returns
    -------
    str
        ``prefix-`` followed by 16 hexadecimal digits.
    """
    return f"{prefix}-{secrets.token_hex(_ID_BYTES)}"
