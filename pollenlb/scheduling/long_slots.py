"""Allocation of the slots for long requests among the entry processes."""

from __future__ import annotations

from collections.abc import Sequence

from ..durable.configuration_commands import Announcement
from ..ids import BackendServerName, BootId


def allocate_long_slots(
    servers: Sequence[Announcement],
    entries: Sequence[BootId],
    own: BootId,
    share: float,
) -> dict[BackendServerName, int]:
    """Return how many long requests an entry may send to each backend server.

    Every entry allocates the same slots round-robin in the same order, so that
    all together keep the limit without exchanging messages. Every backend
    server has at least one slot for long requests.

    Parameters
    ----------
    servers : sequence of Announcement
        Backend servers of one service.
    entries : sequence of BootId
        Entry processes with a live lease, including this one.
    own : BootId
        This entry process.
    share : float
        Maximum share of a server's slots for long requests, from 0 to 1.

    Returns
    -------
    dict
        Number of slots by backend server, without those that have no slot for
        this entry. Empty when this entry is not among ``entries``.
    """
    boots = sorted(entries)
    if own not in boots:
        return {}
    position = boots.index(own)
    allocated: dict[BackendServerName, int] = {}
    slot_number = 0
    for server in sorted(servers, key=lambda announcement: announcement.server):
        for _ in range(max(1, int(server.slots * share))):
            if slot_number % len(boots) == position:
                allocated[server.server] = allocated.get(server.server, 0) + 1
            slot_number += 1
    return allocated
