"""Links from one entry to all engines, which can be cut."""

from __future__ import annotations

import msgspec

from fakes.relay import LinkState, Relay
from pollenlb.connection.control_api import DirectoryView
from pollenlb.process.entry import EntryProcess

from ..local_system import wait_until
from .platform_system import PlatformSystem


class EntryLinks:
    """Links from one entry to all engines, which can be cut."""

    def __init__(self, system: PlatformSystem, entry: EntryProcess) -> None:
        self._system = system
        self._entry = entry
        self._relays: dict[str, Relay] = {}

    async def start(self) -> None:
        """Let the entry reach the engines through relays from now on."""
        for engine in self._system.engines:
            relay = Relay(engine.port)
            await relay.start()
            self._relays[f"127.0.0.1:{engine.port}"] = relay
        directory = self._entry.context.directory
        apply = directory.apply

        def apply_with_relays(view: DirectoryView) -> None:
            servers = [
                msgspec.structs.replace(
                    server,
                    address=f"127.0.0.1:{self._relays[server.address].port}",
                )
                for server in view.servers
            ]
            apply(msgspec.structs.replace(view, servers=servers))

        directory.apply = apply_with_relays
        directory._version = 0
        ports = {f"127.0.0.1:{relay.port}" for relay in self._relays.values()}
        await wait_until(
            lambda: {
                server.announcement.address for server in directory.servers.values()
            }
            == ports
        )

    def cut(self, link: LinkState, count: int | None = None) -> None:
        """Cut the links to all engines, or to the first ones."""
        for relay in list(self._relays.values())[:count]:
            relay.interrupt(link)

    def restore(self) -> None:
        """End the cut."""
        for relay in self._relays.values():
            relay.restore()

    async def stop(self) -> None:
        """Close all connections."""
        for relay in self._relays.values():
            await relay.stop()
