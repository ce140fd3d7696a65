"""Replicated quarantine: requests that are suspected to crash backend servers."""

from __future__ import annotations

import msgspec

from ..ids import BackendServerName, BootId, Fingerprint
from .command_base import Done, Refused
from .commands import AnyResult
from .crash_commands import (
    CrashReported,
    EndTrial,
    Pardon,
    ReportCrash,
    StartTrial,
    TrialEnd,
    TrialStarted,
)
from .key_commands import Claimant

MAX_SUSPECT_COUNT = 10_000
SUSPECT_LIFETIME_MS = 24 * 3600 * 1000  # one day after the first crash


class Trial(msgspec.Struct, frozen=True):
    """Run of a suspect at one backend server, where no other suspect runs.

    Attributes
    ----------
    server : BackendServerName
        Backend server that runs the suspect.
    claimant : Claimant
        Entry process that runs the request.
    """

    server: BackendServerName
    claimant: Claimant


class Suspect(msgspec.Struct):
    """A request that was running when a backend server crashed.

    Attributes
    ----------
    boots : list of BootId
        Boot ids of the backend servers that crashed while running it.
    at_ms : int
        Wall time of the first crash report, milliseconds since the epoch.
    trial : Trial or None
        Its trial, while it runs.
    is_condemned : bool
        Whether it is refused by all entry processes, since a backend server
        crashed during its trial.
    """

    boots: list[BootId]
    at_ms: int
    trial: Trial | None = None
    is_condemned: bool = False


class Quarantine(msgspec.Struct):
    """Suspects by fingerprint, oldest first, bounded in number and age.

    After a crash, all requests that were running at the backend server are
    suspects. A suspect runs at one backend server at a time, and a backend server
    runs one suspect at a time, so that a crash during a trial identifies the
    request that caused it.

    Attributes
    ----------
    suspects : dict
        Suspect by fingerprint.
    """

    suspects: dict[Fingerprint, Suspect] = {}

    def report_crash(self, command: ReportCrash, at_ms: int) -> AnyResult:
        """Make a request a suspect, or condemn it after a crash during its trial.

        Parameters
        ----------
        command : ReportCrash
            Request, and the backend server that crashed while running it; a
            repeat for the same boot id has no effect.
        at_ms : int
            Wall time of the leader, milliseconds since the epoch.
        """
        self._remove_expired(at_ms)
        suspect = self.suspects.setdefault(command.fingerprint, Suspect([], at_ms))
        if command.boot in suspect.boots:
            return CrashReported(suspect.is_condemned)
        suspect.boots.append(command.boot)
        trial = suspect.trial
        if trial is not None and trial.server == command.server:
            suspect.is_condemned = True
            suspect.trial = None
        return CrashReported(suspect.is_condemned)

    def start_trial(self, command: StartTrial) -> AnyResult:
        """Start a trial, if the suspect runs nowhere and the server runs no other.

        A request that is no suspect may run without a trial.
        """
        suspect = self.suspects.get(command.fingerprint)
        if suspect is None:
            return TrialStarted(is_needed=False)
        if suspect.is_condemned:
            return Refused("cannot start a trial: the request crashed backend servers")
        if suspect.trial is not None:
            return Refused(
                f"cannot start a trial at {command.server}: "
                f"the request is already on trial at {suspect.trial.server}"
            )
        for other in self.suspects.values():
            if other.trial is not None and other.trial.server == command.server:
                return Refused(
                    f"cannot start a trial at {command.server}: "
                    "another suspect is on trial there"
                )
        suspect.trial = Trial(command.server, command.claimant)
        return TrialStarted(is_needed=True)

    def end_trial(self, command: EndTrial) -> AnyResult:
        """End a trial; a suspect that ran to its end without a crash is removed."""
        suspect = self.suspects.get(command.fingerprint)
        if suspect is None or suspect.trial is None:
            return Done()
        if suspect.trial.claimant != command.claimant:
            return Refused(
                f"cannot end the trial at {suspect.trial.server}: "
                f"it belongs to entry process {suspect.trial.claimant.instance}"
            )
        suspect.trial = None
        if command.end is TrialEnd.CLEARED:
            del self.suspects[command.fingerprint]
        return Done()

    def pardon(self, command: Pardon) -> AnyResult:
        """Remove a suspect, condemned or not, so that the request may run again."""
        if self.suspects.pop(command.fingerprint, None) is None:
            return Refused(
                f"cannot pardon request {command.fingerprint}: it is no suspect"
            )
        return Done()

    def abandon_trials(self, boots: set[BootId]) -> None:
        """End trials of ended or unreachable entry processes without a verdict."""
        for suspect in self.suspects.values():
            if suspect.trial is not None and suspect.trial.claimant.boot in boots:
                suspect.trial = None

    def trial_boots(self) -> set[BootId]:
        """Return the entry processes that hold a trial."""
        trials = [suspect.trial for suspect in self.suspects.values()]
        return {trial.claimant.boot for trial in trials if trial is not None}

    def _remove_expired(self, at_ms: int) -> None:
        """Remove expired suspects, and the oldest ones while the table is full."""
        while self.suspects:
            fingerprint, oldest = next(iter(self.suspects.items()))
            is_expired = oldest.at_ms + SUSPECT_LIFETIME_MS <= at_ms
            if not is_expired and len(self.suspects) < MAX_SUSPECT_COUNT:
                return
            del self.suspects[fingerprint]
