"""Choice of the callers' connections that are closed when they cost too much.

Answers the load of callers that respect no limit: many connections that never send a
complete request, or that make the process hold more and more bytes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

K = TypeVar("K")


@dataclass(frozen=True)
class ConnectionLoad:
    """What one connection costs, and what closing it would interrupt.

    Attributes
    ----------
    held_bytes : int
        Bytes of incomplete and waiting requests that are held for it.
    opened_at : float
        When it was opened, in seconds.
    is_running : bool
        Whether a request runs on it.
    has_sent_request : bool
        Whether a complete request has arrived on it.
    """

    held_bytes: int
    opened_at: float
    is_running: bool
    has_sent_request: bool


def choose_to_free_bytes(
    loads: Mapping[K, ConnectionLoad], max_held_bytes: int
) -> list[K]:
    """Return the connections to close so that the held bytes are within the budget.

    Connections on which no request runs come first, then those that hold the most,
    then the newest. A caller with an ordinary head is thus not closed for what
    others send.

    Parameters
    ----------
    loads : mapping
        What each connection costs.
    max_held_bytes : int
        Budget over all connections, in bytes.
    """
    excess_bytes = sum(load.held_bytes for load in loads.values()) - max_held_bytes
    chosen: list[K] = []
    if excess_bytes <= 0:
        return chosen
    for key in sorted(loads, key=lambda key: _byte_rank(loads[key])):
        if excess_bytes <= 0 or not loads[key].held_bytes:
            break
        chosen.append(key)
        excess_bytes -= loads[key].held_bytes
    return chosen


def choose_to_make_room(loads: Mapping[K, ConnectionLoad], max_count: int) -> list[K]:
    """Return the connections to close so that there are at most ``max_count``.

    Connections that have not sent a complete request come first, the oldest of them
    before the others: it had the most time to send one. Then follows the newest of
    those without a running request, then the newest of all.

    Parameters
    ----------
    loads : mapping
        What each connection costs.
    max_count : int
        Greatest number of open connections.
    """
    excess_count = max(0, len(loads) - max_count)
    if not excess_count:
        return []
    return sorted(loads, key=lambda key: _count_rank(loads[key]))[:excess_count]


def _byte_rank(load: ConnectionLoad) -> tuple[bool, int, float]:
    return load.is_running, -load.held_bytes, -load.opened_at


def _count_rank(load: ConnectionLoad) -> tuple[bool, bool, float]:
    if not load.has_sent_request:
        return False, False, load.opened_at
    return True, load.is_running, -load.opened_at
