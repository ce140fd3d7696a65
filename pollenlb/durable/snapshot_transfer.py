"""Transfer of snapshot files in blocks, from disk to disk.

Neither a message nor what a process keeps in memory grows with the state.
"""

from __future__ import annotations

import os
import zlib
from dataclasses import dataclass

import msgspec

from .records import Snapshot, SnapshotBlockRequest, SnapshotPart
from .snapshot_file import read_snapshot_head
from .storage import Storage

# A block is sent within a heartbeat on the slowest links that instances have.
BLOCK_BYTES = 1024 * 1024


@dataclass(frozen=True)
class SnapshotBlock:
    """A block of a snapshot file.

    Attributes
    ----------
    offset : int
        Bytes of the file before the block.
    data : bytes
        The block.
    """

    offset: int
    data: bytes


class SnapshotSender:
    """The stored snapshot on its way to one follower.

    It stays the same while it is sent, even when the leader stores a newer one.

    Parameters
    ----------
    storage : Storage
        Storage of the leader.
    """

    def __init__(self, storage: Storage) -> None:
        self._file = storage.snapshot_path.open("rb")
        # The storage replaces the file before it knows the newer snapshot.
        self._head = read_snapshot_head(self._file)
        self._total_bytes = os.fstat(self._file.fileno()).st_size
        self._sent_bytes = 0
        self._most_sent_bytes = 0

    @property
    def head(self) -> Snapshot:
        """The snapshot without its state."""
        return self._head

    @property
    def total_bytes(self) -> int:
        """Size of the file."""
        return self._total_bytes

    def next_block(self) -> SnapshotBlock:
        """Return the block that follows what the follower has received."""
        data = os.pread(self._file.fileno(), BLOCK_BYTES, self._sent_bytes)
        return SnapshotBlock(self._sent_bytes, data)

    def record_received(self, received_bytes: int) -> bool:
        """Record how much of the file the follower has received in all.

        Returns
        -------
        bool
            Whether that is more than ever before. A file that starts over again and
            again is of no use to the follower.
        """
        self._sent_bytes = min(received_bytes, self._total_bytes)
        is_more = self._sent_bytes > self._most_sent_bytes
        self._most_sent_bytes = max(self._most_sent_bytes, self._sent_bytes)
        return is_more

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class SnapshotReceiver:
    """Writes the blocks of one snapshot file to the disk; another one starts over.

    Parameters
    ----------
    storage : Storage
        Storage of the follower.
    """

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._identity: tuple | None = None
        self._received_bytes = 0

    @property
    def received_bytes(self) -> int:
        """Bytes of the file that were received without a gap."""
        return self._received_bytes

    async def add(self, request: SnapshotBlockRequest) -> Snapshot | None:
        """Write a block, and return the head of the file when it is complete.

        A block that was received before, or that follows a gap, has no effect. A file
        that is damaged, or has another head than was announced, starts over.
        """
        head = request.head
        identity = (request.sender, head.term, head.index, request.total_bytes)
        if identity != self._identity:
            self._identity = identity
            self._received_bytes = 0
        if request.offset == self._received_bytes:
            try:
                await self._storage.write_received(request.offset, request.data)
            except BaseException:
                # The file is not there any more after an error.
                self._received_bytes = 0
                raise
            self._received_bytes += len(request.data)
        if self._received_bytes < request.total_bytes:
            return None
        self._identity = None
        self._received_bytes = 0
        received = await self._storage.check_received()
        return received if received == head else None


class IncomingSnapshot:
    """Collects the parts of one snapshot, as replicas of earlier releases send them.

    A part of another snapshot starts over.
    """

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
