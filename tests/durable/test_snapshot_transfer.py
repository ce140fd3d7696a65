"""Snapshots in blocks and parts: gaps, repeats, other senders, broken connections."""

from __future__ import annotations

import asyncio
import os
import threading
import zlib
from collections.abc import Iterator

import msgspec
import pytest

from pollenlb.durable import snapshot_transfer, storage as storage_module
from pollenlb.durable.files import replace_file
from pollenlb.durable.records import Snapshot, SnapshotBlockRequest, SnapshotPart
from pollenlb.durable.snapshot_transfer import (
    IncomingSnapshot,
    SnapshotReceiver,
    SnapshotSender,
)
from pollenlb.durable.storage import Storage

from ..local_system import wait_until
from .replica_set import ReplicaSet, Write, propose

_PART_BYTES = 10


@pytest.fixture(autouse=True)
def small_blocks(monkeypatch):
    """Send blocks of a few bytes."""
    monkeypatch.setattr(snapshot_transfer, "BLOCK_BYTES", 10)


@pytest.fixture
def open_storage(tmp_path) -> Iterator:
    """Return a function that opens a storage in a folder with a given name."""
    storages = []

    def open_folder(name: str) -> Storage:
        storages.append(Storage(tmp_path / name))
        storages[-1].open()
        return storages[-1]

    yield open_folder
    for storage in storages:
        storage.close()


def _snapshot(size: int, index: int = 7) -> Snapshot:
    return Snapshot(3, index, [], os.urandom(size))


def _parts(snapshot: Snapshot) -> list[SnapshotPart]:
    """Return the parts in which a replica of an earlier release sends a snapshot."""
    state = snapshot.state
    return [
        SnapshotPart(
            msgspec.structs.replace(
                snapshot, state=state[offset : offset + _PART_BYTES]
            ),
            offset,
            len(state),
            zlib.crc32(state),
        )
        for offset in range(0, max(1, len(state)), _PART_BYTES)
    ]


@pytest.mark.parametrize("size", [0, 1, 10, 35])
def test_parts_give_the_snapshot(size):
    """Guards against a state that is cut or joined wrongly."""
    snapshot = _snapshot(size)
    incoming = IncomingSnapshot()
    received = [incoming.add(part) for part in _parts(snapshot)]
    assert received[-1] == snapshot
    assert not any(received[:-1])


def test_part_that_comes_again_has_no_effect():
    """Guards against bytes twice after an answer that was lost."""
    incoming = IncomingSnapshot()
    first = _parts(_snapshot(35))[0]
    assert incoming.add(first) is incoming.add(first) is None
    assert incoming.received_bytes == 10


def test_part_of_another_snapshot_starts_over():
    """Guards against a state that is joined from two snapshots."""
    incoming = IncomingSnapshot()
    incoming.add(_parts(_snapshot(35))[0])
    other = _snapshot(15, index=8)
    first, second = _parts(other)
    assert incoming.add(second) is None
    assert incoming.received_bytes == 0
    incoming.add(first)
    assert incoming.add(second) == other


def _request(sender: SnapshotSender, replica: str = "leader") -> SnapshotBlockRequest:
    block = sender.next_block()
    return SnapshotBlockRequest(
        "cluster",
        replica,
        "follower",
        3,
        "127.0.0.1:1",
        sender.head,
        block.offset,
        sender.total_bytes,
        block.data,
    )


async def _save(storage: Storage, index: int, pieces: list[bytes]) -> None:
    head = Snapshot(3, index, [], b"")
    await storage.write_snapshot(head, pieces)
    await storage.adopt_snapshot(head)


async def _transfer(
    sender: SnapshotSender, receiver: SnapshotReceiver, replica: str = "leader"
) -> int:
    """Send blocks until the file is complete, and return their number."""
    for count in range(1, 1000):
        if await receiver.add(_request(sender, replica)):
            return count
        sender.record_received(receiver.received_bytes)
    raise AssertionError("the file is never complete")


@pytest.mark.parametrize("sizes", [[], [1], [10, 35], [0, 9, 0]])
async def test_blocks_give_the_file(open_storage, sizes):
    """Guards against a state that is cut or joined wrongly."""
    leader, follower = open_storage("leader"), open_storage("follower")
    pieces = [os.urandom(size) for size in sizes]
    await _save(leader, 7, pieces)
    await _transfer(SnapshotSender(leader), SnapshotReceiver(follower))
    await follower.adopt_snapshot(leader.snapshot, is_received=True)
    assert follower.snapshot == leader.snapshot
    assert list(follower.snapshot_pieces()) == [piece for piece in pieces if piece]


async def test_block_that_comes_again_has_no_effect(open_storage):
    """Guards against bytes twice after an answer that was lost."""
    leader, follower = open_storage("leader"), open_storage("follower")
    await _save(leader, 7, [os.urandom(35)])
    sender, receiver = SnapshotSender(leader), SnapshotReceiver(follower)
    assert not await receiver.add(_request(sender))
    assert not await receiver.add(_request(sender))
    assert receiver.received_bytes == 10


async def test_file_that_starts_over_again_and_again_is_no_progress(open_storage):
    """Guards against a voter without room for a snapshot that is never replaced."""
    leader = open_storage("leader")
    await leader.save_snapshot(Snapshot(1, 4, [], b"state" * 10))
    sender = SnapshotSender(leader)
    received = [10, 20, 0, 10, 20, 0, 21]
    progress = [sender.record_received(count) for count in received]
    assert progress == [True, True, False, False, False, False, True]
    sender.close()


async def test_snapshot_stays_the_same_while_it_is_sent(open_storage):
    """Guards against a file that is joined from two snapshots of a leader."""
    leader, follower = open_storage("leader"), open_storage("follower")
    await _save(leader, 7, [b"a" * 35])
    sender, receiver = SnapshotSender(leader), SnapshotReceiver(follower)
    await receiver.add(_request(sender))
    sender.record_received(receiver.received_bytes)
    await _save(leader, 8, [b"b" * 35])
    await _transfer(sender, receiver)
    await follower.adopt_snapshot(sender.head, is_received=True)
    assert (follower.snapshot.index, *follower.snapshot_pieces()) == (7, b"a" * 35)


async def test_sender_that_starts_while_the_file_is_replaced_sends_its_head(
    open_storage, monkeypatch
):
    """Guards against a state that is taken for that of an older index."""
    leader, follower = open_storage("leader"), open_storage("follower")
    await _save(leader, 7, [b"a" * 35])
    is_replaced, may_go_on = threading.Event(), threading.Event()
    sync_folder = storage_module.sync_folder

    def hold(folder):
        is_replaced.set()
        may_go_on.wait(20)
        sync_folder(folder)

    monkeypatch.setattr(storage_module, "sync_folder", hold)
    saved = asyncio.ensure_future(_save(leader, 8, [b"b" * 35]))
    await asyncio.to_thread(is_replaced.wait, 20)
    assert leader.snapshot.index == 7
    sender, receiver = SnapshotSender(leader), SnapshotReceiver(follower)
    may_go_on.set()
    await saved
    await _transfer(sender, receiver)
    await follower.adopt_snapshot(sender.head, is_received=True)
    assert (follower.snapshot.index, *follower.snapshot_pieces()) == (8, b"b" * 35)


async def test_file_with_another_head_than_announced_is_not_installed(open_storage):
    """Guards against a state that is taken for that of another index."""
    leader, follower = open_storage("leader"), open_storage("follower")
    await _save(leader, 7, [b"a"])
    sender, receiver = SnapshotSender(leader), SnapshotReceiver(follower)
    received = None
    while sender.next_block().data:
        request = _request(sender)
        other = msgspec.structs.replace(sender.head, index=6)
        received = await receiver.add(msgspec.structs.replace(request, head=other))
        sender.record_received(request.offset + len(request.data))
    assert received is None
    assert receiver.received_bytes == 0


async def test_blocks_of_another_leader_start_over(open_storage):
    """Guards against a file that is joined from the snapshots of two leaders."""
    follower = open_storage("follower")
    receiver = SnapshotReceiver(follower)
    for number, name in enumerate(["first", "second"]):
        leader = open_storage(name)
        await _save(leader, 7, [bytes([number]) * 35])
        sender = SnapshotSender(leader)
        if not number:
            await receiver.add(_request(sender, name))
    assert not await receiver.add(_request(sender, "second"))
    sender.record_received(receiver.received_bytes)
    assert receiver.received_bytes == 10
    await _transfer(sender, receiver, "second")
    await follower.adopt_snapshot(sender.head, is_received=True)
    assert list(follower.snapshot_pieces()) == [b"\x01" * 35]


async def test_damaged_file_is_not_installed(open_storage):
    """Guards against a state that was changed on its way."""
    leader, follower = open_storage("leader"), open_storage("follower")
    await _save(leader, 7, [os.urandom(8)])
    sender, receiver = SnapshotSender(leader), SnapshotReceiver(follower)
    is_complete = None
    while sender.next_block().data:
        request = _request(sender)
        damaged = bytes(byte ^ 0xFF for byte in request.data)
        is_complete = await receiver.add(msgspec.structs.replace(request, data=damaged))
        sender.record_received(request.offset + len(request.data))
    assert is_complete is None
    assert receiver.received_bytes == 0


async def test_snapshot_of_an_earlier_release_is_sent_and_read(open_storage, tmp_path):
    """Guards against a state that is lost with an update."""
    (tmp_path / "leader").mkdir()
    old = Snapshot(3, 7, [], b"state")
    replace_file(tmp_path / "leader" / "snapshot", msgspec.msgpack.encode(old))
    leader, follower = open_storage("leader"), open_storage("follower")
    assert list(leader.snapshot_pieces()) == [b"state"]
    await _transfer(SnapshotSender(leader), SnapshotReceiver(follower))
    await follower.adopt_snapshot(leader.snapshot, is_received=True)
    assert follower.snapshot == leader.snapshot == Snapshot(3, 7, [], b"")
    assert list(follower.snapshot_pieces()) == [b"state"]


async def test_transfer_goes_on_after_a_broken_connection(tmp_path, monkeypatch):
    """Guards against a large state that never reaches an instance without a disk."""
    received = []
    add = SnapshotReceiver.add

    async def record_and_add(receiver, request):
        received.append(request.offset)
        return await add(receiver, request)

    monkeypatch.setattr(SnapshotReceiver, "add", record_and_add)
    async with ReplicaSet(tmp_path, seed=41, snapshot_every=20) as replicas:
        leader = await replicas.leader()
        lagging = next(node for node in replicas.nodes if node is not leader)
        await lagging.kill()
        lagging.delete_data_folder()
        for value in range(60):
            await propose(leader, Write(f"key {value}", value))
        await wait_until(lambda: leader.replica.storage.first_index > 40)
        await lagging.start()
        await wait_until(lambda: len(received) > 5)
        replicas.isolate(lagging)
        replicas.heal(lagging)
        await wait_until(lambda: lagging.registers.values.get("key 59") == 59)
