"""Commands on duties: calls that one control instance at a time makes."""

from __future__ import annotations

import msgspec

from ..ids import (
    BootId,
    FailureDomain,
    InstanceName,
    ServiceName,
    UsageWindow,
    WorkspaceName,
)
from .command_base import Command


class EntryUsage(msgspec.Struct, frozen=True):
    """Requests that one entry process counted in one window.

    Attributes
    ----------
    boot : BootId
        The entry process.
    counts : dict
        Number of requests by workspace, since the process started.
    """

    boot: BootId
    window: UsageWindow
    counts: dict[WorkspaceName, int]


class DutyCall(msgspec.Struct, frozen=True):
    """A call to the infrastructure's API and the response to it.

    Attributes
    ----------
    subject : str
        What the call was about, for operators.
    at_ms : int
        Wall time of the response, milliseconds since the epoch.
    status : int
        HTTP status of the response; 0 without a response.
    """

    subject: str
    at_ms: int
    status: int


class TakeDuties(Command, frozen=True):
    """Makes a control instance the holder of all duties, with a new fencing number."""

    holder: InstanceName


class OpenUsage(Command, frozen=True):
    """Sets the first window that is reported; later ones of its kind have no effect."""

    window: UsageWindow


class RecordUsage(Command, frozen=True):
    """Replaces counts of entry processes, for windows that are not sealed."""

    counts: list[EntryUsage]


class SealUsage(Command, frozen=True):
    """Fixes the counts of a window, which must be the first that is not sealed."""

    window: UsageWindow


class SkipUsage(Command, frozen=True):
    """Leaves out the windows before one that are not sealed; they get no report."""

    before: UsageWindow


class CloseUsage(Command, frozen=True):
    """Ends the report of a sealed window.

    Attributes
    ----------
    call : DutyCall or None
        The accepted call; None if the report was given up.
    """

    window: UsageWindow
    call: DutyCall | None = None


class ReplicaSubject(msgspec.Struct, frozen=True, array_like=True):
    """The backend servers of one kind that an order is about.

    Attributes
    ----------
    is_reclaimable : bool
        Whether the infrastructure may reclaim them at any time.
    """

    service: ServiceName
    failure_domain: FailureDomain
    is_reclaimable: bool


class OrderReplicas(Command, frozen=True):
    """Records the number of backend servers that is about to be ordered.

    Attributes
    ----------
    earlier_count : int
        Number that was in force before, to which a rejected order returns.
    reason : str
        Why, for operators.
    """

    subject: ReplicaSubject
    count: int
    earlier_count: int
    reason: str


class EndReplicaOrder(Command, frozen=True):
    """Records the response to an order.

    Attributes
    ----------
    is_accepted : bool
        Whether the number is in force; else the one before stays.
    """

    subject: ReplicaSubject
    count: int
    is_accepted: bool
    call: DutyCall
