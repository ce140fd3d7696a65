"""A TCP relay that simulates failures of the network between two processes."""

from __future__ import annotations

import asyncio
from enum import Enum

_CHUNK_BYTES = 65_536


class LinkState(Enum):
    """State of the link that a relay simulates.

    SILENT keeps connections open but delays all data; CLOSED aborts them.
    """

    OPEN = "open"
    SILENT = "silent"
    CLOSED = "closed"


class Relay:
    """Forwards TCP connections to a port while its link is open.

    Parameters
    ----------
    target_port : int
        Port on the loopback address.

    Attributes
    ----------
    port : int
        Port on which the relay listens, from `start` on.
    forwarded_bytes : int
        Bytes that were forwarded, both directions together.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.link = LinkState.OPEN
        self.forwarded_bytes = 0
        self._open_event = asyncio.Event()
        self._open_event.set()
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task] = set()
        self._silenced_tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start to listen on a free port, or again on the one before."""
        self._server = await asyncio.start_server(
            self._forward_connection, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def interrupt(self, link: LinkState = LinkState.SILENT) -> None:
        """Stop forwarding; CLOSED also aborts open and new connections."""
        self.link = link
        self._open_event.clear()
        if link is LinkState.CLOSED:
            for task in self._connection_tasks:
                task.cancel()

    def stop_listening(self) -> None:
        """Free the port, so that new connections are refused; open ones go on."""
        assert self._server is not None
        self._server.close()

    def silence_open_connections(self) -> None:
        """Stop forwarding on the connections that are open now; new ones work."""
        self._silenced_tasks |= self._connection_tasks

    def restore(self) -> None:
        """Forward again; data that a silent link held back is delivered.

        Connections that `silence_open_connections` silenced stay silent.
        """
        self.link = LinkState.OPEN
        self._open_event.set()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        for task in list(self._connection_tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        if self.link is LinkState.CLOSED:
            writer.transport.abort()
            return
        self._connection_tasks.add(task)
        upstream = None
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self.target_port)
            await asyncio.gather(
                self._copy(task, reader, upstream[1]),
                self._copy(task, upstream[0], writer),
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            if upstream is not None:
                upstream[1].transport.abort()
        finally:
            self._connection_tasks.discard(task)
            self._silenced_tasks.discard(task)

    async def _copy(
        self,
        task: asyncio.Task,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            await self._open_event.wait()
            if task in self._silenced_tasks:
                await asyncio.Event().wait()
            writer.write(chunk)
            await writer.drain()
            self.forwarded_bytes += len(chunk)
        writer.close()
