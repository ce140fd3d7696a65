"""Replicas of one log in a single process, with a relay for each direction."""

from __future__ import annotations

import asyncio
import random
import shutil
from collections.abc import Iterable
from pathlib import Path

import msgspec

from fakes.ports import free_ports
from fakes.relay import LinkState, Relay
from pollenlb.commands.control import format_data_folder
from pollenlb.connection.rpc import RpcServer
from pollenlb.durable.records import Member
from pollenlb.durable.replica import Replica
from pollenlb.durable.storage import Storage
from pollenlb.events import EventLog
from pollenlb.exceptions import LogError
from pollenlb.ids import Address, FormatVersion
from pollenlb.release import Release
from pollenlb.settings.control import ControlSettings

from ..local_system import control_settings, wait_until

# Registers are stored in one form only, whatever the formats of the control state are.
_RELEASE = Release("registers", FormatVersion(0))


class Write(msgspec.Struct):
    """Command that sets a register; with ``expected``, only if it has that value."""

    key: str
    value: int
    expected: int | None = None


class Registers:
    """State machine that holds named registers."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    def apply(self, index: int, payload: bytes) -> bool:
        """Apply one write and return whether it took effect."""
        write = msgspec.msgpack.decode(payload, type=Write)
        if write.expected is not None:
            if self.values.get(write.key, 0) != write.expected:
                return False
        self.values[write.key] = write.value
        return True

    def snapshot(self) -> list[bytes]:
        """Return all values, one in a piece."""
        return [msgspec.msgpack.encode({key: self.values[key]}) for key in self.values]

    def restore(self, pieces: Iterable[bytes]) -> None:
        """Replace all values."""
        self.values = {}
        for piece in pieces:
            self.values |= msgspec.msgpack.decode(piece, type=dict[str, int])


class RelayedReplica(Replica):
    """A replica that connects to each other replica through a relay."""

    relays: dict[Address, Relay] = {}

    def channel(self, address: Address):
        """Return the channel through the relay for an address."""
        relay = self.relays[address]
        return super().channel(Address(f"127.0.0.1:{relay.port}"))


class Node:
    """One replica with its gRPC server and its data folder."""

    def __init__(self, settings: ControlSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.release: Release = _RELEASE
        self.format_goal: FormatVersion | None = None
        self.relays: dict[Address, Relay] = {}
        self.replica: RelayedReplica | None = None
        self.registers = Registers()
        self._server: RpcServer | None = None

    @property
    def address(self) -> Address:
        """Address of the gRPC server of the replica."""
        return Address(self.settings.listen)

    @property
    def is_ready_leader(self) -> bool:
        """Whether the replica runs, leads and has committed an entry of its term."""
        leadership = self.replica.leadership if self.replica else None
        return leadership is not None and leadership.is_ready

    @property
    def committed_members(self) -> list[Member]:
        """Members up to the commit index: the loss of a minority does not undo them."""
        assert self.replica is not None
        return self.replica.storage.members_at(self.replica.commit_index)

    async def start(self) -> None:
        """Start the replica from the content of its data folder."""
        events = EventLog(self.settings.name, None)
        storage = Storage(self.settings.data_folder, release=self.release)
        storage.open()
        self.registers = Registers()
        self.replica = RelayedReplica(
            self.settings,
            storage,
            self.registers,
            events,
            self.rng,
            release=self.release,
            get_format_goal=lambda: (
                self.release.reads if self.format_goal is None else self.format_goal
            ),
        )
        self.replica.relays = self.relays
        self._server = RpcServer(self.address, events)
        self.replica.offer(self._server)
        await self._server.start()
        self.replica.start()

    async def kill(self) -> None:
        """Stop the replica without a grace period; do nothing if it is stopped."""
        replica, self.replica = self.replica, None
        if replica is None:
            return
        assert self._server is not None
        await self._server.stop(0)
        await replica.stop()

    def delete_data_folder(self) -> None:
        """Delete the data folder of a killed replica, as the loss of its disk does."""
        shutil.rmtree(self.settings.data_folder)


class ReplicaSet:
    """The replicas of a new replicated log, started on entry of the context.

    Parameters
    ----------
    folder : Path
        Parent of the data folders.
    seed : int
        Seed of the random election timeouts.
    count : int
        Number of replicas.
    **options
        Control settings that differ from those of ``control_settings``.
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
            await format_data_folder(node.settings, node.release)
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
        """Start another replica, with an empty data folder and a new address."""
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
        """Wait for a leader that a quorum follows, and return its node."""
        nodes = self.nodes if among is None else among
        while True:
            await wait_until(lambda: any(node.is_ready_leader for node in nodes))
            for node in nodes:
                if node.is_ready_leader and await _is_confirmed(node):
                    return node

    def isolate(self, node: Node, link: LinkState = LinkState.SILENT) -> None:
        """Partition a replica from all others, in both directions."""
        for relay in self._relays(node):
            relay.interrupt(link)

    def heal(self, node: Node) -> None:
        """Reconnect a replica to all others."""
        for relay in self._relays(node):
            relay.restore()

    async def write(self, key: str, value: int, among: list[Node] | None = None):
        """Write a register through the leader, retrying until it succeeds.

        Returns the node that accepted the write.
        """
        while True:
            node = await self.leader(among)
            try:
                await propose(node, Write(key, value))
                return node
            except LogError:
                continue

    def _relays(self, node: Node) -> list[Relay]:
        relays = [
            relay for address, relay in node.relays.items() if address != node.address
        ]
        for other in self.nodes:
            if other is not node:
                relays.append(other.relays[node.address])
        return relays


async def propose(node: Node, write: Write):
    """Write a register through one replica; return whether it took effect."""
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
