"""A relay between two processes that can be cut."""

from __future__ import annotations

import asyncio
from enum import Enum

_CHUNK_BYTES = 65_536


class Link(Enum):
    """What a relay does with connections."""

    OPEN = "open"
    SILENT = "silent"
    CLOSED = "closed"


class Relay:
    """Passes TCP connections to a port, until it is cut.

    Parameters
    ----------
    target : int
        Port on the loopback address.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.link = Link.OPEN
        self.passed_bytes = 0
        self._opened = asyncio.Event()
        self._opened.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._silenced: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._pass, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self, link: Link = Link.SILENT) -> None:
        """Let nothing pass; a closed link also breaks its connections."""
        self.link = link
        self._opened.clear()
        if link is Link.CLOSED:
            for task in self._tasks:
                task.cancel()

    def silence_open_connections(self) -> None:
        """Let nothing more pass on connections that are open; new ones work."""
        self._silenced |= self._tasks

    def heal(self) -> None:
        """Let everything pass again."""
        self.link = Link.OPEN
        self._opened.set()

    async def stop(self) -> None:
        """Close everything."""
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        if self.link is Link.CLOSED:
            writer.transport.abort()
            return
        self._tasks.add(task)
        upstream = None
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self.target)
            await asyncio.gather(
                self._copy(task, reader, upstream[1]),
                self._copy(task, upstream[0], writer),
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            if upstream is not None:
                upstream[1].transport.abort()
        finally:
            self._tasks.discard(task)
            self._silenced.discard(task)

    async def _copy(
        self,
        task: asyncio.Task,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            await self._opened.wait()
            if task in self._silenced:
                await asyncio.Event().wait()
            writer.write(chunk)
            await writer.drain()
            self.passed_bytes += len(chunk)
        writer.close()
