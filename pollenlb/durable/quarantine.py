"""Requests that were running when a backend server crashed."""

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

MOST_RECORDS = 10_000
RECORD_LIFETIME_MS = 24 * 3600 * 1000


class Trial(msgspec.Struct, frozen=True):
    """A suspect that runs at one backend server, where no other suspect runs."""

    server: BackendServerName
    claimant: Claimant


class Suspect(msgspec.Struct):
    """A request that was running when a backend server crashed.

    Attributes
    ----------
    is_condemned : bool
        Whether it is refused everywhere: its server crashed during a trial.
    """

    boots: list[BootId]
    at_ms: int
    trial: Trial | None = None
    is_condemned: bool = False


class Quarantine(msgspec.Struct):
    """Suspects by fingerprint, oldest first, bounded in number and age.

    After a crash all requests that were running there are suspects. A suspect
    runs at one backend server at a time, and a backend server runs one suspect
    at a time, so that a crash in a trial has one suspect to blame.

    Attributes
    ----------
    suspects : dict
        Suspect by fingerprint.
    """

    suspects: dict[Fingerprint, Suspect] = {}

    def report(self, command: ReportCrash, at_ms: int) -> AnyResult:
        """Make a request a suspect, or condemn it after a crash in its trial."""
        self._expire(at_ms)
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
        """Let a suspect run, if neither it nor another one runs there."""
        suspect = self.suspects.get(command.fingerprint)
        if suspect is None:
            return TrialStarted(is_needed=False)
        if suspect.is_condemned:
            return Refused("the request crashed backend servers")
        if suspect.trial is not None:
            return Refused("the request is running at another backend server")
        for other in self.suspects.values():
            if other.trial is not None and other.trial.server == command.server:
                return Refused("another suspect is running at the backend server")
        suspect.trial = Trial(command.server, command.claimant)
        return TrialStarted(is_needed=True)

    def end_trial(self, command: EndTrial) -> AnyResult:
        """End a trial; a suspect that ran without a crash is cleared."""
        suspect = self.suspects.get(command.fingerprint)
        if suspect is None or suspect.trial is None:
            return Done()
        if suspect.trial.claimant != command.claimant:
            return Refused("the trial is another entry's")
        suspect.trial = None
        if command.end is TrialEnd.CLEARED:
            del self.suspects[command.fingerprint]
        return Done()

    def pardon(self, command: Pardon) -> AnyResult:
        """Forget what a request did."""
        if self.suspects.pop(command.fingerprint, None) is None:
            return Refused("there is no such suspect")
        return Done()

    def lose_claimants(self, boots: set[BootId]) -> None:
        """End the trials of ended entry processes without a verdict."""
        for suspect in self.suspects.values():
            if suspect.trial is not None and suspect.trial.claimant.boot in boots:
                suspect.trial = None

    def trial_boots(self) -> set[BootId]:
        """Return the entry processes that hold a trial."""
        trials = [suspect.trial for suspect in self.suspects.values()]
        return {trial.claimant.boot for trial in trials if trial is not None}

    def _expire(self, at_ms: int) -> None:
        while self.suspects:
            fingerprint, oldest = next(iter(self.suspects.items()))
            is_old = oldest.at_ms + RECORD_LIFETIME_MS <= at_ms
            if not is_old and len(self.suspects) < MOST_RECORDS:
                return
            del self.suspects[fingerprint]
