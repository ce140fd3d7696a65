"""Storage of one replica in its data folder: identity, snapshot and log entries."""

from __future__ import annotations

import asyncio
import errno
import math
import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

import msgspec

from ..clock import now
from ..exceptions import DiskFullError, StorageDamagedError, StorageError
from ..ids import ClusterId, FormatVersion, LogIndex, ReplicaId, Term
from ..release import THIS_RELEASE, Release
from .files import (
    encode_frame,
    read_file,
    read_frames,
    replace_file,
    sync_file,
    sync_folder,
)
from .records import EntryKind, HardState, LogEntry, Member, Snapshot, decode_members
from .snapshot_file import read_snapshot_file, write_snapshot_file
from .uninterrupted import uninterrupted

T = TypeVar("T")

_LOG_FILE = "log"
_HARD_STATE_FILE = "replica"
_SNAPSHOT_FILE = "snapshot"
_NEW_SNAPSHOT_FILE = "snapshot.new"
_RECEIVED_SNAPSHOT_FILE = "snapshot.received"
# A crash may leave them behind.
_TEMPORARY_FILES = (
    "log.new",
    "replica.new",
    _NEW_SNAPSHOT_FILE,
    _RECEIVED_SNAPSHOT_FILE,
)

# Payloads in a frame of a log that is written anew, unless one entry is larger: a frame
# is encoded in memory.
_MAX_FRAME_PAYLOAD_BYTES = 1024 * 1024

_DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)

_encode = msgspec.msgpack.Encoder().encode
_decode_entries = msgspec.msgpack.Decoder(list[LogEntry]).decode
_decode_hard_state = msgspec.msgpack.Decoder(HardState).decode


class Storage:
    """Hard state, snapshot and log entries of one replica.

    Every write returns only after a sync, also to a caller that is cancelled. The state
    in a snapshot is only on the disk, not in memory.

    A write that finds no room raises ``DiskFullError``. It has no effect, in memory or
    on the disk, and later writes are tried again. After any other failed write or
    sync the storage refuses all further writes, since the content of the disk is
    unknown. Methods that write raise ``StorageError`` then.

    Parameters
    ----------
    folder : Path
        The data folder.
    sync : callable
        Syncs the content of a file descriptor to the disk; replaced in tests.
    release : Release
        Release that reads the data folder.
    """

    def __init__(
        self,
        folder: Path,
        sync: Callable[[int], None] = os.fdatasync,
        release: Release = THIS_RELEASE,
    ) -> None:
        self._folder = folder
        self._release = release
        self._sync = sync
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        # Log entries are written while a snapshot is, which takes longer.
        self._snapshot_executor = ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="snapshot"
        )
        self._hard_state: HardState | None = None
        self._snapshot = Snapshot(Term(0), LogIndex(0), [], b"")
        self._entries: list[LogEntry] = []
        self._frame_ends: list[int] = []
        self._members: list[Member] = []
        self._descriptor = -1
        self._failure: StorageError | None = None
        self._is_full = False
        self._has_stale_frames = False
        self._write_started_at: dict[object, float] = {}
        self._log_change_count = 0

    @property
    def is_formatted(self) -> bool:
        """Whether the data folder holds the identity of a replica."""
        return self._hard_state is not None

    @property
    def hard_state(self) -> HardState:
        """Identity, term and vote; only when the data folder is formatted."""
        assert self._hard_state is not None
        return self._hard_state

    @property
    def snapshot(self) -> Snapshot:
        """The latest snapshot without its state; its index is 0 when there is none."""
        return self._snapshot

    @property
    def snapshot_path(self) -> Path:
        """File of the latest snapshot, which a newer one replaces."""
        return self._folder / _SNAPSHOT_FILE

    @property
    def first_index(self) -> LogIndex:
        """Index of the first log entry after the snapshot."""
        return LogIndex(self._snapshot.index + 1)

    @property
    def last_index(self) -> LogIndex:
        """Index of the last log entry, or of the snapshot when none follows it."""
        return LogIndex(self._snapshot.index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last log entry, or of the snapshot when none follows it."""
        return self._entries[-1].term if self._entries else self._snapshot.term

    @property
    def members(self) -> list[Member]:
        """Members by the latest entry of kind ``MEMBERS``, committed or not."""
        return self._members

    @property
    def log_bytes(self) -> int:
        """Size of the log entries after the snapshot, in bytes."""
        return self._frame_ends[-1] if self._frame_ends else 0

    @property
    def oldest_write_age_s(self) -> float:
        """Age of the oldest pending write in seconds; 0 when none is pending.

        Snapshots that are written beside the stored one do not count.
        """
        return (
            now() - min(self._write_started_at.values())
            if self._write_started_at
            else 0.0
        )

    @property
    def is_changing_log(self) -> bool:
        """Whether log entries are being written, removed or replaced by a snapshot.

        The caller holds the lock of the replica, so the term and the vote stay.
        """
        return self._log_change_count > 0

    @property
    def is_full(self) -> bool:
        """Whether the last write found no room on the disk."""
        return self._is_full

    def open(self) -> None:
        """Read the data folder, and create it if it does not exist.

        A last record of the log file that is incomplete or does not match its
        checksum is cut off: a crash interrupted its write.

        Raises
        ------
        StorageDamagedError
            When the hard state, the snapshot or a log record before the last one
            does not match its checksum, or a log entry is missing.
        StorageError
            When the data folder cannot be read, or holds a format that this release
            does not read. It stays as it is then.
        """
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._read_hard_state()
            for name in _TEMPORARY_FILES:
                (self._folder / name).unlink(missing_ok=True)
            self._read_snapshot()
            self._read_log()
        except OSError as error:
            raise StorageError(
                f"data folder {self._folder} cannot be read: {error}"
            ) from error
        self._update_members()

    @uninterrupted
    async def format(self, hard_state: HardState, entries: list[LogEntry]) -> None:
        """Write the identity and the first log entries of a new replica.

        The identity comes last: a crash before it leaves the folder unformatted.
        """
        await self.append(entries)
        await self.save_hard_state(hard_state)

    @uninterrupted
    async def save_hard_state(self, hard_state: HardState) -> None:
        """Write identity, term and vote."""
        payload = _encode(hard_state)
        path = self._folder / _HARD_STATE_FILE
        await self._run_write(lambda: replace_file(path, payload))
        self._hard_state = hard_state

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term at a log index.

        Returns
        -------
        Term or None
            None when the index is before the snapshot or after the last log entry.
        """
        if index == self._snapshot.index:
            return self._snapshot.term
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entries_from(
        self, index: LogIndex, max_count: int, max_bytes: float = math.inf
    ) -> list[LogEntry]:
        """Return log entries from an index on.

        Parameters
        ----------
        index : LogIndex
            Index of the first one.
        max_count : int
            Greatest number of entries.
        max_bytes : float
            Greatest size of their payloads together; the first one may be larger.
        """
        start = index - self.first_index
        entries = self._entries[start : start + max_count]
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.payload)
            if size > max_bytes and count:
                return entries[:count]
        return entries

    @uninterrupted
    async def append(self, entries: list[LogEntry]) -> None:
        """Append log entries and sync them."""
        if not entries:
            return
        data = encode_frame(_encode(entries))
        start = self._frame_ends[-1] if self._frame_ends else 0
        with self._log_change():
            await self._run_write(lambda: self._append_at(start, data))
        self._entries.extend(entries)
        self._frame_ends.extend([start + len(data)] * len(entries))
        if any(entry.kind is EntryKind.MEMBERS for entry in entries):
            self._update_members()

    @uninterrupted
    async def truncate_from(self, index: LogIndex) -> None:
        """Remove the log entries from an index on."""
        position = index - self.first_index
        if position >= len(self._entries):
            return
        with self._log_change():
            await self._rewrite_log(self._entries[:position])
        self._update_members()

    def snapshot_pieces(self) -> Iterator[bytes]:
        """Return the state in the latest snapshot, in pieces.

        Raises
        ------
        StorageDamagedError
            When the file is damaged; also while the pieces are read.
        """
        return read_snapshot_file(self.snapshot_path)[1]

    @uninterrupted
    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot whose state is at hand, as ``adopt_snapshot`` does."""
        if snapshot.index <= self._snapshot.index:
            return
        head = msgspec.structs.replace(snapshot, state=b"")
        path = self._folder / _RECEIVED_SNAPSHOT_FILE
        await self._run_write(
            lambda: write_snapshot_file(path, head, [snapshot.state]),
            self._snapshot_executor,
        )
        with self._log_change():
            await self._adopt(head, path)

    async def write_snapshot(self, head: Snapshot, pieces: Iterable[bytes]) -> None:
        """Write a snapshot beside the stored one, until ``adopt_snapshot``.

        Other writes go on meanwhile.

        Parameters
        ----------
        head : Snapshot
            The snapshot without its state.
        pieces : iterable of bytes
            The state, taken piece by piece in another thread.
        """
        path = self._folder / _NEW_SNAPSHOT_FILE
        await self._run_write(
            lambda: write_snapshot_file(path, head, pieces), self._snapshot_executor
        )

    async def write_received(self, offset: int, data: bytes) -> None:
        """Write a block of a snapshot file that another replica sends.

        Parameters
        ----------
        offset : int
            Bytes before the block; at 0, a new file replaces one received before.
        data : bytes
            The block.
        """
        await self._run_write(
            lambda: self._write_block(offset, data), self._snapshot_executor
        )

    async def check_received(self) -> Snapshot | None:
        """Sync the received file, and return its snapshot without the state.

        None if it is no complete snapshot.
        """
        return await self._run_write(self._sync_and_check, self._snapshot_executor)

    @uninterrupted
    async def adopt_snapshot(self, head: Snapshot, is_received: bool = False) -> None:
        """Replace the stored snapshot, and drop the log entries that it covers.

        When the log has a different entry, or none, at the index of the snapshot, all
        log entries are dropped. A snapshot that is not newer has no effect.

        Parameters
        ----------
        head : Snapshot
            The snapshot without its state.
        is_received : bool
            Whether it is the received one, and not the one that was written last.
        """
        name = _RECEIVED_SNAPSHOT_FILE if is_received else _NEW_SNAPSHOT_FILE
        with self._log_change():
            await self._adopt(head, self._folder / name)

    async def _adopt(self, head: Snapshot, path: Path) -> None:
        if head.index <= self._snapshot.index:
            await self._run_write(lambda: path.unlink(missing_ok=True))
            return
        is_in_log = self.term_at(head.index) == head.term
        retained: list[LogEntry] = []
        if is_in_log:
            retained = self._entries[head.index - self._snapshot.index :]
        await self._run_write(lambda: self._replace_snapshot(path))
        self._snapshot = head
        self._entries = retained
        self._frame_ends = self._frame_ends[len(self._frame_ends) - len(retained) :]
        self._update_members()
        try:
            await self._rewrite_log(retained)
        except DiskFullError:
            # The snapshot is stored. Older entries may stay in the log file until the
            # next change of it.
            self._has_stale_frames = True

    def members_at(self, index: LogIndex) -> list[Member]:
        """Return the members by the log entries up to an index."""
        for entry in reversed(self._entries):
            if entry.index <= index and entry.kind is EntryKind.MEMBERS:
                return decode_members(entry.payload)
        return self._snapshot.members

    def close(self) -> None:
        """Wait for pending writes and close the log file."""
        self._snapshot_executor.shutdown(wait=True)
        self._executor.shutdown(wait=True)
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _read_hard_state(self) -> None:
        payload = read_file(self._folder / _HARD_STATE_FILE)
        if payload is None:
            return
        state = _decode_hard_state(payload)
        if state.format > self._release.reads:
            raise StorageError(
                f"data folder {self._folder} may hold format {state.format}, which a "
                f"later release wrote; this is {self._release}"
            )
        self._hard_state = state

    def _read_snapshot(self) -> None:
        try:
            head, pieces = read_snapshot_file(self.snapshot_path)
        except FileNotFoundError:
            return
        for _ in pieces:  # raises an error when a piece is damaged
            pass
        self._snapshot = head

    def _read_log(self) -> None:
        path = self._folder / _LOG_FILE
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        sync_folder(self._folder)
        data = path.read_bytes()
        end = 0
        is_overruled = False
        for end, payload in read_frames(data, path):
            for entry in _decode_entries(payload):
                if not is_overruled:
                    self._load_entry(entry, end, path)
                    is_overruled = self._is_overruled_by_snapshot(entry)
        if end < len(data):
            os.ftruncate(self._descriptor, end)
            self._sync(self._descriptor)
        if end and not self._frame_ends:
            self._frame_ends = []
            os.ftruncate(self._descriptor, 0)
            self._sync(self._descriptor)

    def _is_overruled_by_snapshot(self, entry: LogEntry) -> bool:
        """Return whether the snapshot has another entry at the index of this one.

        A crash after the snapshot was stored may leave such a log behind.
        """
        is_at_snapshot = entry.index == self._snapshot.index
        return is_at_snapshot and entry.term != self._snapshot.term

    def _load_entry(self, entry: LogEntry, end: int, path: Path) -> None:
        if entry.index <= self._snapshot.index:
            return
        if entry.index != self.last_index + 1:
            raise StorageDamagedError(
                f"{path} is damaged: log entry {self.last_index + 1} is missing "
                f"before {entry.index}"
            )
        self._entries.append(entry)
        self._frame_ends.append(end)

    def _append_at(self, start: int, data: bytes) -> None:
        if self._has_stale_frames:
            os.ftruncate(self._descriptor, start)
            self._has_stale_frames = False
        try:
            _write_all(self._descriptor, data, start)
        except OSError:
            # A shorter write would otherwise be followed by the rest of this one.
            os.ftruncate(self._descriptor, start)
            raise
        sync_file(self._descriptor, self._sync)

    async def _rewrite_log(self, entries: list[LogEntry]) -> None:
        rewrite = self._replace_log if entries else self._clear_log
        frame_ends = await self._run_write(lambda: rewrite(entries))
        self._entries = entries
        self._frame_ends = frame_ends

    def _clear_log(self, _: list[LogEntry]) -> list[int]:
        os.ftruncate(self._descriptor, 0)
        sync_file(self._descriptor, self._sync)
        self._has_stale_frames = False
        return []

    def _replace_log(self, entries: list[LogEntry]) -> list[int]:
        """Write the log file anew, and return the end of the frame of each entry."""
        path = self._folder / _LOG_FILE
        temporary = path.with_suffix(".new")
        descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            frame_ends = _write_frames(descriptor, entries)
            sync_file(descriptor, self._sync)
            os.replace(temporary, path)
        except OSError:
            os.close(descriptor)
            # Gives the room that the incomplete file takes back to a full disk.
            temporary.unlink(missing_ok=True)
            raise
        sync_folder(self._folder)
        os.close(self._descriptor)
        self._descriptor = descriptor
        self._has_stale_frames = False
        return frame_ends

    def _replace_snapshot(self, path: Path) -> None:
        os.replace(path, self.snapshot_path)
        sync_folder(self._folder)

    def _write_block(self, offset: int, data: bytes) -> None:
        path = self._folder / _RECEIVED_SNAPSHOT_FILE
        flags = os.O_RDWR | os.O_CREAT | (0 if offset else os.O_TRUNC)
        descriptor = os.open(path, flags, 0o644)
        try:
            _write_all(descriptor, data, offset)
        except OSError:
            path.unlink(missing_ok=True)
            raise
        finally:
            os.close(descriptor)

    def _sync_and_check(self) -> Snapshot | None:
        path = self._folder / _RECEIVED_SNAPSHOT_FILE
        try:
            head, pieces = read_snapshot_file(path)
            for _ in pieces:
                pass
        except (StorageDamagedError, FileNotFoundError, msgspec.MsgspecError):
            return None
        descriptor = os.open(path, os.O_RDONLY)
        try:
            sync_file(descriptor, os.fsync)
        finally:
            os.close(descriptor)
        return head

    @contextmanager
    def _log_change(self) -> Iterator[None]:
        self._log_change_count += 1
        try:
            yield
        finally:
            self._log_change_count -= 1

    def _update_members(self) -> None:
        self._members = self.members_at(self.last_index)

    async def _run_write(
        self, write: Callable[[], T], executor: ThreadPoolExecutor | None = None
    ) -> T:
        """Run a write in the thread of an executor, by default that of the log."""
        if self._failure is not None:
            raise self._failure
        loop = asyncio.get_running_loop()
        write_id = object()
        if executor is None:
            self._write_started_at[write_id] = now()
        try:
            future = loop.run_in_executor(executor or self._executor, write)
            future.add_done_callback(
                lambda _: self._write_started_at.pop(write_id, None)
            )
            result = await future
        except (OSError, StorageError) as error:
            message = f"write to data folder {self._folder} failed: {error}"
            if isinstance(error, OSError) and error.errno in _DISK_FULL_ERRORS:
                self._is_full = True
                raise DiskFullError(message) from error
            self._failure = StorageError(message)
            raise self._failure from error
        self._is_full = False
        return result


def _write_frames(descriptor: int, entries: list[LogEntry]) -> list[int]:
    """Write log entries frame by frame, and return the end of the frame of each."""
    frame_ends: list[int] = []
    end = 0
    while len(frame_ends) < len(entries):
        start = len(frame_ends)
        count = _count_in_frame(entries, start)
        frame = encode_frame(_encode(entries[start : start + count]))
        _write_all(descriptor, frame, end)
        end += len(frame)
        frame_ends.extend([end] * count)
    return frame_ends


def _count_in_frame(entries: list[LogEntry], start: int) -> int:
    size = 0
    for count in range(len(entries) - start):
        size += len(entries[start + count].payload)
        if size > _MAX_FRAME_PAYLOAD_BYTES and count:
            return count
    return len(entries) - start


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    """Write all bytes; a full disk may accept only some of them, without an error."""
    written = os.pwrite(descriptor, data, offset)
    if written != len(data):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def first_hard_state(
    replica: ReplicaId,
    cluster: ClusterId,
    log_format: FormatVersion = FormatVersion(0),
) -> HardState:
    """Return the hard state of a new replica: term 0, without a vote."""
    return HardState(replica, cluster, Term(0), format=log_format)
