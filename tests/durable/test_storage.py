"""Storage of one replica under restarts, incomplete writes and damage."""

from __future__ import annotations

import asyncio
import os
import shutil
import tempfile
import threading
import tracemalloc
from asyncio import CancelledError
from contextlib import suppress
from pathlib import Path
from unittest.mock import AsyncMock

import msgspec
import pytest
from hypothesis import given, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from pollenlb.durable.records import EntryKind, LogEntry, Snapshot
from pollenlb.durable.storage import Storage, first_hard_state
from pollenlb.exceptions import DiskFullError, StorageDamagedError, StorageError

from .full_disk import full_disk
from .gated_disk import cancel_at_write


def _entry(term: int, index: int) -> LogEntry:
    payload = b"%d/%d" % (term, index)
    return LogEntry(term, index, EntryKind.COMMAND, payload)


def _write_log(folder: Path, batches: list[int]) -> None:
    storage = Storage(folder)
    storage.open()
    index = 0
    for size in batches:
        entries = [_entry(1, index + 1 + offset) for offset in range(size)]
        asyncio.run(storage.append(entries))
        index += size
    storage.close()


def _open_storage(folder: Path) -> Storage:
    storage = Storage(folder)
    storage.open()
    return storage


@given(batches=st.lists(st.integers(1, 4), min_size=1, max_size=5), data=st.data())
def test_incomplete_last_record_is_removed_and_no_other(batches, data):
    with tempfile.TemporaryDirectory() as folder:
        _write_log(Path(folder), batches)
        log = Path(folder) / "log"
        content = log.read_bytes()
        _write_log(Path(folder) / "shorter", batches[:-1])
        retained_bytes = len((Path(folder) / "shorter" / "log").read_bytes())
        log.write_bytes(
            content[: data.draw(st.integers(retained_bytes, len(content) - 1))]
        )
        storage = _open_storage(Path(folder))
        assert storage.last_index == sum(batches[:-1])
        asyncio.run(storage.append([_entry(2, storage.last_index + 1)]))
        storage.close()
        assert _open_storage(Path(folder)).last_term == 2


@given(batches=st.lists(st.integers(1, 4), min_size=2, max_size=5), data=st.data())
def test_damage_before_the_last_record_raises(batches, data):
    with tempfile.TemporaryDirectory() as folder:
        _write_log(Path(folder), batches)
        _write_log(Path(folder) / "shorter", batches[:-1])
        last_offset = len((Path(folder) / "shorter" / "log").read_bytes()) - 1
        log = Path(folder) / "log"
        content = bytearray(log.read_bytes())
        content[data.draw(st.integers(0, last_offset))] ^= 0xFF
        log.write_bytes(bytes(content))
        with pytest.raises(StorageDamagedError, match="damaged"):
            _open_storage(Path(folder))


@pytest.mark.parametrize("name", ["replica", "snapshot"])
def test_damaged_file_raises_an_error_with_its_name(tmp_path, name):
    storage = _open_storage(tmp_path)
    asyncio.run(storage.save_hard_state(first_hard_state("r", "c")))
    asyncio.run(storage.append([_entry(1, 1)]))
    asyncio.run(storage.save_snapshot(Snapshot(1, 1, [], b"state")))
    storage.close()
    path = tmp_path / name
    content = bytearray(path.read_bytes())
    content[-1] ^= 0xFF
    path.write_bytes(bytes(content))
    with pytest.raises(StorageDamagedError, match=name):
        _open_storage(tmp_path)


def test_nothing_is_written_after_a_failed_sync(tmp_path):
    is_failing = False

    def sync(descriptor: int) -> None:
        if is_failing:
            raise OSError("no space left")

    storage = Storage(tmp_path, sync)
    storage.open()
    asyncio.run(storage.append([_entry(1, 1)]))
    is_failing = True
    with pytest.raises(StorageError, match="no space left"):
        asyncio.run(storage.append([_entry(1, 2)]))
    is_failing = False
    with pytest.raises(StorageError, match="no space left"):
        asyncio.run(storage.append([_entry(1, 2)]))
    assert storage.last_index == 1


_CHANGES = {
    "append": (lambda storage: storage.append([_entry(1, 4)]), 1),
    "truncate": (lambda storage: storage.truncate_from(2), 1),
    "snapshot of the log": (
        lambda storage: storage.save_snapshot(Snapshot(1, 2, [], b"state")),
        3,
    ),
    "snapshot of a leader": (
        lambda storage: storage.save_snapshot(Snapshot(2, 9, [], b"state")),
        3,
    ),
    "hard state": (
        lambda storage: storage.save_hard_state(first_hard_state("b", "c")),
        1,
    ),
}


# Guards against a log with a hole: a cancelled change went on at the disk alone.
@pytest.mark.parametrize(
    ("kind", "write"),
    [(kind, n + 1) for kind, (_, writes) in _CHANGES.items() for n in range(writes)],
)
async def test_cancelled_change_takes_effect_in_memory_and_on_disk(
    tmp_path, kind, write
):
    storage = _open_storage(tmp_path)
    await storage.format(first_hard_state("a", "c"), [_entry(1, 1)])
    await storage.append([_entry(1, 2), _entry(1, 3)])
    await cancel_at_write(storage, _CHANGES[kind][0](storage), write)
    await storage.append([_entry(3, storage.last_index + 1)])
    reopened = _open_storage(tmp_path)
    assert reopened.hard_state == storage.hard_state
    assert reopened.snapshot == storage.snapshot
    entries = storage.entries_from(storage.first_index, 1000)
    assert reopened.entries_from(reopened.first_index, 1000) == entries
    assert entries[-1].term == 3
    reopened.close()
    storage.close()


# Guards against writes after a failed one that nobody waited for any more.
async def test_failed_write_of_a_cancelled_change_is_the_last_one(tmp_path):
    failures = [OSError("no space left")]

    def fail_once(descriptor: int) -> None:
        if failures:
            raise failures.pop()

    storage = Storage(tmp_path, fail_once)
    storage.open()
    with suppress(StorageError):
        await cancel_at_write(storage, storage.append([_entry(1, 1)]), 1)
    with pytest.raises(StorageError, match="no space left"):
        await storage.append([_entry(1, 1)])
    storage.close()


class StorageComparison(RuleBasedStateMachine):
    """Compares a storage with a plain list over random operations and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = Path(tempfile.mkdtemp())
        self.loop = asyncio.new_event_loop()
        self.entries: list[LogEntry] = []
        self.base = 0
        self.term = 1

    @initialize()
    def open(self) -> None:
        self.storage = _open_storage(self.folder)

    @rule(size=st.integers(1, 3))
    def append(self, size: int) -> None:
        first = self.base + len(self.entries) + 1
        new = [_entry(self.term, first + offset) for offset in range(size)]
        self.loop.run_until_complete(self.storage.append(new))
        self.entries += new

    @rule(back=st.integers(0, 3))
    def truncate(self, back: int) -> None:
        retained = max(0, len(self.entries) - back)
        index = self.base + retained + 1
        self.loop.run_until_complete(self.storage.truncate_from(index))
        del self.entries[retained:]
        self.term += 1

    @rule(back=st.integers(0, 3))
    def snapshot(self, back: int) -> None:
        position = len(self.entries) - back
        if position <= 0:
            return
        last = self.entries[position - 1]
        snapshot = Snapshot(last.term, last.index, [], b"state")
        self.loop.run_until_complete(self.storage.save_snapshot(snapshot))
        del self.entries[:position]
        self.base = last.index

    @rule(ahead=st.integers(1, 5))
    def install_snapshot(self, ahead: int) -> None:
        index = self.base + len(self.entries) + ahead
        snapshot = Snapshot(self.term, index, [], b"received")
        self.loop.run_until_complete(self.storage.save_snapshot(snapshot))
        self.entries.clear()
        self.base = index

    @rule(back=st.integers(0, 3), write=st.integers(1, 2))
    def cancelled_truncate(self, back: int, write: int) -> None:
        retained = max(0, len(self.entries) - back)
        change = self.storage.truncate_from(self.base + retained + 1)
        self.loop.run_until_complete(cancel_at_write(self.storage, change, write))
        del self.entries[retained:]
        self.term += 1

    @rule(ahead=st.integers(1, 5), write=st.integers(1, 3))
    def cancelled_install_snapshot(self, ahead: int, write: int) -> None:
        index = self.base + len(self.entries) + ahead
        change = self.storage.save_snapshot(Snapshot(self.term, index, [], b"received"))
        self.loop.run_until_complete(cancel_at_write(self.storage, change, write))
        self.entries.clear()
        self.base = index

    @rule()
    def restart(self) -> None:
        self.storage.close()
        self.storage = _open_storage(self.folder)

    @invariant()
    def entries_are_equal(self) -> None:
        if not hasattr(self, "storage"):
            return
        assert self.storage.first_index == self.base + 1
        found = self.storage.entries_from(self.storage.first_index, 1000)
        assert found == self.entries

    def teardown(self) -> None:
        self.storage.close()
        self.loop.close()
        shutil.rmtree(self.folder)


TestStorageComparison = StorageComparison.TestCase


async def test_write_to_a_full_disk_fails(tmp_path, monkeypatch):
    storage = Storage(tmp_path)
    storage.open()
    await storage.format(first_hard_state("a", "c"), [_entry(1, 1)])
    pwrite = os.pwrite
    monkeypatch.setattr(
        os, "pwrite", lambda fd, data, offset: pwrite(fd, data[:9], offset)
    )
    with pytest.raises(StorageError, match="No space"):
        await storage.append([_entry(1, 2)])
    monkeypatch.undo()
    storage.close()
    reopened = Storage(tmp_path)
    reopened.open()
    assert reopened.last_index == 1
    reopened.close()


async def test_writes_go_on_when_a_full_disk_has_room_again(tmp_path, monkeypatch):
    """Guards against a storage that stays unusable after its disk was full."""
    storage = Storage(tmp_path)
    storage.open()
    await storage.format(first_hard_state("a", "c"), [_entry(1, 1)])
    pwrite = os.pwrite
    monkeypatch.setattr(
        os, "pwrite", lambda fd, data, offset: pwrite(fd, data[:-1], offset)
    )
    with pytest.raises(StorageError, match="No space"):
        await storage.append([_entry(1, 2), _entry(1, 3)])
    assert storage.is_full
    monkeypatch.undo()
    await storage.append([_entry(2, 2)])
    assert not storage.is_full
    storage.close()
    reopened = Storage(tmp_path)
    reopened.open()
    assert reopened.entries_from(1, 10) == [_entry(1, 1), _entry(2, 2)]
    reopened.close()


@pytest.mark.parametrize("write", range(3))
@pytest.mark.parametrize("change", ["truncate", "hard state", "snapshot", "foreign"])
async def test_change_that_a_full_disk_refuses_leaves_memory_and_disk_alike(
    tmp_path, change, write
):
    """Guards against memory that is ahead of a disk without room."""
    storage = Storage(tmp_path)
    storage.open()
    state = first_hard_state("a", "c")
    await storage.format(state, [])
    for index in range(1, 6):
        await storage.append([_entry(1, index)])
    changes = {
        "truncate": lambda: storage.truncate_from(3),
        "hard state": lambda: storage.save_hard_state(
            msgspec.structs.replace(state, term=2)
        ),
        "snapshot": lambda: storage.save_snapshot(Snapshot(1, 3, [], b"s")),
        "foreign": lambda: storage.save_snapshot(Snapshot(2, 3, [], b"s")),
    }
    with full_disk(storage, after_writes=write):
        with suppress(DiskFullError):
            await changes[change]()
    next_index = storage.last_index + 1
    await storage.append([_entry(3, next_index)])
    expected = storage.entries_from(storage.first_index, 10)
    known = (storage.hard_state, storage.snapshot, expected)
    storage.close()
    reopened = Storage(tmp_path)
    reopened.open()
    found = reopened.entries_from(reopened.first_index, 10)
    assert (reopened.hard_state, reopened.snapshot, found) == known
    if known[1].index:
        assert list(reopened.snapshot_pieces()) == [b"s"]
    reopened.close()


def _file_names(folder: Path) -> set[str]:
    return {path.name for path in folder.iterdir()}


async def test_log_entries_are_written_while_a_snapshot_is(tmp_path):
    """Guards against a leader that cannot append during a long write."""
    storage = _open_storage(tmp_path)
    await storage.append([_entry(1, 1), _entry(1, 2)])
    is_taken, may_end = threading.Event(), threading.Event()

    def pieces():
        yield b"first"
        is_taken.set()
        may_end.wait(20)
        yield b"second"

    head = Snapshot(1, 2, [], b"")
    written = asyncio.ensure_future(storage.write_snapshot(head, pieces()))
    await asyncio.to_thread(is_taken.wait, 20)
    await storage.append([_entry(1, 3)])
    assert storage.oldest_write_age_s == 0
    assert storage.snapshot.index == 0
    may_end.set()
    await written
    await storage.adopt_snapshot(head)
    storage.close()
    reopened = _open_storage(tmp_path)
    assert reopened.snapshot == head
    assert list(reopened.snapshot_pieces()) == [b"first", b"second"]
    assert reopened.entries_from(3, 10) == [_entry(1, 3)]
    reopened.close()


async def test_log_that_grew_during_a_snapshot_is_rewritten_without_a_copy(tmp_path):
    """Guards against an instance without memory for a log that grew meanwhile."""
    storage = _open_storage(tmp_path)
    entries = [
        LogEntry(1, index, EntryKind.COMMAND, os.urandom(400_000))
        for index in range(1, 81)
    ]
    for entry in entries:
        await storage.append([entry])
    head = Snapshot(1, 5, [], b"")
    await storage.write_snapshot(head, [b"state"])
    tracemalloc.start()
    try:
        await storage.adopt_snapshot(head)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < storage.log_bytes / 4
    assert storage.log_bytes == (tmp_path / "log").stat().st_size
    await storage.truncate_from(79)
    await storage.append([_entry(2, 79)])
    storage.close()
    reopened = _open_storage(tmp_path)
    assert reopened.entries_from(6, 100) == [*entries[5:78], _entry(2, 79)]
    reopened.close()


async def test_written_snapshot_that_a_newer_one_overtook_is_dropped(tmp_path):
    """Guards against a state that goes back to an older snapshot."""
    storage = _open_storage(tmp_path)
    await storage.append([_entry(1, 1)])
    older = Snapshot(1, 1, [], b"")
    await storage.write_snapshot(older, [b"older"])
    await storage.save_snapshot(Snapshot(2, 9, [], b"newer"))
    await storage.adopt_snapshot(older)
    assert storage.snapshot.index == 9
    assert list(storage.snapshot_pieces()) == [b"newer"]
    assert _file_names(tmp_path) == {"log", "snapshot"}
    storage.close()


async def test_log_that_a_snapshot_overruled_is_not_read_after_a_crash(
    tmp_path, monkeypatch
):
    """Guards against entries of an earlier term behind a received snapshot."""
    storage = _open_storage(tmp_path)
    await storage.append([_entry(1, index) for index in range(1, 6)])
    monkeypatch.setattr(storage, "_rewrite_log", AsyncMock(side_effect=CancelledError))
    with pytest.raises(CancelledError):
        await storage.save_snapshot(Snapshot(3, 4, [], b"newer"))
    storage.close()
    reopened = _open_storage(tmp_path)
    assert (reopened.last_term, reopened.last_index) == (3, 4)
    await reopened.append([_entry(3, 5)])
    reopened.close()
    again = _open_storage(tmp_path)
    assert again.entries_from(5, 10) == [_entry(3, 5)]
    again.close()


@pytest.mark.parametrize("cut", [*range(1, 13), 25, 38])
def test_snapshot_file_without_its_end_is_damaged(tmp_path, cut):
    """Guards against a state of which the last batch jobs are missing."""
    storage = _open_storage(tmp_path)
    asyncio.run(storage.write_snapshot(Snapshot(1, 1, [], b""), [b"a", b"b"]))
    asyncio.run(storage.adopt_snapshot(Snapshot(1, 1, [], b"")))
    storage.close()
    path = tmp_path / "snapshot"
    path.write_bytes(path.read_bytes()[:-cut])
    with pytest.raises(StorageDamagedError, match="snapshot"):
        _open_storage(tmp_path)


def test_files_that_a_crash_left_behind_are_removed(tmp_path):
    """Guards against a disk that fills with incomplete snapshots."""
    _write_log(tmp_path, [1])
    for name in ("snapshot.new", "snapshot.received", "log.new", "replica.new"):
        (tmp_path / name).write_bytes(b"incomplete")
    _open_storage(tmp_path).close()
    assert _file_names(tmp_path) == {"log"}
