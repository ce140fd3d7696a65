"""Ending the answer to a caller so that it does not look complete."""

from __future__ import annotations

import socket
import struct

from aiohttp import HttpVersion11, web

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def break_off(http_request: web.Request) -> None:
    """Close the caller's connection in the middle of an answer.

    In HTTP/1.1 the last chunk, or a part of the announced length, is missing then.
    In HTTP/1.0 an answer may end with its connection, so that the connection is
    reset.

    Parameters
    ----------
    http_request : web.Request
        Request that is being answered.
    """
    transport = http_request.transport
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    if http_request.version >= HttpVersion11 or connection is None:
        transport.close()
        return
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


def is_closed(http_request: web.Request) -> bool:
    """Return whether the caller's connection is closed or being closed."""
    transport = http_request.transport
    return transport is None or transport.is_closing()
