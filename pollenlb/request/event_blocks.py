"""Splitting of a server-sent event stream at the blank lines between events."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp

_MAX_EVENT_BYTES = 1_048_576
_EVENT_END = b"\n\n"


async def iter_event_blocks(
    content: aiohttp.StreamReader, progress_timeout_s: float
) -> AsyncIterator[bytes]:
    """Yield the blocks of a stream, one for each event, without the blank lines.

    Parameters
    ----------
    content : aiohttp.StreamReader
        Body of the answer.
    progress_timeout_s : float
        Longest time in seconds without a byte of the stream.

    Raises
    ------
    TimeoutError
        When no byte arrives within the timeout.
    ValueError
        When the stream ends within an event, or an event is too large.
    """
    pending = b""
    while True:
        async with asyncio.timeout(progress_timeout_s):
            chunk = await content.readany()
        if not chunk:
            break
        *blocks, pending = (pending + chunk).split(_EVENT_END)
        if len(pending) > _MAX_EVENT_BYTES:
            raise ValueError(f"an event is larger than {_MAX_EVENT_BYTES} bytes")
        for block in blocks:
            if block:
                yield block
    if pending.strip():
        raise ValueError("the stream ended within an event")
