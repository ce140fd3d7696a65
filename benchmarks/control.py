"""The replicated state without its log: a command takes a fixed time."""

from __future__ import annotations

import asyncio

from pollenlb.connection.control_api import EntriesView
from pollenlb.durable.commands import Proposal
from pollenlb.durable.machine import Machine, encode_proposal
from pollenlb.durable.views import ledger_view, quarantine_view
from pollenlb.process.clock import now

COMMAND_S = 0.008
VIEW_S = 0.004


class FakeControl:
    """Applies commands to the real tables and pushes views to the entries."""

    def __init__(self) -> None:
        self.machine = Machine()
        self.entries: list = []
        self.on_ledger: list = []
        self._index = 0

    async def propose(self, command, command_id, deadline):
        """Carry out a command after the time that a commit takes."""
        await asyncio.sleep(COMMAND_S)
        self._index += 1
        proposal = Proposal(command_id, int(now() * 1000), command)
        result = self.machine.apply(self._index, encode_proposal(proposal))
        asyncio.get_running_loop().call_later(VIEW_S, self._push)
        return result

    def _push(self) -> None:
        ledger = ledger_view(self.machine)
        quarantine = quarantine_view(self.machine)
        for entry in self.entries:
            entry.ledger = ledger
            entry.quarantine = quarantine
        for wake in self.on_ledger:
            wake()


class FakePeers:
    """Holds bodies for all entries at once.

    Parameters
    ----------
    peers : Peers
        The entry's own connections, for its place among the entries.
    bodies : dict
        Bodies by digest, shared by all entries.
    """

    def __init__(self, peers, bodies: dict) -> None:
        self._peers = peers
        self._bodies = bodies

    @property
    def holder(self):
        """The entry process itself as a holder."""
        return self._peers.holder

    @property
    def entries(self):
        """Entries that live."""
        return self._peers.entries

    def apply(self, view: EntriesView) -> None:
        """Take note of the entries that live."""
        self._peers.apply(view)

    async def store_twice(self, body, label):
        """Hold a body."""
        from pollenlb.process.bodies import digest_of

        await asyncio.sleep(0.003)
        digest = digest_of(body)
        self._bodies[digest] = body
        return digest, [self.holder]

    async def fetch(self, digest, holders):
        """Return a body."""
        from result import Ok

        return Ok(self._bodies[digest])
