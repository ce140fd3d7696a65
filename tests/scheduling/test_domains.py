"""Requests leave a failure domain only as far as its own servers are too few."""

from __future__ import annotations

import heapq
import math
import random
import statistics
from collections import Counter

import pytest

from pollenlb.scheduling.domains import DomainChoice, DomainView, expected_wait_s
from pollenlb.scheduling.item_moves import EngineSpeed, RunningItem, choose_moves
from pollenlb.scheduling.item_placement import (
    EngineCapacity,
    WaitingItem,
    place_items,
)
from pollenlb.scheduling.reward_placement import (
    ScorerCapacity,
    WaitingCall,
    place_reward_calls,
)

_DOMAINS = ("a", "b", "c")
_FAR_COST_S = 0.02
# Waiting time at which as many requests leave as may.
_FULL_RAMP_S = 3 * _FAR_COST_S


def _shares(choice, waits, at_s=100.0, count=400, far_cost_s=_FAR_COST_S) -> Counter:
    """Return how many of the requests go to each domain once the share is steady."""
    rng = random.Random(1)
    views = [DomainView(domain, wait_s) for domain, wait_s in waits.items()]
    for number in range(400):
        choice.choose(views, far_cost_s, at_s + 0.1 * number, rng)
    return Counter(
        choice.choose(views, far_cost_s, at_s + 40 + 0.01 * number, rng)
        for number in range(count)
    )


@pytest.mark.parametrize("wait_s", [0.0, 0.01, _FAR_COST_S])
def test_requests_stay_while_the_wait_is_worth_less_than_the_path(wait_s):
    waits = {"a": wait_s, "b": 0.0, "c": 0.0}
    assert set(_shares(DomainChoice("a"), waits)) == {"a"}


def test_the_share_that_leaves_grows_with_the_wait():
    shares = [
        400 - _shares(DomainChoice("a"), {"a": wait_s, "b": 0.0, "c": 0.0})["a"]
        for wait_s in (0.02, 0.03, 0.04, 0.05, 0.06, 1.0)
    ]
    assert shares == sorted(shares)
    assert 60 < shares[1] < 140 and 160 < shares[2] < 240
    assert shares[-1] < 400  # some stay, to notice the end of the wait


def test_less_loaded_domain_gets_more():
    shares = _shares(DomainChoice("a"), {"a": 0.2, "b": 0.15, "c": 0.0})
    assert shares["c"] > 3 * shares["b"] > 0


def test_no_request_goes_to_a_domain_that_waits_as_long():
    assert set(_shares(DomainChoice("a"), {"a": 0.5, "b": 0.6, "c": 0.49})) == {"a"}


def test_without_a_server_at_home_the_nearest_other_domain_is_chosen():
    choice = DomainChoice("a")
    assert _shares(choice, {"b": 0.3, "c": 0.1}) == {"c": 400}
    choice.record_failure("c", 140.0)
    assert choice.choose(
        [DomainView("b", 0.3), DomainView("c", 0.1)], 0.02, 140.5, random.Random(1)
    ) == ("b")


# Guards against requests that take longer over a slow link than they would have waited.
def test_a_slow_link_is_not_used_until_it_has_recovered():
    choice = DomainChoice("a")
    waits = {"a": 0.06, "b": 0.0}
    assert _shares(choice, waits, 0.0)["b"] > 300
    choice.record_latency("a", 0.02, 100.0)
    for _ in range(50):
        choice.record_latency("b", 0.3, 100.0)
    rng = random.Random(1)
    views = [DomainView(domain, wait_s) for domain, wait_s in waits.items()]
    chosen = [choice.choose(views, _FAR_COST_S, 100.1, rng) for _ in range(200)]
    assert set(chosen) == {"a"}
    # Its latency is no longer known, so that it is tried again.
    assert "b" in _shares(choice, waits, 140.0)


def test_a_failing_domain_is_avoided_for_longer_each_time():
    choice = DomainChoice("a")
    views = [DomainView("a", 1.0), DomainView("b", 0.0)]

    def uses_b(at_s: float) -> bool:
        rng = random.Random(1)
        return "b" in [choice.choose(views, 0.02, at_s, rng) for _ in range(100)]

    assert "b" in _shares(choice, {"a": 1.0, "b": 0.0}, 0.0)
    choice.record_failure("b", 100.0)
    assert not uses_b(100.5)
    assert uses_b(101.5)
    choice.record_failure("b", 102.0)
    assert not uses_b(103.5)
    choice.record_latency("b", 0.02, 103.6)
    assert uses_b(103.7)


def test_expected_wait_counts_what_exceeds_the_slots():
    assert expected_wait_s(7, 8, 0.1) == 0
    assert expected_wait_s(15, 8, 0.1) == pytest.approx(0.1)
    assert expected_wait_s(0, 8, 0.1, 0.05) == pytest.approx(0.05)


class _Entry:
    """An entry that knows only what its own requests met."""

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self.choice = DomainChoice(domain)
        self._waits: dict[str, tuple[float, float]] = {}

    def observe(self, domain: str, wait_s: float, took_s: float, at_s: float) -> None:
        """Record an answer; without a queue, also how long a request takes there."""
        self._waits[domain] = (wait_s, at_s)
        if not wait_s:
            self.choice.record_latency(domain, took_s, at_s)

    def choose(self, at_s: float, rng: random.Random, far_cost_s: float) -> str:
        """Return the domain for a request, from observations that lose their value."""
        views = []
        for domain in _DOMAINS:
            wait_s, seen_at = self._waits.get(domain, (0.0, at_s))
            views.append(DomainView(domain, wait_s * math.exp((seen_at - at_s) / 4)))
        return self.choice.choose(views, far_cost_s, at_s, rng)


def _simulate(
    capacity_per_s: dict[str, float],
    rate_per_s: float = 48.0,
    link_s: float = 0.002,
    far_cost_s: float = _FAR_COST_S,
    entry_count: int = 16,
    duration_s: float = 90.0,
    seed: int = 1,
) -> tuple[list[Counter], dict[str, list[float]]]:
    """Return the number of requests by way in each second, and waits by domain.

    The waits and ways of the first 30 seconds are left out.
    """
    rng = random.Random(seed)
    entries = [_Entry(domain) for domain in _DOMAINS for _ in range(entry_count)]
    backlog = dict.fromkeys(_DOMAINS, 0.0)
    drained_at = dict.fromkeys(_DOMAINS, 0.0)
    answers: list = []
    ways: list[Counter] = [Counter() for _ in range(int(duration_s))]
    waits: dict[str, list[float]] = {domain: [] for domain in _DOMAINS}
    at_s, number = 0.0, 0
    while True:
        at_s += rng.expovariate(rate_per_s * len(_DOMAINS))
        if at_s >= duration_s:
            return ways[30:], waits
        while answers and answers[0][0] <= at_s:
            answered_at, _, entry, domain, wait_s, took_s = heapq.heappop(answers)
            entry.observe(domain, wait_s, took_s, answered_at)
        entry = rng.choice(entries)
        domain = entry.choose(at_s, rng, far_cost_s)
        capacity = capacity_per_s[domain]
        elapsed_s = at_s - drained_at[domain]
        backlog[domain] = max(0.0, backlog[domain] - elapsed_s * capacity) + 1
        drained_at[domain] = at_s
        wait_s = max(0.0, backlog[domain] / capacity - 0.1)  # the slots run 0.1 s
        path_s = link_s if domain != entry.domain else 0.0
        number += 1
        took_s = wait_s + 0.1 + path_s
        heapq.heappush(answers, (at_s + took_s, number, entry, domain, wait_s, took_s))
        ways[int(at_s)][entry.domain, domain] += 1
        if at_s >= 30:
            waits[domain].append(wait_s)


def _leaving_ratios(ways: list[Counter], domain: str, step: int = 5) -> list[float]:
    """Return the share of a domain's requests that leave it, by interval of seconds."""
    ratios = []
    for start in range(0, len(ways), step):
        total = sum(ways[start : start + step], Counter())
        sent = {to: total[domain, to] for to in _DOMAINS}
        ratios.append(1 - sent[domain] / sum(sent.values()))
    return ratios


# Guards against a queue in a domain with too few servers, and against entries that all
# leave and return together. Each entry sends three requests a second.
@pytest.mark.parametrize("small", _DOMAINS)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_domain_with_too_few_servers_uses_the_others(small, seed):
    capacity = {domain: 30.0 if domain == small else 80.0 for domain in _DOMAINS}
    ways, waits = _simulate(capacity, seed=seed)
    assert statistics.fmean(waits[small]) < _FULL_RAMP_S
    ratios = _leaving_ratios(ways, small)
    needed = 1 - 30 / 48
    assert needed - 0.05 < statistics.fmean(ratios) < needed + 0.2
    assert statistics.pstdev(ratios) < 0.1
    assert 0.1 < min(ratios) and max(ratios) < 0.9
    for domain in _DOMAINS:
        if domain != small:
            assert statistics.fmean(_leaving_ratios(ways, domain)) < 0.05
            assert statistics.fmean(waits[domain]) < _FAR_COST_S


def test_entries_with_few_requests_each_do_not_leave_and_return_together():
    capacity = {"a": 30.0, "b": 80.0, "c": 80.0}
    ways, waits = _simulate(capacity, entry_count=100, duration_s=150)
    ratios = _leaving_ratios(ways, "a")
    assert statistics.pstdev(ratios) < 0.1
    assert 0.1 < min(ratios) and max(ratios) < 0.9


def test_domains_with_enough_servers_keep_their_requests():
    ways, _ = _simulate(dict.fromkeys(_DOMAINS, 80.0))
    for domain in _DOMAINS:
        assert statistics.fmean(_leaving_ratios(ways, domain)) < 0.02


def test_a_slow_link_keeps_requests_at_home():
    fast, _ = _simulate({"a": 40.0, "b": 80.0, "c": 80.0})
    slow, waits = _simulate({"a": 46.0, "b": 80.0, "c": 80.0}, link_s=2.0)
    assert statistics.fmean(_leaving_ratios(fast, "a")) > 0.1
    assert statistics.fmean(_leaving_ratios(slow, "a")) < 0.1


def _engine(name: str, used: int, far_cost: float = 0.0) -> EngineCapacity:
    return EngineCapacity(name, 8, used, 1, far_cost=far_cost)


def _items(count: int, **options) -> list[WaitingItem]:
    return [
        WaitingItem(number, "job", 0.0, f"g-{number}", False, 1.0, 1, **options)
        for number in range(count)
    ]


def _placed_at(placed) -> Counter:
    return Counter(server for _, server in placed)


@pytest.mark.parametrize("far_cost, near", [(0.0, 4), (0.5, 6), (1.0, 8)])
def test_items_leave_once_the_engines_at_home_are_fuller(far_cost, near):
    engines = [_engine("near", 0), _engine("far", 0, far_cost)]
    assert _placed_at(place_items(_items(8), engines))["near"] == near


# Guards against items that all leave at once, although the first of them would soon
# start at home, and against items that wait although no engine there can run them.
def test_items_at_the_end_of_the_queue_leave():
    engines = [_engine("near", 8), _engine("far", 0, 0.5)]
    placed = place_items(_items(10), engines)
    assert [key for key, _ in placed] == [3, 4, 5, 6, 7, 8, 9]
    engines = [_engine("near", 8), _engine("far", 0, 0.5)]
    avoiding = _items(2, avoided=frozenset(["near"]))
    assert _placed_at(place_items(avoiding, engines)) == {"far": 2}


def test_reward_calls_at_the_end_of_the_queue_leave():
    def place(count, near_used, avoided=frozenset()):
        calls = [WaitingCall(number, 0.0, 1, avoided) for number in range(count)]
        servers = [
            ScorerCapacity("near", 8, near_used),
            ScorerCapacity("far", 8, 0, far_cost=0.5),
        ]
        return place_reward_calls(calls, servers)

    assert _placed_at(place(4, 0)) == {"near": 4}
    assert _placed_at(place(8, 0)) == {"near": 6, "far": 2}
    assert [key for key, _ in place(6, 8)] == [3, 4, 5]
    assert _placed_at(place(2, 8, frozenset(["near"]))) == {"far": 2}


def test_items_move_to_another_domain_only_if_that_saves_more_than_it_costs():
    running = [RunningItem("item", "job", "slow", 5, 100, 1.0)]

    def moved(near_slots: int, far_cost_s: float) -> list:
        speeds = [
            EngineSpeed("slow", 0.1, 0.0, 0),
            EngineSpeed("far", 0.01, 0.0, 4, far_cost_s=far_cost_s),
            EngineSpeed("near", 0.01, 0.0, near_slots),
        ]
        return choose_moves(running, speeds)

    assert moved(0, 0.02) == ["item"]
    assert moved(0, 30.0) == []
    assert moved(1, 30.0) == ["item"]
