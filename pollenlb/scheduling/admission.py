"""Admission control: refuses a request that cannot be served before its deadline."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from ..clock import Deadline, remaining_time_s
from ..connection.backend import BackendServer
from .choice import typical_latency_s

AdmissionPolicy = Callable[
    [Sequence[BackendServer], int, Deadline], list[BackendServer]
]

# Requests in flight from all entry processes per slot of a backend server.
MAX_REQUESTS_PER_SLOT = 2.0
# Below this estimated load per slot, one entry may exceed its share.
LIGHT_LOAD_PER_SLOT_RATIO = 0.7
# Requests that each entry may have at a backend server, however many entries exist.
_MIN_ENTRY_SHARE_COUNT = 3
# Multiplies the share of one entry at a lightly loaded backend server.
_LIGHT_LOAD_FACTOR = 4
_MIN_RETRY_AFTER_S = 1.0
# Requests that an entry lets wait at a backend server where it orders waiting requests
# itself: one, so that a slot is used again at once.
_QUEUED_AT_SERVER = 1


def admissible_servers(
    servers: Sequence[BackendServer], entries: int, deadline: Deadline
) -> list[BackendServer]:
    """Return the backend servers that can serve a request before its deadline.

    Each entry process limits its requests in flight at a backend server to its
    share of the total, so that all entries together bound the server's queue
    without knowing each other's requests. A lightly loaded server accepts more
    than one share from an entry, since the load balancer in front of the
    entries does not spread requests evenly.

    Parameters
    ----------
    servers : sequence of BackendServer
        Candidates that may get new requests.
    entries : int
        Number of entry processes that send to the same backend servers.
    deadline : Deadline
        Deadline of the request.

    Returns
    -------
    list of BackendServer
        Empty when the request should be refused as overload.
    """
    typical_s = typical_latency_s(servers)
    remaining_s = remaining_time_s(deadline)
    return [
        server
        for server in servers
        if server.load.in_flight < _max_in_flight(server, entries)
        and server.load.expected_latency_s(typical_s) < remaining_s
    ]


def free_places(servers: Sequence[BackendServer], entries: int) -> int:
    """Return how many requests this entry may send now, so that few wait at servers.

    What waits at a server can neither be served in another order nor be refused.

    Parameters
    ----------
    servers : sequence of BackendServer
        Servers that may get new requests.
    entries : int
        Number of entry processes that send to the same servers.
    """
    return sum(
        max(0, _max_places(server, entries) - server.load.in_flight)
        for server in servers
    )


def retry_after_s(servers: Sequence[BackendServer]) -> float:
    """Return the seconds after which the caller may retry a refused request.

    The estimate is the typical latency times the load per slot of the least
    loaded backend server.
    """
    load_per_slot = min(
        (server.load.in_flight_per_slot for server in servers), default=1.0
    )
    return max(_MIN_RETRY_AFTER_S, load_per_slot * typical_latency_s(servers))


def _max_places(server: BackendServer, entries: int) -> int:
    places = server.load.slots + _QUEUED_AT_SERVER
    share = max(_MIN_ENTRY_SHARE_COUNT, math.ceil(places / max(1, entries)))
    if server.load.in_flight_per_slot < LIGHT_LOAD_PER_SLOT_RATIO:
        share *= _LIGHT_LOAD_FACTOR
    return min(places, share)


def _max_in_flight(server: BackendServer, entries: int) -> int:
    share = math.ceil(MAX_REQUESTS_PER_SLOT * server.load.slots / max(1, entries))
    share = max(_MIN_ENTRY_SHARE_COUNT, share)
    is_light = server.load.in_flight_per_slot < LIGHT_LOAD_PER_SLOT_RATIO
    return share * _LIGHT_LOAD_FACTOR if is_light else share
