"""Headers and bodies that pass from one connection to the next."""

from __future__ import annotations

import asyncio
from collections.abc import Set

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from ..clock import Deadline, remaining_time_s
from ..connection.backend_api import (
    ATTEMPTS_LEFT_HEADER,
    RELAY_REFUSED_HEADER,
    REVISION_HEADER,
)
from .caller_request import CallerRequest

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)
# Headers between entries, in lower case; those of callers have no effect.
INNER_HEADERS = frozenset(
    header.lower()
    for header in (ATTEMPTS_LEFT_HEADER, RELAY_REFUSED_HEADER, REVISION_HEADER)
)


def forwarded_headers(caller: CallerRequest, dropped: Set[str]) -> CIMultiDict[str]:
    """Return the caller's headers that are sent on.

    A header that the caller sent several times stays several headers.

    Parameters
    ----------
    caller : CallerRequest
        The request.
    dropped : set of str
        Headers in lower case that are not sent on, besides those that ``Connection``
        lists.
    """
    listed = caller.http_request.headers.get("Connection", "")
    dropped = dropped | {name.strip().lower() for name in listed.split(",")}
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in caller.http_request.headers.items():
        if name.lower() not in dropped and name.lower() != "content-length":
            headers.add(name, value)
    if (
        caller.body.buffered_bytes is None
        and caller.http_request.content_length is not None
    ):
        headers["Content-Length"] = str(caller.http_request.content_length)
    return headers


async def copy_body(
    source: aiohttp.ClientResponse,
    target: web.StreamResponse,
    deadline: Deadline,
) -> None:
    """Forward the body of an answer as it arrives.

    The answer cannot be had from another server any more, so that a silent one has
    until the deadline.

    Raises
    ------
    TimeoutError
        When the deadline passes, even if the caller reads slowly.
    """
    while remaining_time_s(deadline):
        async with asyncio.timeout(remaining_time_s(deadline)):
            chunk = await source.content.readany()
        if not chunk:
            return
        async with asyncio.timeout(remaining_time_s(deadline)):
            await target.write(chunk)
    raise TimeoutError("the deadline passed before the end of the body")
