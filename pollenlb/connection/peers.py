"""An entry's connections to the other entries."""

from __future__ import annotations

import random

import msgspec
from result import Err, Ok

from ..durable.key_commands import BodyHolder
from ..durable.leases import EntryInfo
from ..exceptions import ControlError
from ..ids import Address, BodyDigest, BootId
from ..process.bodies import BodyLabel, BodyStore, digest_of
from ..process.events import EventLog
from .control_api import EntriesView
from .rpc import Method, RpcChannel, RpcServer

_SERVICE = "pollenlb.Peer"
_TIMEOUT_S = 5.0
_COPY_ATTEMPTS = 3


class StoreBody(msgspec.Struct, frozen=True):
    """Asks another entry to hold a body."""

    label: BodyLabel
    body: bytes


class BodyStored(msgspec.Struct, frozen=True):
    """Tells whether the body is held, and by which process."""

    holder: BodyHolder | None


class FetchBody(msgspec.Struct, frozen=True):
    """Asks a certain process for a body."""

    boot: BootId
    digest: BodyDigest


class BodyFetched(msgspec.Struct, frozen=True):
    """The body, or None when this process does not hold it."""

    body: bytes | None


STORE = Method(_SERVICE, "Store", StoreBody, BodyStored)
FETCH = Method(_SERVICE, "Fetch", FetchBody, BodyFetched)


class BodyUnreachable(msgspec.Struct, frozen=True):
    """No holder gave the body.

    Attributes
    ----------
    without_it : list of BootId
        Processes that answered and do not hold it.
    """

    without_it: list[BootId]


class Peers:
    """Copies bodies to and from other entries.

    Parameters
    ----------
    own : EntryInfo
        This entry process.
    bodies : BodyStore
        What this process holds.
    events : EventLog
        Gives and takes the timestamps that travel with calls.
    rng : random.Random
        Chooses holders.
    """

    def __init__(
        self, own: EntryInfo, bodies: BodyStore, events: EventLog, rng: random.Random
    ) -> None:
        self._own = own
        self._bodies = bodies
        self._events = events
        self._rng = rng
        self._version = 0
        self._entries: dict[BootId, EntryInfo] = {}
        self._channels: dict[Address, RpcChannel] = {}

    @property
    def holder(self) -> BodyHolder:
        """The entry process itself as a holder of bodies."""
        return BodyHolder(self._own.instance, self._own.boot)

    @property
    def version(self) -> int:
        """Version of the list of entries that was applied last."""
        return self._version

    @property
    def entries(self) -> list[EntryInfo]:
        """Entry processes with a live lease, this one included."""
        return list(self._entries.values())

    def apply(self, view: EntriesView) -> None:
        """Take note of the entry processes that live."""
        self._version = view.version
        self._entries = {entry.boot: entry for entry in view.entries}

    def offer(self, server: RpcServer) -> None:
        """Answer the other entries' calls on a server."""
        server.offer(STORE, self._answer_store)
        server.offer(FETCH, self._answer_fetch)

    async def store_twice(
        self, body: bytes, label: BodyLabel
    ) -> tuple[BodyDigest, list[BodyHolder]]:
        """Hold a body here and at an entry of another failure domain.

        Raises
        ------
        ControlError
            When no other entry could take it.
        """
        digest = self._bodies.put(body, label)
        holder = await self.copy(body, label, without={self._own.boot})
        return digest, [self.holder, holder]

    async def copy(
        self, body: bytes, label: BodyLabel, without: set[BootId]
    ) -> BodyHolder:
        """Hold a body at one other entry, best in another failure domain.

        Raises
        ------
        ControlError
            When no other entry could take it.
        """
        for entry in self._copy_targets(without):
            channel = self._channel(entry.address)
            match await channel.call(STORE, StoreBody(label, body), _TIMEOUT_S):
                case Ok(answer) if answer.holder is not None:
                    return answer.holder
        raise ControlError("no entry in another failure domain could hold a body")

    async def fetch(
        self, digest: BodyDigest, holders: list[BodyHolder]
    ) -> Ok[bytes] | Err[BodyUnreachable]:
        """Return a body from this process or from one of its holders."""
        own = self._bodies.get(digest)
        if own is not None:
            return Ok(own)
        without_it: list[BootId] = []
        for holder in holders:
            entry = self._entries.get(holder.boot)
            if entry is None:
                continue
            if holder.boot == self._own.boot:
                without_it.append(holder.boot)
                continue
            request = FetchBody(holder.boot, digest)
            match await self._channel(entry.address).call(FETCH, request, _TIMEOUT_S):
                case Ok(answer):
                    if answer.body is not None and digest_of(answer.body) == digest:
                        return Ok(answer.body)
                    without_it.append(holder.boot)
        return Err(BodyUnreachable(without_it))

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()

    def _copy_targets(self, without: set[BootId]) -> list[EntryInfo]:
        others = [each for each in self._entries.values() if each.boot not in without]
        self._rng.shuffle(others)
        others.sort(key=lambda each: each.failure_domain == self._own.failure_domain)
        return others[:_COPY_ATTEMPTS]

    def _channel(self, address: Address) -> RpcChannel:
        if address not in self._channels:
            self._channels[address] = RpcChannel(address, self._events)
        return self._channels[address]

    async def _answer_store(self, request: StoreBody) -> BodyStored:
        try:
            self._bodies.put(request.body, request.label)
        except ControlError:
            return BodyStored(None)
        return BodyStored(self.holder)

    async def _answer_fetch(self, request: FetchBody) -> BodyFetched:
        if request.boot != self._own.boot:
            return BodyFetched(None)
        return BodyFetched(self._bodies.get(request.digest))
