"""Commands on idempotency keys: claims of requests that must run at most once."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import BootId, Fingerprint, InstanceName, RequestKey
from .command_base import Command, CommandResult


class Claimant(msgspec.Struct, frozen=True, array_like=True):
    """Entry process that holds an exclusive claim.

    Attributes
    ----------
    instance : InstanceName
        Instance of the entry process.
    boot : BootId
        Id of the process, new at each start.
    """

    instance: InstanceName
    boot: BootId


class ClaimKey(Command, frozen=True):
    """Claims the exclusive right to run a request that must run at most once.

    Attributes
    ----------
    key : RequestKey
        Idempotency key of the request.
    fingerprint : Fingerprint
        Tells the request from another one that uses the same key.
    claimant : Claimant
        Entry process that is to run the request.
    """

    key: RequestKey
    fingerprint: Fingerprint
    claimant: Claimant


class KeyClaimed(CommandResult, frozen=True):
    """The claim is granted; no other entry process may run the request."""


class KeyState(Enum):
    """What is known about a request that must run at most once.

    Attributes
    ----------
    CLAIMED
        An entry process has the exclusive right to run it.
    RAN
        It ran and was answered.
    UNKNOWN
        It may have run; it is not run again.
    """

    CLAIMED = "claimed"
    RAN = "ran"
    UNKNOWN = "unknown"


class KeyRecord(msgspec.Struct):
    """Record of one idempotency key.

    Attributes
    ----------
    key : RequestKey
        Idempotency key of the request.
    fingerprint : Fingerprint
        Tells the request from another one that uses the same key.
    claimant : Claimant
        Entry process that claimed the key.
    state : KeyState
        What is known about the request.
    at_ms : int
        Wall time of the claim, milliseconds since the epoch.
    answer : bytes or None
        Answer of a request that ran; None before, or when it is not retained.
    """

    key: RequestKey
    fingerprint: Fingerprint
    claimant: Claimant
    state: KeyState
    at_ms: int
    answer: bytes | None = None


class KeyHeld(CommandResult, frozen=True):
    """The key was claimed before, by the same or another entry process.

    Attributes
    ----------
    record : KeyRecord
        Record of that claim.
    """

    record: KeyRecord


class SettleKey(Command, frozen=True):
    """Ends a claim: with an answer, as unknown, or as never sent.

    Attributes
    ----------
    key : RequestKey
        Idempotency key of the request.
    claimant : Claimant
        Entry process that claimed the key.
    state : KeyState or None
        Outcome; None when no byte of the request was sent, so that the key can
        be claimed again.
    answer : bytes or None
        Answer to retain for repeats of the request.
    """

    key: RequestKey
    claimant: Claimant
    state: KeyState | None
    answer: bytes | None = None


class LoseClaimants(Command, frozen=True):
    """Reports entry processes that ended or cannot be reached.

    Attributes
    ----------
    boots : list of BootId
        Boot ids of these processes.
    """

    boots: list[BootId]
