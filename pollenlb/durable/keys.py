"""Keys of requests that must run at most once."""

from __future__ import annotations

import msgspec

from ..ids import BootId, RequestKey
from .command_base import Done, Refused
from .commands import AnyResult
from .key_commands import ClaimKey, KeyClaimed, KeyHeld, KeyRecord, KeyState, SettleKey

KEY_LIFETIME_MS = 24 * 3600 * 1000
MOST_KEYS = 200_000
# All answers together; a tenth of the memory of a small control instance.
MOST_ANSWER_BYTES = 16 * 1024 * 1024


class KeyTable(msgspec.Struct):
    """Claims and settled requests by key, oldest first.

    Attributes
    ----------
    records : dict
        Record by key.
    answered : dict
        Size in bytes of each answer that is kept, the oldest first, by key.
    """

    records: dict[RequestKey, KeyRecord] = {}
    answered: dict[RequestKey, int] = {}

    def claim(self, command: ClaimKey, at_ms: int) -> AnyResult:
        """Grant a claim if the key was never claimed."""
        self._expire(at_ms)
        record = self.records.get(command.key)
        if record is not None:
            if record.fingerprint != command.fingerprint:
                return Refused("the key was used before for another request")
            return KeyHeld(record)
        if len(self.records) >= MOST_KEYS:
            return Refused("the table of request keys is full")
        self.records[command.key] = KeyRecord(
            command.key, command.fingerprint, command.claimant, KeyState.CLAIMED, at_ms
        )
        return KeyClaimed()

    def settle(self, command: SettleKey) -> AnyResult:
        """End a claim; only its claimant can, also after it was given up."""
        record = self.records.get(command.key)
        if record is None or record.claimant != command.claimant:
            return Refused("the key is not claimed by this process")
        if record.state is KeyState.RAN:
            return Refused("the key is settled already")
        if command.state is None:
            del self.records[command.key]
            return Done()
        record.state = command.state
        if command.answer is not None:
            record.answer = command.answer
            self.answered[command.key] = len(command.answer)
            self._drop_answers()
        return Done()

    def lose_claimants(self, boots: set[BootId]) -> None:
        """Settle the claims of ended processes as unknown."""
        for record in self.records.values():
            if record.state is KeyState.CLAIMED and record.claimant.boot in boots:
                record.state = KeyState.UNKNOWN

    def open_claim_boots(self) -> set[BootId]:
        """Return the processes whose claims are not settled."""
        return {
            record.claimant.boot
            for record in self.records.values()
            if record.state is KeyState.CLAIMED
        }

    def _drop_answers(self) -> None:
        size = sum(self.answered.values())
        while size > MOST_ANSWER_BYTES:
            oldest = next(iter(self.answered))
            size -= self.answered.pop(oldest)
            self.records[oldest].answer = None

    def _expire(self, at_ms: int) -> None:
        while self.records:
            oldest = next(iter(self.records.values()))
            if oldest.at_ms + KEY_LIFETIME_MS > at_ms:
                return
            del self.records[oldest.key]
            self.answered.pop(oldest.key, None)
