"""The policy of pollenlb, baselines, and an oracle."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.fake_servers import FakeServer
from pollenlb.request.admission import AdmissionPolicy, admissible_servers
from pollenlb.request.choice import ChoicePolicy, choose_server
from pollenlb.request.item_placement import PlacementPolicy, place_items


@dataclass
class Policy:
    """How entries choose, admit and hedge."""

    name: str
    choose: ChoicePolicy
    admit: AdmissionPolicy
    retry_share: float = 0.0
    place: PlacementPolicy = place_items


def _admit_all(servers, entries, deadline):
    return list(servers)


def pollenlb(servers: list[FakeServer]) -> Policy:
    """Return the product's own policy."""
    return Policy("pollenlb", choose_server, admissible_servers, retry_share=0.1)


def round_robin(servers: list[FakeServer]) -> Policy:
    """Return a policy that takes one server after the other."""
    turn = itertools.count()

    def choose(found, rng):
        ordered = sorted(found, key=lambda each: each.name)
        return ordered[next(turn) % len(ordered)]

    return Policy("round_robin", choose, _admit_all)


def least_reported_load(servers: list[FakeServer]) -> Policy:
    """Return a policy that takes the server that reported the least load."""

    def choose(found, rng):
        return min(found, key=lambda each: (each.load._reported, rng.random()))

    return Policy("least_reported_load", choose, _admit_all)


def random_two(servers: list[FakeServer]) -> Policy:
    """Return a policy of two random choices on the entry's own requests."""

    def choose(found, rng):
        drawn = rng.sample(list(found), min(2, len(found)))
        return min(drawn, key=lambda each: each.load.in_flight)

    def place_two(waiting, rooms, running):
        rng = random.Random(len(waiting))
        placed = []
        for item in waiting:
            free = [
                room
                for room in rooms
                if room.taken < room.slots and room.version >= item.least_version
            ]
            if free:
                drawn = rng.sample(free, min(2, len(free)))
                room = min(drawn, key=lambda each: each.taken)
                room.taken += 1
                placed.append((item.key, room.server))
        return placed

    return Policy("random_two", choose, _admit_all, place=place_two)


def oracle(servers: list[FakeServer]) -> Policy:
    """Return a policy that knows the true state of each server."""
    by_name = {each.name: each for each in servers}

    def cost(each) -> tuple:
        server = by_name[each.name]
        waiting = max(0, server.in_flight + 1 - server.slots) / server.slots
        return (server.slowdown() * (1 + waiting), server.in_flight)

    return Policy("oracle", lambda found, rng: min(found, key=cost), _admit_all)


POLICIES: tuple[Callable[[list[FakeServer]], Policy], ...] = (
    pollenlb,
    round_robin,
    least_reported_load,
    random_two,
    oracle,
)
