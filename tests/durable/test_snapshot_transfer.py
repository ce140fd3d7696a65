"""Snapshots in parts: gaps, repeats, other senders and broken connections."""

from __future__ import annotations

import os

import pytest

from pollenlb.durable import snapshot_transfer
from pollenlb.durable.records import Snapshot
from pollenlb.durable.snapshot_transfer import IncomingSnapshot, OutgoingSnapshot

from ..local_system import wait_until
from .replica_set import ReplicaSet, Write, propose


@pytest.fixture(autouse=True)
def small_parts(monkeypatch):
    """Send parts of a few bytes."""
    monkeypatch.setattr(snapshot_transfer, "PART_BYTES", 10)


def _snapshot(size: int, index: int = 7) -> Snapshot:
    return Snapshot(3, index, [], os.urandom(size))


@pytest.mark.parametrize("size", [0, 1, 10, 35])
def test_parts_give_the_snapshot(size):
    """Guards against a state that is cut or joined wrongly."""
    snapshot = _snapshot(size)
    outgoing, incoming = OutgoingSnapshot(snapshot), IncomingSnapshot()
    received = None
    while received is None:
        received = incoming.add(outgoing.next_part())
        outgoing.record_received(incoming.received_bytes)
    assert received == snapshot


def test_part_that_comes_again_has_no_effect():
    """Guards against bytes twice after an answer that was lost."""
    snapshot = _snapshot(35)
    outgoing, incoming = OutgoingSnapshot(snapshot), IncomingSnapshot()
    first = outgoing.next_part()
    assert incoming.add(first) is incoming.add(first) is None
    assert incoming.received_bytes == 10


def test_part_of_another_snapshot_starts_over():
    """Guards against a state that is joined from two snapshots."""
    incoming = IncomingSnapshot()
    incoming.add(OutgoingSnapshot(_snapshot(35)).next_part())
    other = _snapshot(15, index=8)
    outgoing = OutgoingSnapshot(other)
    outgoing.record_received(10)
    assert incoming.add(outgoing.next_part()) is None
    assert incoming.received_bytes == 0
    outgoing.record_received(0)
    incoming.add(outgoing.next_part())
    outgoing.record_received(10)
    assert incoming.add(outgoing.next_part()) == other


async def test_transfer_goes_on_after_a_broken_connection(tmp_path, monkeypatch):
    """Guards against a large state that never reaches an instance without a disk."""
    received = []
    add = IncomingSnapshot.add

    def record_and_add(incoming, part):
        received.append(part.offset)
        return add(incoming, part)

    monkeypatch.setattr(IncomingSnapshot, "add", record_and_add)
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
