"""The replicated log under kills, cuts, lost disks and restarts."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import threading

import pytest

from fakes.relay import Link
from pollenlb.commands.control import _format
from pollenlb.exceptions import (
    CommitInDoubtError,
    LogError,
    NotLeaderError,
    StorageError,
)

from ..local_system import until
from .linearizability import Operation, is_linearizable
from .replica_set import Node, ReplicaSet, Write, propose

_KEYS = ("a", "b", "c")
_CLIENTS = 4
_FAULTS = 7


def _others(replicas: ReplicaSet, *nodes: Node) -> list[Node]:
    return [each for each in replicas.nodes if each not in nodes]


async def test_a_cut_leader_confirms_nothing_and_steps_down(tmp_path):
    async with ReplicaSet(tmp_path, seed=1) as replicas:
        old = await replicas.write("x", 1)
        replicas.cut(old)
        proposal = asyncio.create_task(propose(old, Write("x", 2)))
        new = await replicas.write("x", 3, among=_others(replicas, old))
        with pytest.raises((CommitInDoubtError, NotLeaderError)):
            await proposal
        with pytest.raises(NotLeaderError):
            await old.replica.confirm_leadership()
        replicas.heal(old)
        await until(lambda: old.registers.values.get("x") == 3)
        assert new.registers.values["x"] == 3


async def test_a_leader_answers_no_read_without_its_quorum(tmp_path):
    options = {"election_timeout_s": 3.0}
    async with ReplicaSet(tmp_path, seed=9, **options) as replicas:
        leader = await replicas.write("x", 1)
        replicas.cut(leader)
        with pytest.raises((NotLeaderError, TimeoutError)):
            async with asyncio.timeout(1.0):
                await leader.replica.confirm_leadership()
        assert leader.replica.leadership is not None


async def test_a_returned_leader_does_not_disturb_the_new_one(tmp_path):
    async with ReplicaSet(tmp_path, seed=2) as replicas:
        old = await replicas.write("x", 1)
        replicas.cut(old)
        new = await replicas.write("x", 2, among=_others(replicas, old))
        term = new.replica.term
        replicas.heal(old)
        await until(lambda: old.registers.values.get("x") == 2)
        assert (await replicas.leader()).replica.term == term


async def test_a_restart_after_hundreds_of_changes_catches_up(tmp_path):
    async with ReplicaSet(tmp_path, seed=3, snapshot_every=50) as replicas:
        leader = await replicas.leader()
        late = _others(replicas, leader)[0]
        await late.kill()
        for value in range(300):
            await propose(leader, Write("x", value))
        assert leader.replica.storage.first_index > 200
        await late.start()
        await until(lambda: late.registers.values.get("x") == 299)


async def test_a_whole_restart_keeps_every_acknowledged_write(tmp_path):
    async with ReplicaSet(tmp_path, seed=4, snapshot_every=20) as replicas:
        for value in range(50):
            await replicas.write(f"k{value}", value)
        for node in replicas.nodes:
            await node.kill()
        for node in replicas.nodes:
            await node.start()
        leader = await replicas.leader()
        assert leader.registers.values == {f"k{each}": each for each in range(50)}


async def _lose_disk_then_leader(replicas: ReplicaSet, is_naive: bool) -> Node:
    """Acknowledge a write at two replicas; one loses its disk, one ends."""
    leader = await replicas.leader()
    empty, behind = _others(replicas, leader)
    replicas.cut(behind)
    await propose(leader, Write("x", 1))
    await empty.kill()
    await leader.kill()
    empty.lose_disk()
    if is_naive:
        await _format(empty.settings)
    replicas.heal(behind)
    await empty.start()
    return leader


async def test_the_old_identity_without_its_disk_would_lose_a_write(tmp_path):
    async with ReplicaSet(tmp_path, seed=5) as replicas:
        leader = await _lose_disk_then_leader(replicas, is_naive=True)
        new = await replicas.leader(among=_others(replicas, leader))
        assert "x" not in new.registers.values


async def test_a_replica_without_its_disk_does_not_vote(tmp_path):
    async with ReplicaSet(tmp_path, seed=5) as replicas:
        leader = await _lose_disk_then_leader(replicas, is_naive=False)
        left = _others(replicas, leader)
        with pytest.raises(TimeoutError):
            timeout_s = 8 * replicas.nodes[0].settings.election_timeout_s
            await until(lambda: any(node.is_leading for node in left), timeout_s)
        await leader.start()
        new = await replicas.leader()
        assert new.registers.values == {"x": 1}
        await until(lambda: _is_repaired(new, replicas.nodes))
        await until(lambda: all(n.registers.values == {"x": 1} for n in replicas.nodes))


def _voters(leader: Node) -> set[str]:
    members = leader.committed_members
    return {member.replica for member in members if member.is_voter}


def _is_repaired(leader: Node, nodes: list[Node]) -> bool:
    """Tell whether the leader counts on the present identity of each node."""
    storages = [node.replica.storage for node in nodes if node.replica is not None]
    own = {each.hard_state.replica for each in storages if each.is_formatted}
    return len(own) == len(nodes) and own <= _voters(leader)


async def test_a_second_instance_lost_just_after_a_repair(tmp_path):
    async with ReplicaSet(tmp_path, seed=6) as replicas:
        leader = await replicas.write("x", 1)
        first, second = _others(replicas, leader)
        await first.kill()
        first.lose_disk()
        await first.start()
        await until(lambda: _is_repaired(leader, [leader, first]))
        await second.kill()
        second.lose_disk()
        await replicas.write("y", 2, among=[leader, first])
        await second.start()
        await until(lambda: _is_repaired(leader, replicas.nodes))
        await leader.kill()
        new = await replicas.leader(among=[first, second])
        assert new.registers.values == {"x": 1, "y": 2}


async def test_a_learner_counts_only_when_it_has_caught_up(tmp_path):
    async with ReplicaSet(tmp_path, seed=7) as replicas:
        leader = await replicas.write("x", 1)
        empty, healthy = _others(replicas, leader)
        await empty.kill()
        empty.lose_disk()
        for relay in (leader.relays[empty.address], healthy.relays[empty.address]):
            relay.cut()
        await empty.start()
        await until(lambda: len(leader.replica.storage.members) == 3)
        await until(lambda: len(_voters(leader)) == 2)
        replicas.cut(healthy)
        proposal = asyncio.create_task(propose(leader, Write("x", 2)))
        with pytest.raises(LogError):
            await proposal
        replicas.heal(healthy)
        for relay in (leader.relays[empty.address], healthy.relays[empty.address]):
            relay.heal()
        await replicas.write("x", 3)
        new = await replicas.leader()
        await until(lambda: _is_repaired(new, replicas.nodes))


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


class _Recorder:
    """Runs clients and records what they saw."""

    def __init__(self, replicas: ReplicaSet, seed: int) -> None:
        self.replicas = replicas
        self.rng = random.Random(seed)
        self.history: dict[str, list[Operation]] = {key: [] for key in _KEYS}
        self.is_over = False
        self._clock = itertools.count()
        self._values = itertools.count(1)

    async def run_client(self) -> None:
        while not self.is_over:
            live = [node for node in self.replicas.nodes if node.replica is not None]
            if not live:
                await asyncio.sleep(0.01)
                continue
            await self._operate(self.rng.choice(live), self.rng.choice(_KEYS))
            await asyncio.sleep(self.rng.uniform(0.005, 0.03))

    async def _operate(self, node: Node, key: str) -> None:
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


async def _provoke(replicas: ReplicaSet, rng: random.Random) -> None:
    """Provoke one failure, let it last, and mend it."""
    node = rng.choice(replicas.nodes)
    fault = rng.choice(("kill", "cut", "close", "disk", "leader"))
    print(f"fault {fault} at {node.settings.name}")
    if fault == "leader":
        leading = [each for each in replicas.nodes if each.is_leading]
        node = leading[0] if leading else node
        fault = "cut"
    if fault in ("cut", "close"):
        replicas.cut(node, Link.SILENT if fault == "cut" else Link.CLOSED)
    else:
        await node.kill()
        if fault == "disk":
            node.lose_disk()
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    if fault in ("cut", "close"):
        replicas.heal(node)
    else:
        await node.start()
    await until(
        lambda: any(
            each.is_leading and _is_repaired(each, replicas.nodes)
            for each in replicas.nodes
        )
    )


@pytest.mark.parametrize("seed", [11, 12, 13])
async def test_concurrent_clients_see_one_register(tmp_path, seed):
    print(f"seed {seed}")
    rng = random.Random(seed)
    async with ReplicaSet(tmp_path, seed, snapshot_every=30) as replicas:
        await replicas.leader()
        recorder = _Recorder(replicas, seed)
        clients = [asyncio.create_task(recorder.run_client()) for _ in range(_CLIENTS)]
        for _ in range(_FAULTS):
            await _provoke(replicas, rng)
        recorder.is_over = True
        async with asyncio.timeout(60):
            await asyncio.gather(*clients)
    assert all(len(history) > 10 for history in recorder.history.values())
    for key, history in recorder.history.items():
        assert is_linearizable(history), (key, history)


async def test_a_leader_whose_disk_does_not_answer_steps_down(tmp_path):
    async with ReplicaSet(tmp_path, seed=31) as replicas:
        leader = await replicas.write("x", 1)
        answers = threading.Event()
        sync = leader.replica.storage._sync

        def stall(descriptor: int) -> None:
            answers.wait()
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
            answers.set()
        await until(lambda: leader.registers.values.get("z") == 3)


async def test_a_large_log_is_replaced_by_a_snapshot(tmp_path):
    async with ReplicaSet(tmp_path, seed=32, snapshot_bytes=10_000) as replicas:
        for value in range(300):
            await replicas.write("x" * 100, value)
        for node in replicas.nodes:
            await until(lambda: node.replica.storage.snapshot.index > 0)
            assert node.replica.storage.log_bytes < 30_000
        restarted = replicas.nodes[0]
        await restarted.kill()
        await restarted.start()
        await until(lambda: restarted.registers.values.get("x" * 100) == 299)
