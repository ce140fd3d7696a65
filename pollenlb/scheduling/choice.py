"""Load balancing: choice of the backend server for an attempt.

Answers many entries with few requests each, for which a random choice opens a new
connection nearly every time, and servers that are slow for a while.
"""

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
# Share of the requests that may go to servers without an idle connection although
# others have one. It bounds the connections that are opened to use more servers.
_WIDENING_RATIO = 0.1
# Requests that a server with an idle connection may have more of this entry in flight.
_MAX_EXTRA_COUNT = 1
# Estimated requests in flight per slot from which a server is not preferred: work
# that queues is delayed by more than a new connection takes.
_LIGHT_LOAD_PER_SLOT_RATIO = 0.5


def choose_server(
    servers: Sequence[BackendServer], rng: random.Random
) -> BackendServer:
    """Return a backend server that is not clearly worse loaded than others.

    Those with an idle connection are preferred, except for a small share of the
    requests, so that an entry with many requests comes to use all servers and one with
    few stays with one. If it has none in flight and no such connection, it chooses the
    server that it ranks highest, which differs from entry to entry.

    Otherwise the least loaded of a few randomly sampled servers is chosen. The sample
    is random because entry processes that all chose the globally best server would
    overload it before they learn of each other's requests. Load is the number of this
    entry's own requests in flight: it is small, but known without delay. Reports of
    others' requests are older, so that they only end the preference for a server.

    Slow servers are chosen only when all are slow, and servers that this entry has
    filled by itself only when it has filled all.

    Parameters
    ----------
    servers : sequence of BackendServer
        Servers that may get the request; at least one.
    rng : random.Random
        Draws the sample, and the requests that go to other servers.
    """
    typical_s = typical_latency_s(servers)
    steady = [server for server in servers if not is_slow(server, typical_s)]
    eligible = steady or list(servers)
    eligible = [
        server for server in eligible if server.load.in_flight < server.load.slots
    ] or eligible
    least = min(server.load.in_flight for server in eligible)
    light = [server for server in eligible if _is_light(server, least)]
    connected = [server for server in light if server.idle_connections]
    if connected and rng.random() >= _WIDENING_RATIO:
        eligible = connected
    elif not connected and not any(server.load.in_flight for server in servers):
        return max(light or eligible, key=lambda server: server.affinity)
    sampled = rng.sample(eligible, min(_SAMPLED_SERVER_COUNT, len(eligible)))
    return min(sampled, key=lambda server: server.load.in_flight)


def _is_light(server: BackendServer, least_in_flight: int) -> bool:
    """Return whether a server is about as good as one with the least requests."""
    load = server.load
    has_free_slots = load.expected_in_flight < _LIGHT_LOAD_PER_SLOT_RATIO * load.slots
    return has_free_slots and load.in_flight <= least_in_flight + _MAX_EXTRA_COUNT


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
