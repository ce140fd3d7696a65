"""Replicas of one log within a process, with a relay for each direction."""

from __future__ import annotations

import asyncio
import random
import shutil
from pathlib import Path

import msgspec

from fakes.ports import free_ports
from fakes.relay import Link, Relay
from pollenlb.commands.control import _format
from pollenlb.connection.rpc import RpcServer
from pollenlb.durable.records import Member
from pollenlb.durable.replica import Replica
from pollenlb.durable.storage import Storage
from pollenlb.events import EventLog
from pollenlb.exceptions import LogError
from pollenlb.ids import Address
from pollenlb.settings.control import ControlSettings

from ..local_system import control_settings, until


class Write(msgspec.Struct):
    """Sets a register; with ``expected``, only from that value."""

    key: str
    value: int
    expected: int | None = None


class Registers:
    """State machine of named registers."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    def apply(self, index: int, payload: bytes) -> bool:
        """Carry out one write and tell whether it took effect."""
        write = msgspec.msgpack.decode(payload, type=Write)
        if write.expected is not None:
            if self.values.get(write.key, 0) != write.expected:
                return False
        self.values[write.key] = write.value
        return True

    def snapshot(self) -> bytes:
        """Return all values."""
        return msgspec.msgpack.encode(self.values)

    def restore(self, state: bytes) -> None:
        """Replace all values."""
        self.values = msgspec.msgpack.decode(state, type=dict[str, int])


class RelayedReplica(Replica):
    """A replica that reaches each other one through a relay."""

    relays: dict[Address, Relay] = {}

    def channel(self, address: Address):
        """Return the connection through the relay."""
        relay = self.relays[address]
        return super().channel(Address(f"127.0.0.1:{relay.port}"))


class Node:
    """One replica with its server and its data folder."""

    def __init__(self, settings: ControlSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.relays: dict[Address, Relay] = {}
        self.replica: RelayedReplica | None = None
        self.registers = Registers()
        self._server: RpcServer | None = None

    @property
    def address(self) -> Address:
        """Where the replica listens."""
        return Address(self.settings.listen)

    @property
    def is_leading(self) -> bool:
        """Whether the replica runs, leads and has committed in its term."""
        leadership = self.replica.leadership if self.replica else None
        return leadership is not None and leadership.is_ready

    @property
    def committed_members(self) -> list[Member]:
        """Members that outlive the loss of any minority."""
        assert self.replica is not None
        return self.replica.storage.members_at(self.replica.commit_index)

    async def start(self) -> None:
        """Start the replica from what its folder holds."""
        events = EventLog(self.settings.name, None)
        storage = Storage(self.settings.data_folder)
        storage.open()
        self.registers = Registers()
        self.replica = RelayedReplica(
            self.settings, storage, self.registers, events, self.rng
        )
        self.replica.relays = self.relays
        self._server = RpcServer(self.address, events)
        self.replica.offer(self._server)
        await self._server.start()
        self.replica.start()

    async def kill(self) -> None:
        """End the replica without any farewell."""
        replica, self.replica = self.replica, None
        if replica is None:
            return
        assert self._server is not None
        await self._server.stop(0)
        await replica.stop()

    def lose_disk(self) -> None:
        """Remove the data folder of a killed replica."""
        shutil.rmtree(self.settings.data_folder)


class ReplicaSet:
    """Some replicas of a new log.

    Parameters
    ----------
    folder : Path
        Folder of the data folders.
    seed : int
        Seed of the election delays.
    """

    def __init__(self, folder: Path, seed: int, count: int = 3, **options) -> None:
        self.nodes = [
            Node(settings, random.Random(seed * 100 + number))
            for number, settings in enumerate(
                control_settings(folder, count, **options)
            )
        ]

    async def __aenter__(self) -> ReplicaSet:
        for node in self.nodes:
            for other in self.nodes:
                relay = Relay(int(other.address.rpartition(":")[2]))
                await relay.start()
                node.relays[other.address] = relay
            await _format(node.settings)
        for node in self.nodes:
            await node.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        for node in self.nodes:
            await node.kill()
        for node in self.nodes:
            for relay in node.relays.values():
                await relay.stop()

    async def add_spare(self) -> Node:
        """Start a replica with an empty data folder at a new address."""
        (port,) = free_ports(1)
        first = self.nodes[0].settings
        values = {
            **first.values,
            "name": "spare",
            "listen": f"127.0.0.1:{port}",
            "data_folder": first.data_folder.parent / "spare",
        }
        spare = Node(ControlSettings(values), random.Random(port))
        self.nodes.append(spare)
        for node in self.nodes:
            for other in self.nodes:
                if other.address not in node.relays:
                    relay = Relay(int(other.address.rpartition(":")[2]))
                    await relay.start()
                    node.relays[other.address] = relay
        await spare.start()
        return spare

    async def leader(self, among: list[Node] | None = None) -> Node:
        """Wait for a leader that a quorum follows and return it."""
        nodes = self.nodes if among is None else among
        while True:
            await until(lambda: any(node.is_leading for node in nodes))
            for node in nodes:
                if node.is_leading and await _is_confirmed(node):
                    return node

    def cut(self, node: Node, link: Link = Link.SILENT) -> None:
        """Cut a replica off from all others, both ways."""
        for relay in self._relays(node):
            relay.cut(link)

    def heal(self, node: Node) -> None:
        """Connect a replica with all others again."""
        for relay in self._relays(node):
            relay.heal()

    async def write(self, key: str, value: int, among: list[Node] | None = None):
        """Write a register at whichever replica leads; return that replica."""
        while True:
            node = await self.leader(among)
            try:
                await propose(node, Write(key, value))
                return node
            except LogError:
                continue

    def _relays(self, node: Node) -> list[Relay]:
        found = [relay for at, relay in node.relays.items() if at != node.address]
        for other in self.nodes:
            if other is not node:
                found.append(other.relays[node.address])
        return found


async def propose(node: Node, write: Write):
    """Write a register through one replica."""
    assert node.replica is not None
    return await node.replica.propose(msgspec.msgpack.encode(write))


async def _is_confirmed(node: Node) -> bool:
    try:
        assert node.replica is not None
        await node.replica.confirm_leadership()
    except (LogError, AssertionError):
        await asyncio.sleep(0.01)
        return False
    return True
