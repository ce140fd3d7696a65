"""Numbers of backend servers, over recorded and made-up demand."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, strategies as st

from pollenlb.scheduling.replicas import (
    DemandSample,
    DomainServers,
    ScalingRules,
    plan_order,
)

SLOTS = 8
_TRACE = json.loads(Path(__file__).with_name("replica_demand.json").read_text())


def _rules(**options) -> ScalingRules:
    values = {
        "min_count": 1,
        "max_count": 11,
        "start_s": 4.0,
        "reclaimable_price": 1.0,
        "prices": {},
        "target_use": 1.0,
        **options,
    }
    return ScalingRules(**values)


def _domain(name="north", regular=2, reclaimable=0, **options) -> DomainServers:
    values = {
        "present": regular + reclaimable,
        "starting": 0,
        "running": 0,
        "is_certain": True,
        **options,
    }
    return DomainServers(name, regular, reclaimable, **values)


def _steady(running, waiting=0, seconds=30.0, entries=2) -> list[DemandSample]:
    return [
        DemandSample(number / 2, running, waiting, entries)
        for number in range(int(2 * seconds) + 1)
    ]


def _plan(samples, domains, unavailable=(), **options):
    return plan_order(
        _rules(**options), SLOTS, samples, domains, set(unavailable), samples[-1].at_s
    )


def _recorded(factor=1.0) -> list[DemandSample]:
    return [
        DemandSample(at_s, running * factor, waiting * factor, entries)
        for at_s, running, waiting, entries in _TRACE["samples"]
    ]


def _replay(samples, count, **options) -> list:
    """Return the orders over a trace; each server serves one start-up time later."""
    orders, next_at_s = [], 0.0
    rules = _rules(**options)
    present, ready_at_s = count, 0.0
    for number, sample in enumerate(samples, 1):
        if sample.at_s < next_at_s:
            continue
        if sample.at_s >= ready_at_s:
            present = count
        domain = _domain(regular=count, present=present, starting=count - present)
        order = plan_order(rules, SLOTS, samples[:number], [domain], set(), sample.at_s)
        if order is not None:
            orders.append((sample.at_s, order.count))
            count = order.count
            present = min(present, count)
            ready_at_s = next_at_s = sample.at_s + rules.start_s
    return orders


def test_recorded_steps_and_their_pauses_change_nothing():
    """Guards against orders that follow each step of a trainer up and down."""
    assert _replay(_recorded(), _TRACE["servers"]) == []


def test_recorded_steps_far_beyond_the_servers_raise_the_number():
    """Guards against a backlog that lasts while servers could be had."""
    orders = _replay(_recorded(4.0), _TRACE["servers"])
    assert orders and all(count > _TRACE["servers"] for _, count in orders)


def test_recorded_steps_far_below_the_servers_lower_the_number_slowly():
    """Guards against a reduction that the next step has to pay for."""
    orders = _replay(_recorded(), 40)
    assert orders[0][0] >= 20.0
    assert [count for _, count in orders] == list(range(39, 39 - len(orders), -1))
    assert orders[-1][1] * SLOTS * 0.6 >= 60


def test_short_burst_orders_nothing():
    """Guards against servers that would start after the burst has ended."""
    samples = _steady(4, seconds=26.0) + [
        DemandSample(26.5 + number / 2, 16, 100, 2) for number in range(7)
    ]
    assert _plan(samples, [_domain()]) is None


def test_nothing_is_ordered_before_enough_was_observed():
    """Guards against decisions of a leader that has just been elected."""
    assert _plan(_steady(16, 100, seconds=3.0), [_domain()]) is None
    assert _plan(_steady(0, seconds=19.0), [_domain(regular=9)]) is None


def test_lasting_demand_is_met_within_the_bounds():
    """Guards against orders beyond the configured bounds, which are rejected."""
    order = _plan(_steady(16, 40), [_domain()])
    assert (order.count, order.is_reclaimable) == (4, False)
    order = _plan(_steady(16, 4000), [_domain()])
    assert order.count == 11
    assert _plan(_steady(88, 4000), [_domain(regular=11)]) is None


def test_servers_that_start_are_counted():
    """Guards against a second order for what is being started."""
    domain = _domain(regular=4, present=2, starting=2, is_certain=False)
    assert _plan(_steady(16, 40), [domain]) is None


def test_cheapest_available_domain_comes_first():
    """Guards against a price that is paid without need, and endless rejected orders."""
    domains = [_domain("north"), _domain("south")]
    prices = {"north": 1.0, "south": 0.8}
    samples = _steady(32, 80)
    assert _plan(samples, domains, prices=prices).domain == "south"
    order = _plan(samples, domains, {("south", False)}, prices=prices)
    assert order.domain == "north"


def test_reclaimable_servers_are_only_a_reserve():
    """Guards against running work that ends when a domain's servers are reclaimed."""
    options = {"reclaimable_price": 0.18, "target_use": 0.8}
    assert _plan(_steady(15), [_domain()], **options).is_reclaimable
    assert not _plan(_steady(17), [_domain()], **options).is_reclaimable
    domain = _domain(regular=2, reclaimable=4)
    order = _plan(_steady(2, seconds=30.0), [domain], **options)
    assert (order.is_reclaimable, order.count) == (False, 1)
    order = _plan(_steady(12, seconds=30.0), [domain], **options)
    assert (order.is_reclaimable, order.count) == (True, 3)


@pytest.mark.parametrize(
    "domains",
    [
        [_domain(regular=9, is_certain=False)],
        [_domain(regular=9), _domain("south", is_certain=False)],
        [_domain(regular=1)],
        [_domain(regular=9, running=60)],
    ],
)
def test_nothing_is_given_up_in_doubt_or_below_the_work(domains):
    """Guards against servers that are ended while a domain is cut off or busy."""
    assert _plan(_steady(4), domains) is None


def test_nothing_is_given_up_after_an_entry_stopped_to_report():
    """Guards against a reduction because the reports of busy entries are missing."""
    samples = _steady(4, seconds=30.0)
    samples[-30:] = [DemandSample(sample.at_s, 2, 0, 1) for sample in samples[-30:]]
    assert _plan(samples, [_domain(regular=9)]) is None


@given(
    running=st.integers(0, 200),
    waiting=st.integers(0, 500),
    counts=st.lists(
        st.tuples(st.integers(1, 11), st.integers(0, 4)), min_size=1, max_size=4
    ),
    price=st.sampled_from([0.18, 1.0]),
)
def test_orders_keep_the_bounds_and_what_the_work_needs(
    running, waiting, counts, price
):
    """Guards against any order below running and waiting work or beyond the bounds."""
    domains = [
        _domain(f"domain-{number}", regular, min(reclaimable, 11 - regular))
        for number, (regular, reclaimable) in enumerate(counts)
    ]
    order = _plan(_steady(running, waiting), domains, reclaimable_price=price)
    if order is None:
        return
    chosen = next(each for each in domains if each.domain == order.domain)
    before = chosen.reclaimable if order.is_reclaimable else chosen.regular
    total = sum(each.ordered for each in domains) + order.count - before
    assert 1 <= chosen.ordered + order.count - before <= 11
    if order.count < before:
        assert before - order.count == 1
        assert total * SLOTS >= running + waiting
        if not order.is_reclaimable:
            regular = sum(each.regular for each in domains) - 1
            assert regular * SLOTS >= running + waiting
    elif order.is_reclaimable:
        assert sum(each.regular for each in domains) * SLOTS >= running
