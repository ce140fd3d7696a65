"""Splitting of a server-sent event stream at the blank lines between events."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator

import aiohttp

from ..clock import deadline_in, remaining_time_s

MAX_OUTPUT_BYTES = 8_388_608  # longest stream that an entry keeps in memory
_MAX_EVENT_BYTES = 1_048_576
_EVENT_END = b"\n\n"
_DATA_FIELD = b"data:"
_CONTENT_TYPE = "text/event-stream"


class BrokenStreamError(ValueError):
    """A stream ended early, is malformed or does not belong to the attempt."""


class StreamTooLongError(BrokenStreamError):
    """A stream goes on beyond what was asked for, so that none of it is an answer."""


def check_event_stream(response: aiohttp.ClientResponse) -> None:
    """Raise ``BrokenStreamError`` if an answer with status 200 is no event stream."""
    if response.content_type != _CONTENT_TYPE:
        raise BrokenStreamError(
            f"the answer is no event stream but {response.content_type}"
        )


class EventOrder:
    """Order of the events of one output, over the runs that generate it."""

    def __init__(self) -> None:
        self._last_number: int | None = None
        self._is_first_of_run = True
        # Last event after which a run that continued the output had none to add.
        self._ended_after: int | None = None

    def begin_run(self, last_number: int | None) -> None:
        """Begin a run that continues after an event; None for one from the start."""
        self._last_number = last_number
        self._is_first_of_run = True

    def check_next(self, number: int) -> None:
        """Raise ``BrokenStreamError`` if an event may not follow those before it.

        Numbers increase. A run that continues another one begins with the next.
        """
        last = self._last_number
        if last is not None and number <= last:
            raise BrokenStreamError(f"event {number} came after event {last}")
        if last is not None and self._is_first_of_run and number != last + 1:
            raise BrokenStreamError(f"resumed at event {number} after event {last}")
        self._last_number = number
        self._is_first_of_run = False
        self._ended_after = None

    def check_end(self) -> None:
        """Raise ``BrokenStreamError`` if the output may not end with this run.

        A run that continues another one may have nothing to add, if the connection
        was lost between the last event and the end. Two runs in a row have to agree
        on that, since an empty answer is also one of a server in trouble.
        """
        if not self._is_first_of_run:
            return
        if self._last_number is None or self._ended_after != self._last_number:
            self._ended_after = self._last_number
            raise BrokenStreamError("the stream ended without an event")


def iter_event_blocks(
    content: aiohttp.StreamReader,
    progress_timeout_s: float,
    max_bytes: float = math.inf,
) -> AsyncIterator[bytes]:
    """Yield the blocks of a stream, one for each event, without the blank lines.

    Parameters
    ----------
    content : aiohttp.StreamReader
        Body of the answer.
    progress_timeout_s : float
        Longest time in seconds without a complete block.
    max_bytes : float
        Greatest length of the stream.

    Raises
    ------
    TimeoutError
        When no block is complete within the timeout.
    StreamTooLongError
        When the stream is longer than ``max_bytes``.
    BrokenStreamError
        When the stream ends within an event, or an event is too large.
    """
    return _iter_parts(content, _EVENT_END, progress_timeout_s, max_bytes)


async def iter_data_lines(
    content: aiohttp.StreamReader, progress_timeout_s: float, max_bytes: float
) -> AsyncIterator[bytes]:
    """Yield the content of the ``data`` lines of a stream of server-sent events.

    The parameters and errors are those of ``iter_event_blocks``.
    """
    async for line in _iter_parts(
        content, b"\n", progress_timeout_s, max_bytes, _DATA_FIELD
    ):
        yield line[len(_DATA_FIELD) :].strip()


async def _iter_parts(
    content: aiohttp.StreamReader,
    separator: bytes,
    progress_timeout_s: float,
    max_bytes: float,
    prefix: bytes = b"",
) -> AsyncIterator[bytes]:
    """Yield the parts between separators that have a prefix and are not blank.

    Only these count as progress.
    """
    pending = b""
    received_bytes = 0
    progress_deadline = deadline_in(progress_timeout_s)
    while True:
        async with asyncio.timeout(remaining_time_s(progress_deadline)):
            chunk = await content.readany()
        if not chunk:
            break
        received_bytes += len(chunk)
        if received_bytes > max_bytes:
            raise StreamTooLongError(f"the stream is longer than {max_bytes} bytes")
        *parts, pending = (pending + chunk).split(separator)
        if len(pending) > _MAX_EVENT_BYTES:
            raise BrokenStreamError(f"an event is larger than {_MAX_EVENT_BYTES} bytes")
        has_progress = False
        for part in parts:
            if part.startswith(prefix) and part.strip():
                has_progress = True
                yield part
        if has_progress:
            progress_deadline = deadline_in(progress_timeout_s)
        elif not remaining_time_s(progress_deadline):
            # The timeout above ends only a wait; data may arrive without one.
            raise TimeoutError(f"no complete event within {progress_timeout_s:g} s")
    if pending.strip():
        raise BrokenStreamError("the stream ended within an event")
