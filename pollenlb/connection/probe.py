"""Probes of backend servers in pollenlb's native protocol."""

from __future__ import annotations

import aiohttp
import msgspec

from ..ids import Address
from .backend_api import PROBE_PATH, ProbeAnswer, decode_probe
from .sessions import ConnectionLostError

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
            return decode_probe(await response.read())
    except (*_PROBE_ERRORS, msgspec.MsgspecError):
        return None
