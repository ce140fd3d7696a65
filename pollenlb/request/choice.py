"""Choice of the backend server for an attempt."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from ..connection.backend import BackendServer

ChoicePolicy = Callable[[Sequence[BackendServer], random.Random], BackendServer]

SLOW_LATENCY_RATIO = 2.0
OVERDUE_RATIO = 4.0
_CHOICES = 3


def choose_server(
    servers: Sequence[BackendServer], rng: random.Random
) -> BackendServer:
    """Return the less loaded of two backend servers that are not slow.

    Two are drawn at random: entries that all took the best one would overload
    it before they learn of each other's requests. Load is the entry's own
    requests in flight, which are few but known at once.

    Parameters
    ----------
    servers : sequence of BackendServer
        Those that may get the request; at least one.
    rng : random.Random
        Draws the two.
    """
    typical_s = typical_latency_s(servers)
    steady = [each for each in servers if not is_slow(each, typical_s)]
    fit = steady or servers
    drawn = rng.sample(fit, min(_CHOICES, len(fit)))
    return min(drawn, key=lambda each: each.load.in_flight)


def typical_latency_s(servers: Sequence[BackendServer]) -> float:
    """Return the lower third of the latencies seen, in seconds.

    The median would be a slow one as soon as half of the servers are slow.
    """
    seen = sorted(each.load.latency_s for each in servers if each.load.latency_s)
    return seen[(len(seen) - 1) // 3] if seen else 0.0


def is_slow(server: BackendServer, typical_s: float) -> bool:
    """Tell whether a backend server is much slower than is typical.

    Either its latest answers were slow, or one is overdue.
    """
    if typical_s <= 0:
        return False
    load = server.load
    is_overdue = load.oldest_s > OVERDUE_RATIO * typical_s
    return is_overdue or load.expected_s(typical_s) > SLOW_LATENCY_RATIO * typical_s
