"""Replicas of several releases in one log, and the formats that they use."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from pollenlb.durable.records import HardState, JoinRequest
from pollenlb.durable.storage import Storage, first_hard_state
from pollenlb.exceptions import LogError, StorageError, UnreadableFormatError
from pollenlb.ids import FormatVersion
from pollenlb.release import UNREPORTED, Release

from ..local_system import wait_until
from .replica_set import Node, ReplicaSet

_OLD = Release("1.0", FormatVersion(0))
_NEW = Release("2.0", FormatVersion(2))


async def _restart(node: Node, release: Release) -> None:
    await node.kill()
    node.release = release
    await node.start()


def _format(node: Node) -> int:
    assert node.replica is not None
    return node.replica.storage.hard_state.format


def _has_heard_from_all(node: Node) -> bool:
    """Return whether a node leads and all members have told it their release."""
    leadership = node.replica.leadership
    return leadership is not None and set(leadership.releases.values()) == {_NEW}


async def test_format_is_used_once_all_members_have_said_that_they_read_it(tmp_path):
    async with ReplicaSet(tmp_path, seed=41) as replicas:
        first, second, last = replicas.nodes
        await _restart(first, _NEW)
        await _restart(second, _NEW)
        await replicas.write("x", 1)
        await _restart(last, _OLD)
        await replicas.write("x", 2)
        await wait_until(lambda: last.registers.values.get("x") == 2)
        assert [_format(node) for node in replicas.nodes] == [0, 0, 0]
        await _restart(last, _NEW)
        await wait_until(lambda: [_format(node) for node in replicas.nodes] == [2] * 3)
        leader = await replicas.leader()
        leader.replica.leadership.check_readable(FormatVersion(2))


async def test_format_is_not_used_before_the_goal_allows_it(tmp_path):
    async with ReplicaSet(tmp_path, seed=42) as replicas:
        first, *_ = replicas.nodes
        for node in replicas.nodes:
            node.format_goal = FormatVersion(0)
            await _restart(node, _NEW)
        await replicas.write("x", 1)
        await wait_until(lambda: any(map(_has_heard_from_all, replicas.nodes)))
        await asyncio.sleep(5 * first.settings.heartbeat_s)
        assert [_format(node) for node in replicas.nodes] == [0, 0, 0]
        for node in replicas.nodes:
            node.format_goal = FormatVersion(1)
        await wait_until(lambda: [_format(node) for node in replicas.nodes] == [1] * 3)


async def test_refused_command_names_both_releases(tmp_path):
    async with ReplicaSet(tmp_path, seed=43) as replicas:
        for node in replicas.nodes[:2]:
            await _restart(node, _NEW)
        await replicas.write("x", 1)
        old = replicas.nodes[2]
        await _restart(old, UNREPORTED)
        while (leader := await replicas.leader()) is old:
            await _restart(old, UNREPORTED)
        leadership = leader.replica.leadership
        await wait_until(lambda: UNREPORTED in leadership.releases.values())
        expected = "release 2.0, .* runs an earlier release, which reads format 0"
        with pytest.raises(UnreadableFormatError, match=expected):
            leadership.check_readable(FormatVersion(1))


async def test_replica_without_a_disk_joins_no_log_that_it_cannot_read(tmp_path, capfd):
    async with ReplicaSet(tmp_path, seed=44) as replicas:
        for node in replicas.nodes:
            await _restart(node, _NEW)
        await replicas.write("x", 1)
        await wait_until(lambda: [_format(node) for node in replicas.nodes] == [2] * 3)
        leader = await replicas.leader()
        empty, other = [node for node in replicas.nodes if node is not leader]
        await empty.kill()
        empty.delete_data_folder()
        empty.release = _OLD
        await empty.start()
        await replicas.write("x", 2, among=[leader, other])
        refusal = "the log is of format 2 since release 2.0, .* runs release 1.0"
        request = JoinRequest(
            "replica", "control-9", "127.0.0.1:1", "domain", release=_OLD
        )
        with pytest.raises(LogError, match=refusal):
            await leader.replica.leadership.add_learner(request)
        assert not empty.replica.storage.is_formatted
        await _restart(empty, _NEW)
        await wait_until(lambda: empty.registers.values.get("x") == 2)


async def test_member_that_does_not_read_the_log_counts_as_silent(tmp_path, capfd):
    """Guards against a replica that ends again at each start, or votes unread."""
    async with ReplicaSet(tmp_path, seed=45, snapshot_every=20) as replicas:
        follower, *others = replicas.nodes
        for node in others:
            await _restart(node, _NEW)
        await replicas.write("x", 1)
        await wait_until(lambda: follower.registers.values.get("x") == 1)
        await follower.kill()
        leader = await replicas.leader(among=others)
        storage = leader.replica.storage
        state = msgspec.structs.replace(storage.hard_state, format=2)
        await storage.save_hard_state(state)
        await follower.start()
        await replicas.write("x", 2, among=others)
        await wait_until(lambda: '"log.unreadable"' in capfd.readouterr().out)
        for value in range(3, 63):
            leader = await replicas.write("x", value, among=others)
        await wait_until(lambda: leader.replica.storage.first_index > 20)
        await asyncio.sleep(5 * leader.settings.heartbeat_s)
        assert follower.registers.values == {}
        assert follower.replica.storage.snapshot.index == 0
        assert not follower.replica.fatal_error.done()


async def test_data_folder_of_a_later_release_stays_as_it_is(tmp_path):
    """Guards against an old build that ends and damages what it cannot read."""
    storage = Storage(tmp_path, release=_NEW)
    storage.open()
    state = first_hard_state("replica", "cluster")
    await storage.format(msgspec.structs.replace(state, format=2), [])
    storage.close()
    (tmp_path / "snapshot.new").write_bytes(b"of the later release")
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    with pytest.raises(StorageError, match="format 2, .*; this is release 1.0"):
        Storage(tmp_path, release=_OLD).open()
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before


def test_hard_state_of_an_earlier_release_has_the_first_format():
    stored = {"replica": "r", "cluster": "c", "term": 3, "voted_for": None}
    payload = msgspec.msgpack.encode(stored)
    assert msgspec.msgpack.decode(payload, type=HardState).format == 0
