"""Slots for long work, dealt out among the entries."""

from __future__ import annotations

from collections.abc import Sequence

from ..durable.configuration_commands import Announcement
from ..ids import BackendServerName, BootId


def deal_long_slots(
    servers: Sequence[Announcement],
    entries: Sequence[BootId],
    own: BootId,
    share: float,
) -> dict[BackendServerName, int]:
    """Return how much long work an entry may have at each backend server.

    All entries deal the same slots in the same order, so that together they
    keep the share without a message. Every server keeps one slot for long
    work at least.

    Parameters
    ----------
    servers : sequence of Announcement
        Backend servers of one service.
    entries : sequence of BootId
        Entry processes that live, the own one among them.
    own : BootId
        The entry process that asks.
    share : float
        Greatest share of the slots that long work may take.
    """
    order = sorted(entries)
    if own not in order:
        return {}
    position = order.index(own)
    dealt: dict[BackendServerName, int] = {}
    number = 0
    for server in sorted(servers, key=lambda each: each.server):
        for _ in range(max(1, int(server.slots * share))):
            if number % len(order) == position:
                dealt[server.server] = dealt.get(server.server, 0) + 1
            number += 1
    return dealt
