"""Reading the bodies of backend servers' answers up to a limit."""

from __future__ import annotations

import aiohttp


class BodyTooLongError(aiohttp.ClientPayloadError):
    """A body is longer than the reader accepts.

    A subclass of aiohttp's error, so that it is handled like any other body that
    could not be received.

    Parameters
    ----------
    max_bytes : int
        Greatest length that the reader accepts.
    """

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the body is longer than {max_bytes} bytes")


async def read_body(content: aiohttp.StreamReader, max_bytes: int) -> bytes:
    """Return a complete body.

    Raises
    ------
    BodyTooLongError
        When more than ``max_bytes`` bytes arrive. The connection must be closed,
        since the rest of the body is not read.
    """
    body = bytearray()
    async for chunk in content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise BodyTooLongError(max_bytes)
    return bytes(body)
