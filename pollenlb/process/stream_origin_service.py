"""Control instance's memory of the software versions that began streams.

It is lost when the process ends. A process that starts therefore copies it from the
other control instances, and entries repeat their own streams to it.
"""

from __future__ import annotations

import asyncio

from result import Ok

from ..clock import deadline_in, remaining_time_s, sleep_until
from ..connection.control_api import (
    COPY_STREAMS,
    FIND_STREAM,
    RECORD_STREAM,
    RECORD_STREAMS,
    CopyStreams,
    FindStream,
    RecordStream,
    RecordStreams,
    StreamFound,
    StreamPage,
    StreamRecorded,
)
from ..connection.rpc import RpcServer
from ..connection.stream_table import StreamTable
from ..ids import Address, BootId, InWorkspace, RequestId, SoftwareVersion, new_id
from .control_context import ControlContext

_COPY_PAUSE_S = 0.3
_CALL_TIMEOUT_S = 1.0
_STREAMS_PER_PAGE = 5_000
# Entries in contact have repeated their streams within this time.
_REPEATED_S = 4.0


class StreamOriginService:
    """Remembers which software versions began streams, and answers entries.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context
        self._streams = StreamTable()
        self._boot = BootId(new_id(context.settings.name))
        self._is_complete = False

    def register(self, server: RpcServer) -> None:
        """Register the methods of the service."""
        server.register(RECORD_STREAM, self._record)
        server.register(RECORD_STREAMS, self._record_all)
        server.register(FIND_STREAM, self._find)
        server.register(COPY_STREAMS, self._copy)

    async def learn(self) -> None:
        """Copy the streams that the other control instances know.

        A majority was told of each stream, and this process may have been one of it.
        So many others are asked that those left out, together with this process, are
        no majority. If these have restarted, too, only the entries know the streams.
        """
        learnt_by = deadline_in(_REPEATED_S)
        copied: set[Address] = set()
        while remaining_time_s(learnt_by):
            others = self._other_members()
            asked = [each for each in others if each not in copied]
            answers = await asyncio.gather(*(self._copy_from(each) for each in asked))
            copied.update(each for each, is_whole in zip(asked, answers) if is_whole)
            member_count = len(others) + 1
            if len(copied) >= member_count - member_count // 2:
                break
            await sleep_until(deadline_in(_COPY_PAUSE_S))
        self._is_complete = True
        self._context.events.record(
            "streams.learnt",
            boot=self._boot,
            copied_from=sorted(copied),
            streams=len(self._streams),
        )

    def _other_members(self) -> list[Address]:
        settings = self._context.settings
        members = [each.address for each in self._context.replica.storage.members]
        return [
            address
            for address in members or settings.seed_addresses
            if address != settings.listen
        ]

    async def _copy_from(self, address: Address) -> bool:
        """Add all streams of an instance; return whether it knows those of before."""
        channel = self._context.replica.channel(address)
        after = 0
        while True:
            answer = await channel.call(
                COPY_STREAMS, CopyStreams(after), _CALL_TIMEOUT_S
            )
            match answer:
                case Ok(page):
                    self._streams.merge(page.streams)
                    after = page.last
                    if page.is_last:
                        return page.is_complete
                case _:
                    return False

    async def _record(self, request: RecordStream) -> StreamRecorded:
        key = InWorkspace(request.workspace, request.request)
        self._streams.add(key, request.software)
        return StreamRecorded(self._boot)

    async def _record_all(self, request: RecordStreams) -> StreamRecorded:
        self._streams.merge(request.streams)
        return StreamRecorded(self._boot)

    async def _find(self, request: FindStream) -> StreamFound:
        key = InWorkspace(request.workspace, request.request)
        software = self._streams.find(key) or self._find_without_workspace(key)
        return StreamFound(software, self._is_complete)

    def _find_without_workspace(
        self, key: InWorkspace[RequestId]
    ) -> SoftwareVersion | None:
        """Return the origin of a stream that a former release has recorded."""
        return self._streams.find(InWorkspace(None, key.name))

    async def _copy(self, request: CopyStreams) -> StreamPage:
        return self._streams.page(request.after, _STREAMS_PER_PAGE, self._is_complete)
