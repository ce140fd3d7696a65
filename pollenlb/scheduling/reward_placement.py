"""Schedules reward calls: which are sent next, and to which servers."""

from __future__ import annotations

import math
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from ..clock import Deadline
from ..ids import BackendServerName

K = TypeVar("K", bound=Hashable)

# Favors a server with an idle connection among servers of about equal load.
_IDLE_CONNECTION_DISCOUNT = 0.02


@dataclass(frozen=True)
class WaitingCall(Generic[K]):
    """A reward call that is ready to be sent.

    Attributes
    ----------
    key : hashable
        Identifies the call to the caller of ``place_reward_calls``.
    due_at : Deadline
        When the results of its batch job are due.
    missing_items : int
        Items of its group that have no result yet, this one included.
    avoided : frozenset of BackendServerName
        Servers that recently failed to answer the call.
    """

    key: K
    due_at: Deadline
    missing_items: int
    avoided: frozenset[BackendServerName] = frozenset()


@dataclass
class ScorerCapacity:
    """Slots of a server that answers reward calls.

    Attributes
    ----------
    server : BackendServerName
        The server.
    slots : int
        Number of requests that it runs concurrently.
    used_slots : int
        Number of slots that are in use or reserved for requests of callers; rises
        as calls are placed.
    slowness : float
        Time that work takes as a multiple of the usual time.
    allowed_starts : float
        Number of requests that the server's limit allows now; falls as calls are
        placed, and is infinite without a limit.
    idle_connections : int
        Connections to the server that can be reused; falls as calls are placed.
    far_cost : float
        Cost of using a server of another failure domain, as a multiple of the usual
        duration of a call; 0 in the entry's own.
    """

    server: BackendServerName
    slots: int
    used_slots: int
    slowness: float = 1.0
    allowed_starts: float = math.inf
    idle_connections: int = 0
    far_cost: float = 0.0

    @property
    def is_free(self) -> bool:
        """Whether the server can start another call now."""
        return self.used_slots < self.slots and self.allowed_starts >= 1

    @property
    def cost(self) -> float:
        """Expected relative time of the next call: 1 at an idle server of usual speed.

        A full server of usual speed costs 2. An idle connection saves a little.
        """
        cost = self.slowness * (1 + self.used_slots / self.slots) + self.far_cost
        return cost - (_IDLE_CONNECTION_DISCOUNT if self.idle_connections > 0 else 0)


def place_reward_calls(
    waiting: Sequence[WaitingCall[K]], servers: Sequence[ScorerCapacity]
) -> list[tuple[K, BackendServerName]]:
    """Return the keys of the calls to send now, each with its server.

    The texts of a step are completed in bursts, and each call takes many times as
    long as the callers' requests at the same servers. So calls wait here and not in
    a server's queue, and leave the slots alone that are reserved for callers.

    A server of another failure domain gets a call if those at home are as much fuller
    as the path costs, or if the call would wait longer for them than the path costs.

    A trainer uses complete groups, so the batch job with the earlier due time comes
    first, and within it the group that lacks the fewest results.

    Parameters
    ----------
    waiting : sequence of WaitingCall
        Calls to one service, in the order in which they became ready.
    servers : sequence of ScorerCapacity
        Servers of that service; changed in place.
    """
    placed: list[tuple[K, BackendServerName]] = []
    held_count = 0
    for call in sorted(waiting, key=lambda call: (call.due_at, call.missing_items)):
        free = [server for server in servers if server.is_free]
        if not free:
            break
        eligible = [server for server in free if server.server not in call.avoided]
        if not eligible:
            continue
        chosen = min(eligible, key=lambda server: server.cost)
        if chosen.far_cost and chosen.far_cost > _near_wait(servers, call, held_count):
            held_count += 1
            continue
        chosen.used_slots += 1
        chosen.allowed_starts -= 1
        chosen.idle_connections -= 1
        placed.append((call.key, chosen.server))
    return placed


def _near_wait(
    servers: Sequence[ScorerCapacity], call: WaitingCall, held_count: int
) -> float:
    """Return how long a call waits for the entry's own failure domain.

    It is a multiple of the usual duration of a call; infinite while a server is free
    there, so that the costs decide, and if none there can take the call.
    """
    near = [
        server
        for server in servers
        if not server.far_cost and server.server not in call.avoided
    ]
    if any(server.is_free for server in near):
        return math.inf
    slots = sum(server.slots / server.slowness for server in near)
    return (held_count + 1) / slots if slots else math.inf
