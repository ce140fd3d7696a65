"""The replicated log under kills, partitions, lost disks and restarts."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import threading
import time
from contextlib import ExitStack

import pytest

from fakes.relay import LinkState
from pollenlb.commands.control import format_data_folder
from pollenlb.durable import leadership as leadership_module
from pollenlb.durable.records import Member, Snapshot
from pollenlb.exceptions import (
    CommitInDoubtError,
    DiskFullError,
    LogError,
    NotLeaderError,
    StorageError,
)
from pollenlb.ids import Address

from ..local_system import wait_until
from .full_disk import full_disk
from .gated_disk import cancel_at_write
from .linearizability import Operation, is_linearizable
from .replica_set import Node, Registers, ReplicaSet, Write, propose

_KEYS = ("a", "b", "c")
_CLIENT_COUNT = 4
_FAULT_COUNT = 7


def _others(replicas: ReplicaSet, *nodes: Node) -> list[Node]:
    return [node for node in replicas.nodes if node not in nodes]


async def test_isolated_leader_confirms_nothing_and_steps_down(tmp_path):
    async with ReplicaSet(tmp_path, seed=1) as replicas:
        old = await replicas.write("x", 1)
        replicas.isolate(old)
        proposal = asyncio.create_task(propose(old, Write("x", 2)))
        new = await replicas.write("x", 3, among=_others(replicas, old))
        with pytest.raises((CommitInDoubtError, NotLeaderError)):
            await proposal
        with pytest.raises(NotLeaderError):
            await old.replica.confirm_leadership()
        replicas.heal(old)
        await wait_until(lambda: old.registers.values.get("x") == 3)
        assert new.registers.values["x"] == 3


async def test_leader_without_its_quorum_confirms_no_read(tmp_path):
    options = {"election_timeout_s": 3.0}
    async with ReplicaSet(tmp_path, seed=9, **options) as replicas:
        leader = await replicas.write("x", 1)
        replicas.isolate(leader)
        with pytest.raises((NotLeaderError, TimeoutError)):
            async with asyncio.timeout(1.0):
                await leader.replica.confirm_leadership()
        assert leader.replica.leadership is not None


async def test_cut_off_replica_does_not_report_the_leader_that_it_followed(tmp_path):
    async with ReplicaSet(tmp_path, seed=2) as replicas:
        leader = await replicas.write("x", 1)
        follower = _others(replicas, leader)[0]
        await wait_until(lambda: follower.replica.leader_address == leader.address)
        replicas.isolate(follower)
        await wait_until(lambda: not follower.replica.has_leader_contact())
        assert follower.replica.leader_address == ""
        with pytest.raises(NotLeaderError) as refusal:
            await follower.replica.confirm_leadership()
        assert refusal.value.leader == ""
        replicas.heal(follower)
        await wait_until(lambda: follower.replica.leader_address == leader.address)


async def test_reconnected_leader_does_not_end_the_term_of_the_new_one(tmp_path):
    async with ReplicaSet(tmp_path, seed=2) as replicas:
        old = await replicas.write("x", 1)
        replicas.isolate(old)
        new = await replicas.write("x", 2, among=_others(replicas, old))
        term = new.replica.term
        replicas.heal(old)
        await wait_until(lambda: old.registers.values.get("x") == 2)
        assert (await replicas.leader()).replica.term == term


async def test_replica_behind_a_snapshot_catches_up_after_a_restart(tmp_path):
    async with ReplicaSet(tmp_path, seed=3, snapshot_every=50) as replicas:
        leader = await replicas.leader()
        lagging = _others(replicas, leader)[0]
        await lagging.kill()
        # A leader that is slowed down loses its only follower for longer than the
        # election timeout and rightly ends its term, so writes are sent again.
        running = _others(replicas, lagging)
        for value in range(300):
            leader = await replicas.write("x", value, among=running)
        await wait_until(lambda: leader.replica.storage.first_index > 200)
        await lagging.start()
        await wait_until(lambda: lagging.registers.values.get("x") == 299)


async def test_restart_of_all_replicas_keeps_every_acknowledged_write(tmp_path):
    async with ReplicaSet(tmp_path, seed=4, snapshot_every=20) as replicas:
        for value in range(50):
            await replicas.write(f"k{value}", value)
        for node in replicas.nodes:
            await node.kill()
        for node in replicas.nodes:
            await node.start()
        leader = await replicas.leader()
        assert leader.registers.values == {f"k{value}": value for value in range(50)}


async def _lose_disk_then_leader(replicas: ReplicaSet, keeps_identity: bool) -> Node:
    """Commit a write on two of three replicas, then make both copies unavailable.

    The leader is killed. The other replica loses its disk and restarts, with its
    old identity or without one. Returns the killed leader.
    """
    leader = await replicas.leader()
    empty, lagging = _others(replicas, leader)
    replicas.isolate(lagging)
    await propose(leader, Write("x", 1))
    await empty.kill()
    await leader.kill()
    empty.delete_data_folder()
    if keeps_identity:
        await format_data_folder(empty.settings, empty.release)
    replicas.heal(lagging)
    await empty.start()
    return leader


async def test_old_identity_with_an_empty_disk_loses_a_committed_write(tmp_path):
    # Shows the failure that a new identity for each data folder prevents: the
    # replica forgot the write and votes for a candidate that never had it.
    async with ReplicaSet(tmp_path, seed=5) as replicas:
        leader = await _lose_disk_then_leader(replicas, keeps_identity=True)
        new = await replicas.leader(among=_others(replicas, leader))
        assert "x" not in new.registers.values


async def test_replica_that_lost_its_disk_does_not_vote(tmp_path):
    async with ReplicaSet(tmp_path, seed=5) as replicas:
        leader = await _lose_disk_then_leader(replicas, keeps_identity=False)
        remaining = _others(replicas, leader)
        with pytest.raises(TimeoutError):
            timeout_s = 8 * replicas.nodes[0].settings.election_timeout_s
            await wait_until(
                lambda: any(node.is_ready_leader for node in remaining), timeout_s
            )
        await leader.start()
        new = await replicas.leader()
        assert new.registers.values == {"x": 1}
        await wait_until(lambda: _is_repaired(new, replicas.nodes))
        await wait_until(
            lambda: all(node.registers.values == {"x": 1} for node in replicas.nodes)
        )


def _voters(leader: Node) -> set[str]:
    members = leader.committed_members
    return {member.replica for member in members if member.is_voter}


def _is_repaired(leader: Node, nodes: list[Node]) -> bool:
    """Return whether the current identity of every node is a committed voter."""
    storages = [node.replica.storage for node in nodes if node.replica is not None]
    identities = {
        storage.hard_state.replica for storage in storages if storage.is_formatted
    }
    return len(identities) == len(nodes) and identities <= _voters(leader)


async def test_second_lost_disk_just_after_a_repair_loses_no_write(tmp_path):
    async with ReplicaSet(tmp_path, seed=6) as replicas:
        leader = await replicas.write("x", 1)
        first, second = _others(replicas, leader)
        await first.kill()
        first.delete_data_folder()
        await first.start()
        await wait_until(lambda: _is_repaired(leader, [leader, first]))
        await second.kill()
        second.delete_data_folder()
        await replicas.write("y", 2, among=[leader, first])
        await second.start()
        await wait_until(lambda: _is_repaired(leader, replicas.nodes))
        await leader.kill()
        new = await replicas.leader(among=[first, second])
        assert new.registers.values == {"x": 1, "y": 2}


async def test_learner_votes_only_when_it_has_caught_up(tmp_path):
    async with ReplicaSet(tmp_path, seed=7) as replicas:
        leader = await replicas.write("x", 1)
        empty, healthy = _others(replicas, leader)
        await empty.kill()
        empty.delete_data_folder()
        for relay in (leader.relays[empty.address], healthy.relays[empty.address]):
            relay.interrupt()
        await empty.start()
        await wait_until(lambda: len(leader.replica.storage.members) == 3)
        await wait_until(lambda: len(_voters(leader)) == 2)
        replicas.isolate(healthy)
        proposal = asyncio.create_task(propose(leader, Write("x", 2)))
        with pytest.raises(LogError):
            await proposal
        replicas.heal(healthy)
        for relay in (leader.relays[empty.address], healthy.relays[empty.address]):
            relay.restore()
        await replicas.write("x", 3)
        new = await replicas.leader()
        await wait_until(lambda: _is_repaired(new, replicas.nodes))


async def test_a_failed_sync_stops_the_replica(tmp_path):
    async with ReplicaSet(tmp_path, seed=8) as replicas:
        leader = await replicas.leader()
        failing = _others(replicas, leader)[0]

        def fail(descriptor: int) -> None:
            raise OSError("sync failed")

        failing.replica.storage._sync = fail
        await replicas.write("x", 1)
        with pytest.raises(StorageError):
            async with asyncio.timeout(30):
                await failing.replica.fatal_error


# Guards against a state that lags behind the snapshot in the log's place.
@pytest.mark.parametrize("write", [1, 2, 3])
async def test_cancelled_installation_of_a_snapshot_takes_effect(tmp_path, write):
    async with ReplicaSet(tmp_path, seed=9) as replicas:
        leader = await replicas.write("x", 1)
        follower = _others(replicas, leader)[0]
        replicas.isolate(follower)
        replica = follower.replica
        snapshot = Snapshot(replica.term, 500, [], b"\x81\xa1x\x07")

        async def install() -> None:
            async with replica.lock:
                await replica.install_snapshot(snapshot)

        await cancel_at_write(replica.storage, install(), write)
        assert replica.storage.snapshot.index == 500
        assert follower.registers.values == {"x": 7}
        assert replica.applied_index == replica.commit_index == 500


class _Recorder:
    """Runs clients and records the history of their operations by register."""

    def __init__(self, replicas: ReplicaSet, seed: int) -> None:
        self.replicas = replicas
        self.rng = random.Random(seed)
        self.history: dict[str, list[Operation]] = {key: [] for key in _KEYS}
        self.is_stopped = False
        self._clock = itertools.count()
        self._values = itertools.count(1)

    async def run_client(self) -> None:
        while not self.is_stopped:
            live = [node for node in self.replicas.nodes if node.replica is not None]
            if not live:
                await asyncio.sleep(0.01)
                continue
            await self._run_operation(self.rng.choice(live), self.rng.choice(_KEYS))
            await asyncio.sleep(self.rng.uniform(0.005, 0.03))

    async def _run_operation(self, node: Node, key: str) -> None:
        kind = self.rng.choice(("read", "write", "swap"))
        expected = node.registers.values.get(key, 0)
        called_at = next(self._clock)
        value = next(self._values)
        returned_at: float = math.inf
        is_applied: bool | None = None
        try:
            if kind == "read":
                await node.replica.confirm_leadership()
                value = node.registers.values.get(key, 0)
            else:
                swap_from = expected if kind == "swap" else None
                is_applied = await propose(node, Write(key, value, swap_from))
            returned_at = next(self._clock)
        except (NotLeaderError, AssertionError):
            return
        except CommitInDoubtError:
            if kind == "read":
                return
        operation = Operation(kind, value, called_at, returned_at, expected, is_applied)
        self.history[key].append(operation)


async def _inject_fault(replicas: ReplicaSet, rng: random.Random) -> None:
    """Inject one random fault for 0.2 to 1 s, remove it, and wait for recovery."""
    node = rng.choice(replicas.nodes)
    fault = rng.choice(("kill", "cut", "close", "disk", "leader"))
    print(f"fault {fault} at {node.settings.name}")
    if fault == "leader":
        leaders = [node for node in replicas.nodes if node.is_ready_leader]
        node = leaders[0] if leaders else node
        fault = "cut"
    if fault in ("cut", "close"):
        replicas.isolate(node, LinkState.SILENT if fault == "cut" else LinkState.CLOSED)
    else:
        await node.kill()
        if fault == "disk":
            node.delete_data_folder()
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    if fault in ("cut", "close"):
        replicas.heal(node)
    else:
        await node.start()
    await wait_until(
        lambda: any(
            node.is_ready_leader and _is_repaired(node, replicas.nodes)
            for node in replicas.nodes
        )
    )


@pytest.mark.parametrize("seed", [11, 12, 13])
async def test_concurrent_operations_are_linearizable_under_faults(tmp_path, seed):
    print(f"seed {seed}")
    rng = random.Random(seed)
    async with ReplicaSet(tmp_path, seed, snapshot_every=30) as replicas:
        await replicas.leader()
        recorder = _Recorder(replicas, seed)
        clients = [
            asyncio.create_task(recorder.run_client()) for _ in range(_CLIENT_COUNT)
        ]
        for _ in range(_FAULT_COUNT):
            await _inject_fault(replicas, rng)
        recorder.is_stopped = True
        async with asyncio.timeout(60):
            await asyncio.gather(*clients)
    assert all(len(history) > 10 for history in recorder.history.values())
    for key, history in recorder.history.items():
        assert is_linearizable(history), (key, history)


async def test_leader_whose_disk_stalls_steps_down(tmp_path):
    async with ReplicaSet(tmp_path, seed=31) as replicas:
        leader = await replicas.write("x", 1)
        is_disk_released = threading.Event()
        sync = leader.replica.storage._sync

        def stall(descriptor: int) -> None:
            is_disk_released.wait()
            sync(descriptor)

        leader.replica.storage._sync = stall
        proposal = asyncio.create_task(propose(leader, Write("y", 2)))
        try:
            others = _others(replicas, leader)
            new = await replicas.write("z", 3, among=others)
            assert new is not leader
            with pytest.raises(LogError):
                await proposal
        finally:
            is_disk_released.set()
        await wait_until(lambda: leader.registers.values.get("z") == 3)


async def test_leader_whose_disk_is_full_gives_up_its_term_and_returns(tmp_path):
    """Guards against a full disk that ends the process or stops the log."""
    async with ReplicaSet(tmp_path, seed=33) as replicas:
        leader = await replicas.write("x", 1)
        with full_disk(leader.replica.storage):
            with pytest.raises(LogError):
                await propose(leader, Write("y", 2))
            others = _others(replicas, leader)
            assert await replicas.write("z", 3, among=others) is not leader
            for value in range(5):
                await replicas.write("z", value, among=others)
            assert leader.replica.leadership is None
            assert not leader.replica.fatal_error.done()
        await wait_until(lambda: leader.registers.values.get("z") == 4)
        assert not leader.replica.fatal_error.done()


async def test_replicas_whose_disks_are_all_full_go_on_when_there_is_room(tmp_path):
    """Guards against a log that stays without a leader after its disks were full."""
    async with ReplicaSet(tmp_path, seed=34) as replicas:
        leader = await replicas.write("x", 1)
        with ExitStack() as disks:
            for node in replicas.nodes:
                disks.enter_context(full_disk(node.replica.storage))
            with pytest.raises(LogError):
                await propose(leader, Write("y", 2))
            await asyncio.sleep(2 * leader.settings.election_timeout_s)
            assert not any(node.replica.fatal_error.done() for node in replicas.nodes)
        await replicas.write("z", 3)
        for node in replicas.nodes:
            await wait_until(lambda: node.registers.values.get("z") == 3)
            assert node.registers.values["x"] == 1


async def test_member_without_replication_yet_does_not_end_the_leader(
    tmp_path, monkeypatch
):
    """Guards against a failure between a change of members and its first message."""
    async with ReplicaSet(tmp_path, seed=35) as replicas:
        leader = await replicas.leader()
        leadership = leader.replica.leadership
        monkeypatch.setattr(leadership, "_update_followers", lambda: None)
        added = Member("new", "new", Address("127.0.0.1:1"), is_voter=False)
        is_changed = False
        while not is_changed:
            members = leader.replica.storage.members
            try:
                await leadership.change_members([*members, added])
                is_changed = True
            except LogError:  # a new leader first records who the members are
                await asyncio.sleep(0.01)
        health = leadership.member_health()
        assert [each.member for each in health] == [*members, added]
        assert not health[-1].is_caught_up
        assert not leader.replica.fatal_error.done()


async def test_log_above_the_size_limit_is_replaced_by_a_snapshot(tmp_path):
    async with ReplicaSet(tmp_path, seed=32, snapshot_bytes=10_000) as replicas:
        for value in range(300):
            await replicas.write("x" * 100, value)
        for node in replicas.nodes:
            await wait_until(lambda: node.replica.storage.snapshot.index > 0)
            assert node.replica.storage.log_bytes < 30_000
        restarted = replicas.nodes[0]
        await restarted.kill()
        await restarted.start()
        await wait_until(lambda: restarted.registers.values.get("x" * 100) == 299)


def _hold_snapshots(node: Node, monkeypatch) -> asyncio.Event:
    """Keep snapshots from being written until the returned event is set."""
    may_write = asyncio.Event()
    write_snapshot = node.replica.storage.write_snapshot

    async def wait_and_write(head, pieces):
        await may_write.wait()
        await write_snapshot(head, pieces)

    monkeypatch.setattr(node.replica.storage, "write_snapshot", wait_and_write)
    return may_write


async def _grow_log(leader: Node, size: int) -> None:
    """Write to a leader until its log is larger than a size in bytes."""
    while leader.replica.storage.log_bytes <= size:
        await propose(leader, Write("x" * 100, leader.replica.storage.last_index))


async def test_leader_appends_nothing_to_a_large_log_until_its_snapshot_is_stored(
    tmp_path, monkeypatch
):
    """Guards against control instances that end since the log outgrows their memory."""
    async with ReplicaSet(tmp_path, seed=36, snapshot_bytes=10_000) as replicas:
        leader = await replicas.leader()
        term = leader.replica.term
        may_write = _hold_snapshots(leader, monkeypatch)
        await _grow_log(leader, 20_000)
        log_bytes = leader.replica.storage.log_bytes
        proposals = [
            asyncio.ensure_future(propose(leader, Write("y", value)))
            for value in range(20)
        ]
        ends_at = time.monotonic() + 3 * leader.settings.election_timeout_s
        while time.monotonic() < ends_at:
            await leader.replica.confirm_leadership()
            await asyncio.sleep(0.05)
        assert leader.replica.storage.log_bytes == log_bytes
        assert not any(proposal.done() for proposal in proposals)
        may_write.set()
        assert all(await asyncio.gather(*proposals))
        assert leader.registers.values["y"] == 19
        assert leader.replica.term == term


async def test_leader_whose_snapshot_takes_too_long_gives_way(tmp_path, monkeypatch):
    """Guards against a service that a single slow disk holds up for long."""
    monkeypatch.setattr(leadership_module, "_MAX_SNAPSHOT_WAIT_S", 0.2)
    async with ReplicaSet(tmp_path, seed=37, snapshot_bytes=10_000) as replicas:
        leader = await replicas.leader()
        _hold_snapshots(leader, monkeypatch)
        await _grow_log(leader, 20_000)
        value = leader.registers.values["x" * 100]
        with pytest.raises(NotLeaderError):
            await propose(leader, Write("y", 1))
        new = await replicas.write("y", 2)
        assert new.registers.values == {"x" * 100: value, "y": 2}


async def test_leader_does_not_wait_for_a_snapshot_without_room(tmp_path, monkeypatch):
    async with ReplicaSet(tmp_path, seed=38, snapshot_bytes=10_000) as replicas:
        leader = await replicas.leader()

        async def write_snapshot(*_) -> None:
            raise DiskFullError("no room for a snapshot")

        storage = leader.replica.storage
        monkeypatch.setattr(storage, "write_snapshot", write_snapshot)
        await _grow_log(leader, 40_000)
        assert leader.is_ready_leader


async def test_log_that_grew_during_a_snapshot_gets_another_without_more_entries(
    tmp_path, monkeypatch
):
    """Guards against a leader that keeps a large log in memory while it is idle."""
    async with ReplicaSet(tmp_path, seed=39, count=1, snapshot_bytes=10_000) as alone:
        leader = await alone.leader()
        may_write = _hold_snapshots(leader, monkeypatch)
        await _grow_log(leader, 10_000)
        await wait_until(lambda: leader.replica._is_saving_snapshot)
        await propose(leader, Write("y" * 20_000, 1))
        may_write.set()
        await wait_until(lambda: leader.replica.storage.log_bytes < 10_000)


async def test_replicas_that_restart_with_a_long_log_elect_one_leader(
    tmp_path, monkeypatch
):
    """Guards against leaders that lose their quorum while they apply their log."""
    entry_count = 150
    options = {"election_timeout_s": 0.3, "snapshot_every": 10_000}
    async with ReplicaSet(tmp_path, seed=5, **options) as replicas:
        for value in range(entry_count):
            leader = await replicas.leader()
            await propose(leader, Write("x", value))
        term = leader.replica.term
        for node in replicas.nodes:
            await node.kill()
        apply = Registers.apply

        def apply_slowly(registers: Registers, index: int, payload: bytes) -> bool:
            time.sleep(0.004)
            return apply(registers, index, payload)

        monkeypatch.setattr(Registers, "apply", apply_slowly)
        for node in replicas.nodes:
            await node.start()
        leader = await replicas.leader()
        assert leader.registers.values["x"] == entry_count - 1
        assert leader.replica.term == term + 1
