"""Replicated table of idempotency keys: claims of requests that run at most once."""

from __future__ import annotations

import msgspec

from ..ids import BootId, RequestKey
from .command_base import Done, Refused
from .commands import AnyResult
from .key_commands import ClaimKey, KeyClaimed, KeyHeld, KeyRecord, KeyState, SettleKey

KEY_LIFETIME_MS = 24 * 3600 * 1000  # one day; a later repeat of the request runs again
MAX_KEY_COUNT = 200_000
# Total of all retained answers; a tenth of the memory of a small control instance.
MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024


class KeyTable(msgspec.Struct):
    """Claimed and settled idempotency keys, oldest claim first.

    Attributes
    ----------
    records : dict
        Record by key.
    answered : dict
        Size in bytes of each retained answer by key, oldest answer first.
    """

    records: dict[RequestKey, KeyRecord] = {}
    answered: dict[RequestKey, int] = {}

    def claim(self, command: ClaimKey, at_ms: int) -> AnyResult:
        """Grant a claim if the key has no record.

        Parameters
        ----------
        command : ClaimKey
            Key and fingerprint of the request, and the claiming entry process.
        at_ms : int
            Wall time of the leader, milliseconds since the epoch.

        Returns
        -------
        AnyResult
            ``KeyClaimed``; ``KeyHeld`` with the record when the same request
            claimed the key before; ``Refused`` when another request did, or when
            the table is full.
        """
        self._remove_expired(at_ms)
        record = self.records.get(command.key)
        if record is not None:
            if record.fingerprint != command.fingerprint:
                return Refused("the idempotency key was used before by another request")
            return KeyHeld(record)
        if len(self.records) >= MAX_KEY_COUNT:
            return Refused(
                "cannot claim an idempotency key: "
                f"the table holds the maximum of {MAX_KEY_COUNT} keys"
            )
        self.records[command.key] = KeyRecord(
            command.key, command.fingerprint, command.claimant, KeyState.CLAIMED, at_ms
        )
        return KeyClaimed()

    def settle(self, command: SettleKey) -> AnyResult:
        """End a claim with its outcome, or free the key when nothing was sent.

        Only the claimant can settle a key, also after its claim was marked as
        unknown.
        """
        record = self.records.get(command.key)
        if record is None or record.claimant != command.claimant:
            return Refused(
                f"cannot settle idempotency key {command.key}: "
                f"it is not claimed by {command.claimant.instance}"
            )
        if record.state is KeyState.RAN:
            return Refused(
                f"cannot settle idempotency key {command.key}: it is already settled"
            )
        if command.state is None:
            del self.records[command.key]
            return Done()
        record.state = command.state
        if command.answer is not None:
            record.answer = command.answer
            self.answered[command.key] = len(command.answer)
            self._evict_answers()
        return Done()

    def mark_claims_unknown(self, boots: set[BootId]) -> None:
        """Mark open claims of ended or unreachable entry processes as unknown."""
        for record in self.records.values():
            if record.state is KeyState.CLAIMED and record.claimant.boot in boots:
                record.state = KeyState.UNKNOWN

    def open_claim_boots(self) -> set[BootId]:
        """Return the entry processes that hold a claim that is not settled."""
        return {
            record.claimant.boot
            for record in self.records.values()
            if record.state is KeyState.CLAIMED
        }

    def _evict_answers(self) -> None:
        """Discard the oldest answers over the limit; their keys stay settled."""
        total_bytes = sum(self.answered.values())
        while total_bytes > MAX_TOTAL_ANSWER_BYTES:
            oldest_key = next(iter(self.answered))
            total_bytes -= self.answered.pop(oldest_key)
            self.records[oldest_key].answer = None

    def _remove_expired(self, at_ms: int) -> None:
        while self.records:
            oldest = next(iter(self.records.values()))
            if oldest.at_ms + KEY_LIFETIME_MS > at_ms:
                return
            del self.records[oldest.key]
            self.answered.pop(oldest.key, None)
