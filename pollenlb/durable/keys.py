"""Keys of requests that must run at most once."""

from __future__ import annotations

import msgspec

from ..ids import BootId, RequestKey
from .command import Done, Refused
from .commands import AnyResult
from .key_commands import ClaimKey, KeyClaimed, KeyHeld, KeyRecord, KeyState, SettleKey

KEY_LIFETIME_MS = 24 * 3600 * 1000
MOST_KEYS = 200_000


class KeyTable(msgspec.Struct):
    """Claims and settled requests by key, oldest first.

    Attributes
    ----------
    records : dict
        Record by key.
    """

    records: dict[RequestKey, KeyRecord] = {}

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
            command.key, command.fingerprint, command.holder, KeyState.CLAIMED, at_ms
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
        record.answer = command.answer
        record.holders = list(command.holders)
        return Done()

    def lose_holders(self, boots: set[BootId]) -> None:
        """Settle the claims of ended processes as unknown, drop them as holders."""
        for record in self.records.values():
            if record.state is KeyState.CLAIMED and record.claimant.boot in boots:
                record.state = KeyState.UNKNOWN
            record.holders = [each for each in record.holders if each.boot not in boots]

    def boots(self) -> set[BootId]:
        """Return the processes that claims and holders name."""
        found = set()
        for record in self.records.values():
            if record.state is KeyState.CLAIMED:
                found.add(record.claimant.boot)
            found.update(holder.boot for holder in record.holders)
        return found

    def _expire(self, at_ms: int) -> None:
        while self.records:
            oldest = next(iter(self.records.values()))
            if oldest.at_ms + KEY_LIFETIME_MS > at_ms:
                return
            del self.records[oldest.key]
