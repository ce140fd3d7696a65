"""Replication to a follower whose answers are lost or always the same."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
import pytest
from result import Err, Ok, Result

from pollenlb.connection.rpc import CallFailure, RpcChannel
from pollenlb.durable.records import APPEND
from pollenlb.durable.rpc_handlers import RpcHandlers
from pollenlb.ids import Address
from pollenlb.settings.control import ControlSettings

from ..local_system import wait_until
from .replica_set import Node, ReplicaSet, Write, propose


@contextmanager
def changed_answers(
    leader: Node, follower: Node, change: Callable[[Result], Result]
) -> Iterator[None]:
    """Change each answer of a follower to log entries; the entries arrive."""
    relay = leader.relays[follower.address]
    address = Address(f"127.0.0.1:{relay.port}")
    call = RpcChannel.call

    async def call_and_change(self, method, request, timeout_s) -> Result:
        answer = await call(self, method, request, timeout_s)
        is_changed = method is APPEND and self.address == address
        return change(answer) if is_changed else answer

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(RpcChannel, "call", call_and_change)
        yield


def _lose(_: Result) -> Result:
    return Err(CallFailure("the answer was lost"))


def _refuse(answer: Result) -> Result:
    if answer.is_err():
        return answer
    refused = msgspec.structs.replace(answer.ok(), is_matching=False, last_index=0)
    return Ok(refused)


async def _restart_with(node: Node, **options) -> None:
    await node.kill()
    values = {**node.settings.values, **options}
    node.settings = ControlSettings(values)
    await node.start()


# Guards against a voter that follows but stores nothing for the rest of a term.
@pytest.mark.parametrize("release", ["present", "earlier"])
async def test_follower_with_a_snapshot_ahead_of_the_sent_entries_catches_up(
    tmp_path, monkeypatch, release
):
    if release == "earlier":
        monkeypatch.setattr(RpcHandlers, "_is_in_snapshot", lambda *_: False)
    async with ReplicaSet(tmp_path, seed=11) as replicas:
        leader = await replicas.write("x", 1)
        follower = next(node for node in replicas.nodes if node is not leader)
        await _restart_with(follower, snapshot_every=10)
        await wait_until(lambda: follower.registers.values.get("x") == 1)
        before = follower.replica.storage.snapshot.index
        leader = await replicas.leader()
        with changed_answers(leader, follower, _lose):
            for value in range(2, 40):
                await propose(leader, Write("x", value))
            await wait_until(lambda: follower.replica.storage.snapshot.index > before)
        term = leader.replica.term
        await propose(leader, Write("x", 40))
        await wait_until(lambda: follower.registers.values.get("x") == 40)
        assert leader.replica.term == term


# Guards against a majority that counts a voter which stores nothing.
async def test_voter_that_answers_but_stores_nothing_is_replaced(tmp_path, capfd):
    options = {"replace_after_s": 0.5}
    async with ReplicaSet(tmp_path, seed=12, count=3, **options) as replicas:
        await replicas.write("x", 1)
        spare = await replicas.add_spare()
        await wait_until(lambda: spare.registers.values.get("x") == 1)
        leader = await replicas.leader()
        others = [node for node in replicas.nodes if node not in (leader, spare)]
        stalled = others[0]
        with changed_answers(leader, stalled, _refuse):
            await propose(leader, Write("x", 2))
            await wait_until(lambda: _votes(leader, spare))
            await wait_until(lambda: not _votes(leader, stalled))
        assert '"follower.stalled"' in capfd.readouterr().out


def _votes(leader: Node, node: Node) -> bool:
    name = node.settings.name
    members = leader.committed_members
    return any(member.is_voter and member.instance == name for member in members)
