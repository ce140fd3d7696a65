"""The software versions that began the streams of callers.

A stream may be continued only by servers of the software version that began it. The
version of a stream never changes, so it needs no agreement: the entry that begins a
stream tells all control instances, and an entry at which the caller takes it up asks
them. Before the first event is sent, a majority of them knows the version.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from ..clock import Deadline, deadline_in, remaining_time_s
from ..events import EventLog
from ..ids import RequestId, SoftwareVersion
from .control import ControlConnection

# Callers take a stream up while their own deadline lasts, which is shorter.
_KEPT_S = 60.0
_MAX_STREAM_COUNT = 50_000
# The first event of a stream waits at most this long for a majority.
_RECORD_WAIT_S = 0.08
_FIND_TIMEOUT_S = 0.6


class StreamTable:
    """Software versions of recent streams, by the request that began them."""

    def __init__(self) -> None:
        self._streams: OrderedDict[RequestId, tuple[SoftwareVersion, Deadline]] = (
            OrderedDict()
        )

    def add(self, request: RequestId, software: SoftwareVersion) -> None:
        """Add a stream, and remove those that are too old or too many."""
        self._streams[request] = (software, deadline_in(_KEPT_S))
        while self._streams:
            _, kept_until = next(iter(self._streams.values()))
            is_expired = not remaining_time_s(kept_until)
            if not is_expired and len(self._streams) <= _MAX_STREAM_COUNT:
                return
            self._streams.popitem(last=False)

    def find(self, request: RequestId) -> SoftwareVersion | None:
        """Return the software version that began a stream; None if not known."""
        software, kept_until = self._streams.get(request, (None, Deadline(0.0)))
        return software if remaining_time_s(kept_until) else None


class StreamOrigins:
    """Records and finds which software version began a stream.

    Parameters
    ----------
    control : ControlConnection
        Connection to the control instances.
    events : EventLog
        Receives an event when a majority does not confirm a stream in time.
    """

    def __init__(self, control: ControlConnection, events: EventLog) -> None:
        self._control = control
        self._events = events
        self._own = StreamTable()
        self._recording: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Cancel the calls that are in flight."""
        for task in self._recording:
            task.cancel()
        await asyncio.gather(*self._recording, return_exceptions=True)

    async def record(self, request: RequestId, software: SoftwareVersion) -> None:
        """Record which software version began a stream.

        Returns once a majority of the control instances knows it. Without an answer
        in time the stream starts all the same, but a caller may not be able to take
        it up at another entry.
        """
        self._own.add(request, software)
        task = asyncio.create_task(self._control.record_stream(request, software))
        self._recording.add(task)
        task.add_done_callback(self._recording.discard)
        await asyncio.wait({task}, timeout=_RECORD_WAIT_S)
        if not task.done() or not task.result():
            self._events.record(
                "stream.not_recorded", request=request, software=software
            )

    async def find(self, request: RequestId) -> SoftwareVersion | None:
        """Return the software version that began a stream.

        None if no control instance that answers in time knows it.
        """
        software = self._own.find(request)
        if software is None:
            software = await self._control.find_stream(request, _FIND_TIMEOUT_S)
        return software
