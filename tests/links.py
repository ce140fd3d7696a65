"""Links of one entry to the backend servers, which can be cut."""

from __future__ import annotations

from enum import Enum

import msgspec

from fakes.full_port import FullPort
from fakes.relay import LinkState, Relay
from pollenlb.connection.control_api import DirectoryView
from pollenlb.process.entry import EntryProcess


class Cut(Enum):
    """How the links of an entry to all backend servers are cut.

    HUNG drops all data and packets that open connections. REFUSED resets connections
    and refuses new ones. With NEW_REFUSED and NEW_HUNG, open connections go on.
    """

    HUNG = "hung"
    REFUSED = "refused"
    NEW_REFUSED = "new-refused"
    NEW_HUNG = "new-hung"


class Links:
    """Routes the connections of one entry to backend servers through relays.

    Parameters
    ----------
    system : LocalSystem or PlatformSystem
        Starts the relays.
    entry : EntryProcess
        The entry; it must not know the servers yet.
    """

    def __init__(self, system, entry: EntryProcess) -> None:
        self._system = system
        self._relays: dict[str, Relay] = {}
        self._full_ports: list[FullPort] = []
        self._directory = entry.context.directory
        self._apply = self._directory.apply
        self._directory.apply = self._apply_relayed

    async def add(self, port: int) -> None:
        """Route the connections to a server's port through a relay."""
        self._relays[f"127.0.0.1:{port}"] = await self._system.add_relay(port)

    async def cut(self, how: Cut) -> None:
        """Cut all links."""
        for relay in self._relays.values():
            relay.stop_listening()
            if how is Cut.HUNG:
                relay.interrupt(LinkState.SILENT)
            elif how is Cut.REFUSED:
                relay.interrupt(LinkState.CLOSED)
            if how in (Cut.HUNG, Cut.NEW_HUNG):
                self._full_ports.append(FullPort(relay.port))

    async def restore(self) -> None:
        """End the cut."""
        self.close()
        for relay in self._relays.values():
            relay.restore()
            await relay.start()

    def close(self) -> None:
        """Free the ports of hanging connections."""
        for full_port in self._full_ports:
            full_port.close()
        self._full_ports.clear()

    def _apply_relayed(self, view: DirectoryView) -> None:
        servers = [
            msgspec.structs.replace(
                each, address=f"127.0.0.1:{self._relays[each.address].port}"
            )
            for each in view.servers
        ]
        self._apply(msgspec.structs.replace(view, servers=servers))
