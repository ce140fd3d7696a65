"""Errors of the package; each ends a command in one plain sentence."""

from __future__ import annotations


class PollenError(Exception):
    """Base of all errors that a command prints as one sentence."""

    exit_code = 1


class SettingsError(PollenError):
    """A settings file cannot be read or holds wrong values."""

    exit_code = 2


class StorageError(PollenError):
    """The data folder cannot be read or written."""

    exit_code = 3


class StorageDamagedError(StorageError):
    """A record that was once synced no longer matches its checksum."""


class LogError(PollenError):
    """The replicated log could not carry out a request."""


class NotLeaderError(LogError):
    """The replica that was asked does not lead.

    Parameters
    ----------
    leader : str
        Address of the replica believed to lead, or an empty string.
    """

    def __init__(self, leader: str = "") -> None:
        super().__init__(f"this replica does not lead; try {leader or 'another'}")
        self.leader = leader


class CommitInDoubtError(LogError):
    """A record was appended, but whether it commits is not known."""


class ControlError(PollenError):
    """No control instance answered as asked."""

    exit_code = 4


class CommandInDoubtError(ControlError):
    """A command was sent, but whether it took effect is not known."""


class RequestCondemnedError(PollenError):
    """A request crashed backend servers and is not run again."""

    def __init__(self) -> None:
        super().__init__("the request crashed backend servers and is not run again")


class RequestRefusedError(PollenError):
    """An entry refused a request of an operator or a trainer.

    Parameters
    ----------
    message : str
        Reason in one sentence.
    status : int
        HTTP status of the refusal.
    """

    exit_code = 5

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status
