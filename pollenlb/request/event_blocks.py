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


class BrokenStreamError(ValueError):
    """A stream ended early, is malformed or does not belong to the attempt."""


class StreamTooLongError(BrokenStreamError):
    """A stream goes on beyond what was asked for, so that none of it is an answer."""


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
