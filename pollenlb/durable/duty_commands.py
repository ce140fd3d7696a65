"""Commands on duties: calls that one control instance at a time makes."""

from __future__ import annotations

import msgspec

from ..ids import BootId, InstanceName, UsageWindow, WorkspaceName
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
