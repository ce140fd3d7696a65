"""A fake of the platform's TCP load balancer in front of the entries."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp

_CHECK_INTERVAL_S = 0.3
_CHUNK_BYTES = 65_536


class FakeBalancer:
    """Forwards TCP connections round robin to the ready entries.

    A connection is closed while no entry passes the readiness check.

    Parameters
    ----------
    port : int
        Port on the loopback address; 0 lets the operating system choose one.
    entries : list of str
        Addresses of the entries, ``IP:PORT``.
    """

    def __init__(self, port: int, entries: list[str]) -> None:
        self.port = port
        self._entries = entries
        self._ready_entries: list[str] = []
        self._next_index = itertools.count()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start to listen and to check periodically which entries are ready."""
        self._server = await asyncio.start_server(
            self._forward_connection, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.add(asyncio.create_task(self._check_periodically()))

    async def stop(self) -> None:
        """Stop the listener and the readiness checks."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def _check_periodically(self) -> None:
        timeout = aiohttp.ClientTimeout(total=0.5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                checks = [self._is_ready(session, entry) for entry in self._entries]
                results = await asyncio.gather(*checks)
                self._ready_entries = [
                    entry for entry, is_ready in zip(self._entries, results) if is_ready
                ]
                await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _is_ready(self, session: aiohttp.ClientSession, entry: str) -> bool:
        try:
            async with session.get(f"http://{entry}/readyz") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for _ in range(len(self._ready_entries)):
            entry = self._ready_entries[
                next(self._next_index) % len(self._ready_entries)
            ]
            host, _, port = entry.rpartition(":")
            try:
                upstream = await asyncio.open_connection(host, int(port))
            except OSError:
                continue
            await _relay((reader, writer), upstream)
            return
        writer.close()


async def _relay(client: tuple, upstream: tuple) -> None:
    try:
        await asyncio.gather(
            _copy(client[0], upstream[1]), _copy(upstream[0], client[1])
        )
    except asyncio.CancelledError:
        return  # The balancer is stopping, which ends its connections.


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while chunk := await reader.read(_CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()
