"""Snapshots in parts, so that a message stays small however large the state is."""

from __future__ import annotations

import zlib

import msgspec

from .records import Snapshot, SnapshotPart

# A part is sent within a heartbeat on the slowest links that instances have.
PART_BYTES = 1024 * 1024


class OutgoingSnapshot:
    """A snapshot on its way to one follower.

    It stays the same while it is sent, even when the leader stores a newer one.

    Parameters
    ----------
    snapshot : Snapshot
        The snapshot to send.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._checksum = zlib.crc32(snapshot.state)
        self._sent_bytes = 0

    def next_part(self) -> SnapshotPart:
        """Return the part that follows what the follower has received."""
        state = self._snapshot.state
        end = self._sent_bytes + PART_BYTES
        return SnapshotPart(
            snapshot=msgspec.structs.replace(
                self._snapshot, state=state[self._sent_bytes : end]
            ),
            offset=self._sent_bytes,
            total_bytes=len(state),
            checksum=self._checksum,
        )

    def record_received(self, received_bytes: int) -> None:
        """Record how much of the state the follower has received in all."""
        self._sent_bytes = min(received_bytes, len(self._snapshot.state))


class IncomingSnapshot:
    """Collects the parts of one snapshot; a part of another one starts over."""

    def __init__(self) -> None:
        self._identity: tuple | None = None
        self._parts: list[bytes] = []
        self._received_bytes = 0

    @property
    def received_bytes(self) -> int:
        """Bytes of the state that were received without a gap."""
        return self._received_bytes

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """Add a part, and return the snapshot when it is complete.

        A part that was received before, or that follows a gap, has no effect.

        Returns
        -------
        Snapshot or None
            None when parts are missing, and when the complete state does not match
            its checksum, so that it is sent again.
        """
        snapshot = part.snapshot
        identity = (snapshot.term, snapshot.index, part.total_bytes, part.checksum)
        if identity != self._identity:
            self._clear()
            self._identity = identity
        if part.offset == self._received_bytes:
            self._parts.append(snapshot.state)
            self._received_bytes += len(snapshot.state)
        if self._received_bytes < part.total_bytes:
            return None
        state = b"".join(self._parts)
        self._clear()
        if zlib.crc32(state) != part.checksum:
            return None
        return msgspec.structs.replace(snapshot, state=state)

    def _clear(self) -> None:
        self._identity = None
        self._parts = []
        self._received_bytes = 0
