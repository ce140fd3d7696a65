"""Exceptions of the package.

A command that ends with one prints its message and exits with ``exit_code``.
"""

from __future__ import annotations


class PollenError(Exception):
    """Base class of the package's exceptions; its message is one sentence."""

    exit_code = 1


class SettingsError(PollenError):
    """A settings file cannot be read or holds invalid values."""

    exit_code = 2


class StorageError(PollenError):
    """The data folder of a replica cannot be read or written."""

    exit_code = 3


class DiskFullError(StorageError):
    """A write found no room on the disk and had no effect; a later one may succeed."""


class StorageDamagedError(StorageError):
    """A record that was synced to disk no longer matches its checksum."""


class LogError(PollenError):
    """The replicated log could not execute a request."""


class NotLeaderError(LogError):
    """The replica that got the request is not the leader.

    Parameters
    ----------
    leader : str
        Address of the presumed leader, or an empty string if it is not known.
    """

    def __init__(self, leader: str = "") -> None:
        super().__init__(f"this replica is not the leader; try {leader or 'another'}")
        self.leader = leader


class UnreadableFormatError(LogError):
    """A command was refused, since a member of the log could not read it."""


class CommitInDoubtError(LogError):
    """A log entry was appended, but whether it will be committed is unknown."""


class ControlError(PollenError):
    """No control instance or entry process completed the request in time."""

    exit_code = 4


class CommandInDoubtError(ControlError):
    """A command was sent, but whether it takes effect is unknown."""


class RequestCondemnedError(PollenError):
    """A request is refused, since it crashed backend servers before."""

    def __init__(self) -> None:
        super().__init__("the request crashed backend servers and is not run again")


class RequestRefusedError(PollenError):
    """An entry process refused a request of an operator or a trainer.

    Parameters
    ----------
    message : str
        Reason in one sentence.
    status : int
        HTTP status of the answer, from 400 to 499.
    """

    exit_code = 5

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status
