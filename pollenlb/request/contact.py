"""Tells a network that is cut at this entry from backend servers that are gone."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ..connection.backend import BackendServer
from ..connection.backend_api import ProcessCheck
from ..process.context import EntryContext
from .process_check import ask_for_contact

_TIMEOUT_S = 0.4
_ASKED_SERVER_COUNT = 3
# The silence of fewer other servers is no evidence of a cut.
_MIN_OTHER_COUNT = 2


async def has_contact(server: BackendServer, context: EntryContext) -> bool:
    """Ask a server for anything on a new connection; return whether it answers.

    Connections from before a cut may be dead.

    Parameters
    ----------
    server : BackendServer
        The server.
    context : EntryContext
        Parts of the entry process; its reachability records the result.
    """
    check = await ask_for_contact(server, context, _TIMEOUT_S)
    return check is not ProcessCheck.SILENT


async def has_contact_with_any(
    servers: Iterable[BackendServer], context: EntryContext
) -> bool:
    """Ask some servers at once, usable ones first; return whether any answers.

    Parameters
    ----------
    servers : iterable of BackendServer
        Servers of which some are asked.
    context : EntryContext
        Parts of the entry process; its reachability records the results.
    """
    ranked = list(servers)
    context.rng.shuffle(ranked)
    ranked.sort(key=lambda server: not server.is_usable)
    asked = ranked[:_ASKED_SERVER_COUNT]
    return any(await asyncio.gather(*(has_contact(each, context) for each in asked)))


async def is_cut_off(
    silent: BackendServer, silent_since: float, context: EntryContext
) -> bool:
    """Return whether the silence of a server may be that of the network.

    It is not if this entry has heard of any server since. Otherwise others are asked.

    Parameters
    ----------
    silent : BackendServer
        Server that gives no answer.
    silent_since : float
        Monotonic time in seconds at which its connection was lost.
    context : EntryContext
        Parts of the entry process.
    """
    reachability = context.reachability
    reachability.record_failure(silent.name, silent_since)
    if reachability.contact_at > silent_since:
        return False
    known = context.directory.servers.values()
    others = [server for server in known if server.name != silent.name]
    if len(others) < _MIN_OTHER_COUNT:
        return False
    return not await has_contact_with_any(others, context)
