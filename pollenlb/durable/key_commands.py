"""Claims and settlements of requests that must run at most once."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import BodyDigest, BootId, Fingerprint, InstanceName, RequestKey
from .command import Command, CommandResult


class BodyHolder(msgspec.Struct, frozen=True, array_like=True):
    """An entry process that holds a body in memory."""

    instance: InstanceName
    boot: BootId


class ClaimKey(Command, frozen=True):
    """Claims the right to run a request that must not run twice."""

    key: RequestKey
    fingerprint: Fingerprint
    holder: BodyHolder


class KeyClaimed(CommandResult, frozen=True):
    """The claim is granted; nobody else may run the request."""


class KeyState(Enum):
    """What is known of a request that must not run twice."""

    CLAIMED = "claimed"
    RAN = "ran"
    UNKNOWN = "unknown"


class KeyRecord(msgspec.Struct):
    """One request key.

    Attributes
    ----------
    answer : BodyDigest or None
        Digest of the stored answer, once it ran.
    holders : list of BodyHolder
        Entry processes that hold the answer.
    at_ms : int
        Wall time of the claim, milliseconds since the epoch.
    """

    key: RequestKey
    fingerprint: Fingerprint
    claimant: BodyHolder
    state: KeyState
    at_ms: int
    answer: BodyDigest | None = None
    holders: list[BodyHolder] = []


class KeyHeld(CommandResult, frozen=True):
    """Another attempt claimed the key before."""

    record: KeyRecord


class SettleKey(Command, frozen=True):
    """Ends a claim: with an answer, as unknown, or as never sent.

    Attributes
    ----------
    state : KeyState or None
        None when no byte of the request was sent: the key is free again.
    """

    key: RequestKey
    claimant: BodyHolder
    state: KeyState | None
    answer: BodyDigest | None = None
    holders: list[BodyHolder] = []
