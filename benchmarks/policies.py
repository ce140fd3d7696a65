"""Load balancing policies: the product's own, baselines and an oracle.

The name of each factory function is the policy's name in the report.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.fake_servers import FakeServer
from pollenlb.scheduling.admission import AdmissionPolicy, admissible_servers
from pollenlb.scheduling.choice import ChoicePolicy, choose_server
from pollenlb.scheduling.item_placement import PlacementPolicy, place_items


@dataclass
class Policy:
    """How entries choose servers, admit requests, retry and place items.

    Attributes
    ----------
    choose : callable
        Chooses one of the servers that may take a request.
    admit : callable
        Returns the servers that may take a request before its deadline.
    retry_share : float
        Retries and hedges as a share of the requests; 0 allows neither.
    place : callable
        Places the waiting items of batch jobs at engines.
    """

    name: str
    choose: ChoicePolicy
    admit: AdmissionPolicy
    retry_share: float = 0.0
    place: PlacementPolicy = place_items


def _admit_all(servers, entries, deadline):
    return list(servers)


def pollenlb(servers: list[FakeServer]) -> Policy:
    """Return the product's own policy, with retries and hedging."""
    return Policy("pollenlb", choose_server, admissible_servers, retry_share=0.1)


def round_robin(servers: list[FakeServer]) -> Policy:
    """Return a policy that chooses the servers in turn, by name."""
    turn = itertools.count()

    def choose(candidates, rng):
        ordered = sorted(candidates, key=lambda server: server.name)
        return ordered[next(turn) % len(ordered)]

    return Policy("round_robin", choose, _admit_all)


def least_reported_load(servers: list[FakeServer]) -> Policy:
    """Return a policy that chooses the server that reported the least load."""

    def choose(candidates, rng):
        return min(
            candidates,
            key=lambda server: (server.load._reported_in_flight, rng.random()),
        )

    return Policy("least_reported_load", choose, _admit_all)


def random_two(servers: list[FakeServer]) -> Policy:
    """Return a policy of the power of two choices.

    Of two random servers, it takes the one with fewer of the entry's own requests.
    """

    def choose(candidates, rng):
        drawn = rng.sample(list(candidates), min(2, len(candidates)))
        return min(drawn, key=lambda server: server.load.in_flight)

    def place_at_random_two(waiting, engines, running):
        rng = random.Random(len(waiting))
        placed = []
        for item in waiting:
            free = [
                engine
                for engine in engines
                if engine.used_slots < engine.slots
                and engine.version >= item.least_version
            ]
            if free:
                drawn = rng.sample(free, min(2, len(free)))
                engine = min(drawn, key=lambda candidate: candidate.used_slots)
                engine.used_slots += 1
                placed.append((item.key, engine.server))
        return placed

    return Policy("random_two", choose, _admit_all, place=place_at_random_two)


def oracle(servers: list[FakeServer]) -> Policy:
    """Return a policy that knows the true load and speed of each server."""
    servers_by_name = {server.name: server for server in servers}

    def cost(candidate) -> tuple:
        server = servers_by_name[candidate.name]
        waiting = max(0, server.in_flight + 1 - server.slots) / server.slots
        return (server.slowdown() * (1 + waiting), server.in_flight)

    return Policy(
        "oracle", lambda candidates, rng: min(candidates, key=cost), _admit_all
    )


POLICIES: tuple[Callable[[list[FakeServer]], Policy], ...] = (
    pollenlb,
    round_robin,
    least_reported_load,
    random_two,
    oracle,
)
