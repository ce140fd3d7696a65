"""Claims and settlements of requests that must run at most once."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import BootId, Fingerprint, InstanceName, RequestKey
from .command_base import Command, CommandResult


class Claimant(msgspec.Struct, frozen=True, array_like=True):
    """An entry process that alone may do something."""

    instance: InstanceName
    boot: BootId


class ClaimKey(Command, frozen=True):
    """Claims the right to run a request that must not run twice."""

    key: RequestKey
    fingerprint: Fingerprint
    claimant: Claimant


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
    answer : bytes or None
        The answer, once it ran; None when it is not kept any more.
    at_ms : int
        Wall time of the claim, milliseconds since the epoch.
    """

    key: RequestKey
    fingerprint: Fingerprint
    claimant: Claimant
    state: KeyState
    at_ms: int
    answer: bytes | None = None


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
    claimant: Claimant
    state: KeyState | None
    answer: bytes | None = None


class LoseClaimants(Command, frozen=True):
    """Tells that entry processes ended or cannot be reached."""

    boots: list[BootId]
