"""Probes of backend servers in pollenlb's native protocol."""

from __future__ import annotations

import aiohttp
import msgspec

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
