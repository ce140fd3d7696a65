"""Events of a stream, split at the blank lines between them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp

_MOST_BLOCK_BYTES = 1_048_576
_EVENT_END = b"\n\n"


async def iter_event_blocks(
    content: aiohttp.StreamReader, stall_s: float
) -> AsyncIterator[bytes]:
    """Yield the events of a stream.

    Parameters
    ----------
    content : aiohttp.StreamReader
        Body of the answer.
    stall_s : float
        Longest silence in seconds.

    Raises
    ------
    TimeoutError
        When the stream is silent for too long.
    ValueError
        When it ends within an event, or one is too large.
    """
    pending = b""
    while True:
        async with asyncio.timeout(stall_s):
            chunk = await content.readany()
        if not chunk:
            break
        *blocks, pending = (pending + chunk).split(_EVENT_END)
        if len(pending) > _MOST_BLOCK_BYTES:
            raise ValueError("an event is too large")
        for block in blocks:
            if block:
                yield block
    if pending.strip():
        raise ValueError("the stream ended within an event")
