"""Load balancing: choice of the backend server for an attempt."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from ..connection.backend import BackendServer

ChoicePolicy = Callable[[Sequence[BackendServer], random.Random], BackendServer]

# Expected latency, as a multiple of the typical latency, above which a backend
# server counts as slow.
SLOW_LATENCY_RATIO = 2.0
# Age of the oldest request in flight, as a multiple of the typical latency,
# above which a backend server counts as slow.
OVERDUE_LATENCY_RATIO = 4.0
_SAMPLED_SERVER_COUNT = 3


def choose_server(
    servers: Sequence[BackendServer], rng: random.Random
) -> BackendServer:
    """Return the least loaded of a few randomly sampled backend servers.

    Slow servers are sampled only when all are slow. The sample is random
    because entry processes that all chose the globally best server would
    overload it before they learn of each other's requests. Load is the number
    of this entry's own requests in flight: it is small, but known without delay.

    Parameters
    ----------
    servers : sequence of BackendServer
        Servers that may get the request; at least one.
    rng : random.Random
        Draws the sample.
    """
    typical_s = typical_latency_s(servers)
    steady = [server for server in servers if not is_slow(server, typical_s)]
    eligible = steady or servers
    sampled = rng.sample(eligible, min(_SAMPLED_SERVER_COUNT, len(eligible)))
    return min(sampled, key=lambda server: server.load.in_flight)


def typical_latency_s(servers: Sequence[BackendServer]) -> float:
    """Return the lower tercile of the servers' latencies, in seconds.

    Servers without an observed latency are left out; 0 when none has one. The
    median would be a slow server's latency as soon as half of the servers are
    slow.
    """
    latencies_s = sorted(
        server.load.latency_s for server in servers if server.load.latency_s
    )
    return latencies_s[(len(latencies_s) - 1) // 3] if latencies_s else 0.0


def is_slow(server: BackendServer, typical_s: float) -> bool:
    """Return whether a backend server is much slower than is typical.

    A server is slow when its recent answers were slow or when its oldest
    request in flight is overdue.

    Parameters
    ----------
    server : BackendServer
        The server to judge.
    typical_s : float
        Typical latency of the service's backend servers in seconds; 0 when it
        is not known, in which case no server is slow.
    """
    if typical_s <= 0:
        return False
    load = server.load
    is_overdue = load.oldest_request_age_s > OVERDUE_LATENCY_RATIO * typical_s
    return (
        is_overdue
        or load.expected_latency_s(typical_s) > SLOW_LATENCY_RATIO * typical_s
    )
