"""Commands about requests that crash backend servers."""

from __future__ import annotations

from enum import Enum

from ..ids import BackendServerName, BootId, Fingerprint
from .command_base import Command, CommandResult
from .key_commands import Claimant


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
    claimant: Claimant


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
    claimant: Claimant
    end: TrialEnd


class Pardon(Command, frozen=True):
    """Forgets what a request did, by an operator's decision."""

    fingerprint: Fingerprint
