"""The software versions that began the streams of callers.

A stream may be continued only by servers of the software version that began it. The
version of a stream never changes, so it needs no agreement: the entry that begins a
stream tells all control instances, and an entry at which the caller takes it up asks
them. Before the first event is sent, a majority of them knows the version.

Control instances keep the versions in memory. One that starts copies them from the
others, and entries repeat their own streams to it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from enum import Enum
from typing import Any, TypeVar

import msgspec
from result import Ok, Result

from ..clock import Deadline, deadline_in, remaining_time_s, sleep_until
from ..events import EventLog
from ..ids import Address, BootId, InWorkspace, RequestId, SoftwareVersion
from .control import ControlConnection
from .control_api import (
    FIND_STREAM,
    RECORD_STREAM,
    RECORD_STREAMS,
    FindStream,
    RecordStream,
    RecordStreams,
    StreamFound,
    StreamRecorded,
)
from .rpc import CallFailure
from .stream_table import StreamTable

T = TypeVar("T")

# The first event of a stream waits at most this long for a majority.
_RECORD_WAIT_S = 0.08
# Longer than callers wait, since a call that times out closes its connection.
_CALL_TIMEOUT_S = 1.2
_FIND_TIMEOUT_S = 0.6
# Control instances that restart learn the streams within about this time.
_FIND_WAIT_S = 1.5
_FIND_PAUSE_S = 0.1
# Waiting may take this share of the time that the caller has left.
_FIND_WAIT_RATIO = 0.5
_REPEAT_INTERVAL_S = 1.0
_STREAMS_PER_CALL = 2_000


class Knowledge(Enum):
    """What the control instances know of the origin of a stream.

    Attributes
    ----------
    KNOWN
        One of them named the software version.
    UNKNOWN
        A majority has learnt all recent streams, and the stream is none of them.
    UNANSWERED
        Too few of them answered, or had learnt the streams of before they started.
    """

    KNOWN = "known"
    UNKNOWN = "unknown"
    UNANSWERED = "unanswered"


class StreamOrigin(msgspec.Struct, frozen=True):
    """Software version that began a stream, if it is known."""

    knowledge: Knowledge
    software: SoftwareVersion | None = None


class StreamOrigins:
    """Records and finds which software version began a stream.

    Parameters
    ----------
    control : ControlConnection
        Connection to the control instances.
    events : EventLog
        Receives an event when a majority does not confirm a stream in time, and when
        streams are repeated to a control instance.
    """

    def __init__(self, control: ControlConnection, events: EventLog) -> None:
        self._control = control
        self._events = events
        self._own = StreamTable()
        self._last_own: RecordStream | None = None
        # Processes that have confirmed all streams in the table.
        self._informed: dict[Address, BootId] = {}
        # Processes that have answered since the last look at all of them.
        self._heard: dict[Address, BootId | None] = {}
        self._tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Start to repeat streams to control instances that restart."""
        self._spawn(self._repeat_streams())

    async def close(self) -> None:
        """Cancel all tasks and the calls that are in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def record(
        self, request: InWorkspace[RequestId], software: SoftwareVersion
    ) -> None:
        """Record which software version began a stream.

        Returns once a majority of the control instances knows it. Without an answer
        in time the stream starts all the same, but a caller may not be able to take
        it up at another entry.
        """
        self._own.add(request, software)
        message = RecordStream(request.name, software, request.workspace)
        self._last_own = message
        pending = {
            self._spawn(self._record_at(address, message))
            for address in self._control.members
        }
        missing = len(pending) // 2 + 1
        deadline = deadline_in(_RECORD_WAIT_S)
        while pending and missing > 0 and remaining_time_s(deadline):
            done, pending = await asyncio.wait(
                pending,
                timeout=remaining_time_s(deadline),
                return_when=asyncio.FIRST_COMPLETED,
            )
            missing -= sum(call.result() for call in done)
        if missing > 0:
            self._events.record(
                "stream.not_recorded", request=request.name, software=software
            )

    async def find(
        self, request: InWorkspace[RequestId], deadline: Deadline
    ) -> StreamOrigin:
        """Return which software version began a stream.

        Waits for a moment while control instances may still learn it.

        Parameters
        ----------
        request : InWorkspace of RequestId
            Request that began the stream.
        deadline : Deadline
            Deadline of the request that takes the stream up.
        """
        software = self._own.find(request)
        if software is not None:
            return StreamOrigin(Knowledge.KNOWN, software)
        wait_s = min(_FIND_WAIT_S, _FIND_WAIT_RATIO * remaining_time_s(deadline))
        wait_until = deadline_in(wait_s)
        while True:
            origin = await self._ask(request, wait_until)
            if origin.knowledge is not Knowledge.UNANSWERED:
                return origin
            if remaining_time_s(wait_until) <= _FIND_PAUSE_S:
                return origin
            await sleep_until(deadline_in(_FIND_PAUSE_S))

    async def _ask(
        self, request: InWorkspace[RequestId], deadline: Deadline
    ) -> StreamOrigin:
        """Ask all control instances once; the first that knows the stream decides."""
        message = FindStream(request.name, request.workspace)
        members = self._control.members
        calls = [
            self._spawn(
                self._control.call_member(
                    address, FIND_STREAM, message, _CALL_TIMEOUT_S
                )
            )
            for address in members
        ]
        unaware_count = 0
        timeout_s = min(_FIND_TIMEOUT_S, remaining_time_s(deadline))
        try:
            for call in asyncio.as_completed(calls, timeout=timeout_s):
                match await call:
                    case Ok(StreamFound(software=software)) if software is not None:
                        return StreamOrigin(Knowledge.KNOWN, software)
                    case Ok(StreamFound(is_complete=True)):
                        unaware_count += 1
        except TimeoutError:
            pass  # what has answered until now decides
        is_unknown = unaware_count > len(members) // 2
        return StreamOrigin(Knowledge.UNKNOWN if is_unknown else Knowledge.UNANSWERED)

    async def _record_at(self, address: Address, message: RecordStream) -> bool:
        answer = await self._control.call_member(
            address, RECORD_STREAM, message, _CALL_TIMEOUT_S
        )
        self._record_answer(address, answer)
        return answer.is_ok()

    def _record_answer(
        self, address: Address, answer: Result[StreamRecorded, CallFailure]
    ) -> None:
        match answer:
            case Ok(recorded):
                self._heard[address] = recorded.boot
            case _:
                # It lacks a stream, even if it is still the same process.
                self._informed.pop(address, None)

    async def _repeat_streams(self) -> None:
        while True:
            await sleep_until(deadline_in(_REPEAT_INTERVAL_S))
            if self._last_own is None or not len(self._own):
                continue
            members = list(self._control.members)
            await asyncio.gather(*(self._repeat_to(address) for address in members))

    async def _repeat_to(self, address: Address) -> None:
        """Repeat all own streams to a control instance that may not know them."""
        if address not in self._heard:
            assert self._last_own is not None
            await self._record_at(address, self._last_own)
        boot = self._heard.pop(address, None)
        if boot is None or self._informed.get(address) == boot:
            return
        self._informed[address] = boot
        position, is_last, streams = 0, False, 0
        while not is_last:
            page = self._own.page(position, _STREAMS_PER_CALL)
            answer = await self._control.call_member(
                address, RECORD_STREAMS, RecordStreams(page.streams), _CALL_TIMEOUT_S
            )
            self._record_answer(address, answer)
            if answer.is_err() or self._heard[address] != boot:
                self._informed.pop(address, None)
                return
            position, is_last = page.last, page.is_last
            streams += len(page.streams)
        self._events.record(
            "streams.repeated", control=address, boot=boot, streams=streams
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
