"""Leaders whose followers wait for their disks."""

from __future__ import annotations

import asyncio
import threading
import time

import msgspec

from pollenlb.durable.records import AppendRequest, EntryKind, LogEntry, VoteRequest
from pollenlb.durable.rpc_handlers import RpcHandlers

from ..local_system import wait_until
from .replica_set import Node, ReplicaSet, Write, propose


def _followers(replicas: ReplicaSet, leader: Node) -> list[Node]:
    return [node for node in replicas.nodes if node is not leader]


def _slow_down(node: Node, method: str, seconds: float, monkeypatch) -> None:
    """Make a write to the disk of a node take longer."""
    write = getattr(node.replica.storage, method)

    def write_slowly(*args):
        time.sleep(seconds)
        return write(*args)

    monkeypatch.setattr(node.replica.storage, method, write_slowly)


def _hold(node: Node, method: str, monkeypatch) -> threading.Event:
    """Keep a write to the disk of a node waiting until the returned event is set."""
    write = getattr(node.replica.storage, method)
    is_released = threading.Event()

    def write_later(*args):
        is_released.wait()
        return write(*args)

    monkeypatch.setattr(node.replica.storage, method, write_later)
    return is_released


def _heartbeat(node: Node, leader: Node) -> AppendRequest:
    storage = node.replica.storage
    return AppendRequest(
        cluster=storage.hard_state.cluster,
        sender=leader.replica.storage.hard_state.replica,
        receiver=storage.hard_state.replica,
        term=node.replica.term,
        previous_term=storage.last_term,
        previous_index=storage.last_index,
        commit_index=node.replica.commit_index,
        leader_address=leader.address,
        entries=[],
    )


# Guards against a leader that ends its term whenever its followers store a snapshot,
# which they do at the same time: it then hears of neither for longer than its timeout.
async def test_leader_stays_while_followers_replace_their_logs(tmp_path, monkeypatch):
    async with ReplicaSet(tmp_path, seed=51, snapshot_bytes=10_000) as replicas:
        leader = await replicas.write("x", 1)
        term = leader.replica.term
        step_s = 0.7 * leader.settings.election_timeout_s
        followers = _followers(replicas, leader)
        for node in followers:
            _slow_down(node, "_replace_snapshot", step_s, monkeypatch)
            _slow_down(node, "_replace_log", step_s, monkeypatch)
            _slow_down(node, "_clear_log", step_s, monkeypatch)
        for value in range(120):
            await propose(leader, Write("y" * 100, value))
        await wait_until(
            lambda: all(node.replica.storage.snapshot.index for node in followers)
        )
        assert leader.is_ready_leader
        assert leader.replica.term == term


# Guards against a leader that goes on without being able to commit anything, since its
# followers answer heartbeats though their disks have stopped.
async def test_leader_whose_followers_have_no_disk_gives_way(tmp_path, monkeypatch):
    async with ReplicaSet(tmp_path, seed=52) as replicas:
        leader = await replicas.write("x", 1)
        followers = _followers(replicas, leader)
        await wait_until(lambda: all(node.registers.values for node in followers))
        released = [_hold(node, "_append_at", monkeypatch) for node in followers]
        proposal = asyncio.create_task(propose(leader, Write("y", 2)))
        try:
            await wait_until(lambda: leader.replica.leadership is None)
        finally:
            for event in released:
                event.set()
            await asyncio.gather(proposal, return_exceptions=True)


# Guards against a read from a former leader: a follower that is voting must not tell
# the leader meanwhile that it follows it.
async def test_heartbeat_waits_for_a_vote(tmp_path, monkeypatch):
    async with ReplicaSet(tmp_path, seed=53) as replicas:
        leader = await replicas.write("x", 1)
        node = _followers(replicas, leader)[0]
        await wait_until(lambda: node.registers.values.get("x") == 1)
        replicas.isolate(node)
        await wait_until(lambda: not node.replica.has_leader_contact())
        heartbeat = _heartbeat(node, leader)
        handlers = RpcHandlers(node.replica)
        term = node.replica.term + 10
        vote_request = VoteRequest(
            cluster=heartbeat.cluster,
            sender="candidate",
            receiver=heartbeat.receiver,
            term=term,
            last_term=heartbeat.previous_term,
            last_index=heartbeat.previous_index,
            is_pre_vote=False,
        )
        may_save = asyncio.Event()
        save = node.replica.storage.save_hard_state

        async def save_later(hard_state):
            await may_save.wait()
            await save(hard_state)

        monkeypatch.setattr(node.replica.storage, "save_hard_state", save_later)
        vote = asyncio.create_task(handlers.handle_vote(vote_request))
        await wait_until(lambda: node.replica.lock.locked())
        pending = asyncio.create_task(handlers.handle_append(heartbeat))
        await asyncio.sleep(0.1)
        assert not pending.done()
        may_save.set()
        assert (await vote).is_granted
        answer = await pending
        assert (answer.term, answer.is_matching) == (term, False)


# Guards against a log that is taken to be stored before it is.
async def test_heartbeat_confirms_nothing_that_is_not_stored(tmp_path, monkeypatch):
    async with ReplicaSet(tmp_path, seed=54) as replicas:
        leader = await replicas.write("x", 1)
        node = _followers(replicas, leader)[0]
        await wait_until(lambda: node.registers.values.get("x") == 1)
        replicas.isolate(node)
        heartbeat = _heartbeat(node, leader)
        index = heartbeat.previous_index + 1
        payload = msgspec.msgpack.encode(Write("y", 2))
        entry = LogEntry(heartbeat.term, index, EntryKind.COMMAND, payload)
        append = msgspec.structs.replace(heartbeat, entries=[entry])
        after_it = msgspec.structs.replace(
            heartbeat, previous_index=index, previous_term=entry.term
        )
        is_released = _hold(node, "_append_at", monkeypatch)
        handlers = RpcHandlers(node.replica)
        pending = asyncio.create_task(handlers.handle_append(append))
        try:
            await wait_until(lambda: node.replica.storage.is_changing_log)
            answer = await handlers.handle_append(heartbeat)
            assert (answer.is_matching, answer.last_index) == (True, index - 1)
            later = asyncio.create_task(handlers.handle_append(after_it))
            await asyncio.sleep(0.1)
            assert not later.done()
        finally:
            is_released.set()
        assert (await pending).last_index == index
        assert (await later).is_matching
