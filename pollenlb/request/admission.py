"""Admission: a request that cannot be served in time is refused at once."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from ..clock import Deadline, remaining
from ..connection.backend import BackendServer
from .choice import typical_latency_s

AdmissionPolicy = Callable[
    [Sequence[BackendServer], int, Deadline], list[BackendServer]
]

MOST_PER_SLOT = 2.0
LIGHT_PER_SLOT = 0.7
_LEAST_SHARE = 3
_LIGHT_FACTOR = 4
_LEAST_RETRY_S = 1.0


def admissible_servers(
    servers: Sequence[BackendServer], entries: int, deadline: Deadline
) -> list[BackendServer]:
    """Return the backend servers that can serve a request before its deadline.

    Each entry keeps to its share of what may be at a backend server, so that
    all together bound the queue without knowing of each other's requests. A
    server that reports little load may get more from one entry, since the
    balancer does not spread requests evenly.

    Parameters
    ----------
    servers : sequence of BackendServer
        Those that may get new work.
    entries : int
        Entries that send to the same backend servers.
    deadline : Deadline
        Deadline of the request.
    """
    typical_s = typical_latency_s(servers)
    left_s = remaining(deadline)
    return [
        each
        for each in servers
        if each.load.in_flight < _most_in_flight(each, entries)
        and each.load.expected_s(typical_s) < left_s
    ]


def retry_after_s(servers: Sequence[BackendServer]) -> float:
    """Return the seconds after which a refused request may come again."""
    excess = min((each.load.per_slot for each in servers), default=1.0)
    return max(_LEAST_RETRY_S, excess * typical_latency_s(servers))


def _most_in_flight(server: BackendServer, entries: int) -> int:
    share = math.ceil(MOST_PER_SLOT * server.load.slots / max(1, entries))
    share = max(_LEAST_SHARE, share)
    is_light = server.load.per_slot < LIGHT_PER_SLOT
    return share * _LIGHT_FACTOR if is_light else share
