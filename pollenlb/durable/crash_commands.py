"""Commands about requests that crash backend servers."""

from __future__ import annotations

from enum import Enum

from ..ids import BackendServerName, BootId, Fingerprint
from .command_base import Command, CommandResult
from .key_commands import Claimant


class ReportCrash(Command, frozen=True):
    """Reports that a backend server crashed while it ran a request.

    Attributes
    ----------
    fingerprint : Fingerprint
        The request.
    server : BackendServerName
        The backend server.
    boot : BootId
        Process of the backend server that crashed.
    """

    fingerprint: Fingerprint
    server: BackendServerName
    boot: BootId


class CrashReported(CommandResult, frozen=True):
    """The crash was recorded.

    Attributes
    ----------
    is_condemned : bool
        Whether the request is refused from now on.
    """

    is_condemned: bool


class StartTrial(Command, frozen=True):
    """Requests to run a suspect at a backend server.

    Attributes
    ----------
    fingerprint : Fingerprint
        The suspect request.
    server : BackendServerName
        Backend server that would run it.
    claimant : Claimant
        Entry process that would send it there.
    """

    fingerprint: Fingerprint
    server: BackendServerName
    claimant: Claimant


class TrialStarted(CommandResult, frozen=True):
    """The request may run.

    Attributes
    ----------
    is_needed : bool
        Whether the request runs as a trial; False when it is no suspect any more.
    """

    is_needed: bool


class TrialEnd(Enum):
    """How a trial ended.

    Attributes
    ----------
    CLEARED
        The request ran without a crash and is no suspect any more.
    OPEN
        The trial ended without a verdict; the request remains a suspect.
    """

    CLEARED = "cleared"
    OPEN = "open"


class EndTrial(Command, frozen=True):
    """Ends a trial in which the backend server did not crash."""

    fingerprint: Fingerprint
    claimant: Claimant
    end: TrialEnd


class Pardon(Command, frozen=True):
    """Clears a suspect or condemned request, by an operator's decision."""

    fingerprint: Fingerprint
