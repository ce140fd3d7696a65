"""Probes of backend servers in pollenlb's native protocol."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
from yarl import URL

from ..ids import Address
from .backend_api import PROBE_PATH, ProbeAnswer, decode_probe
from .bodies import read_body
from .sessions import ConnectionLostError

_MAX_ANSWER_BYTES = 65_536
_PROBE_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)


async def probe_server(
    session: aiohttp.ClientSession, address: Address, timeout_s: float
) -> ProbeAnswer | None:
    """Probe a backend server over HTTP and return its answer.

    Returns None when there is no valid answer within ``timeout_s`` seconds.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.get(
            f"http://{address}{PROBE_PATH}", timeout=timeout
        ) as response:
            return decode_probe(await read_body(response.content, _MAX_ANSWER_BYTES))
    except (*_PROBE_ERRORS, msgspec.MsgspecError):
        return None


async def is_connection_held(address: Address, timeout_s: float) -> bool:
    """Return whether a process at an address accepts a connection and keeps it open.

    It does if it is too busy for an answer. A connection to a process that has ended
    is refused, or closed by whatever stands in between.

    Parameters
    ----------
    address : Address
        Address of the process.
    timeout_s : float
        Seconds to connect, and seconds for which the connection must stay open.
    """
    url = URL.build(scheme="http", authority=address)
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(url.host, url.port)
    except (OSError, TimeoutError):
        return False
    try:
        async with asyncio.timeout(timeout_s):
            return bool(await reader.read(1))
    except TimeoutError:
        return True
    except OSError:
        return False
    finally:
        writer.transport.abort()
