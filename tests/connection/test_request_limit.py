"""Limits that backend servers name: when they hold and how a share is used."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, strategies as st

from pollenlb import clock
from pollenlb.clock import Deadline
from pollenlb.connection.request_limit import (
    EQUAL_RATIO,
    LimitShares,
    RequestLimit,
    expected_wait_s,
)


@pytest.fixture
def time_s():
    """Replace the clock; yield a one-item list with its time in seconds."""
    value = [100.0]
    clock.set_time_source(lambda: value[0])
    yield value
    clock.set_time_source(None)


def _limit(shares: LimitShares | None = None, seed: int = 1) -> RequestLimit:
    return RequestLimit("server", shares or LimitShares(), random.Random(seed))


def test_an_overtaken_answer_without_a_limit_does_not_end_it(time_s):
    limit = _limit()
    assert limit.observe(4.0, 99.0)
    time_s[0] = 101.0
    # Sent before the answer that named the limit had arrived.
    assert not limit.observe(None, 99.5)
    assert limit.limit_per_s == 4.0
    assert limit.observe(None, 100.5)
    assert limit.limit_per_s is None


def test_an_older_observation_of_another_entry_changes_nothing(time_s):
    limit = _limit()
    limit.observe(4.0, 99.0)
    assert not limit.learn(None, 99.9)
    assert limit.limit_per_s == 4.0
    time_s[0] = 102.0
    assert limit.learn(None, 101.0)
    assert limit.limit_per_s is None


def test_an_answer_without_a_limit_is_not_reported_before_the_first_limit(time_s):
    limit = _limit()
    assert not limit.observe(None, 99.0)
    assert not limit.is_known


def test_a_limit_of_zero_still_allows_a_request_now_and_then(time_s):
    limit = _limit()
    limit.observe(0.0, 99.0)
    allowed = []
    for _ in range(1000):
        time_s[0] += 0.1
        allowed.append(limit.may_send)
    assert any(allowed)


def test_a_granted_share_ends_with_the_lease(time_s):
    shares = LimitShares()
    limit = _limit(shares)
    limit.observe(8.0, 99.0)
    shares.grant({"server": 5.0}, entry_count=4, until=Deadline(101.0))
    assert limit.share_per_s == 8.0 * EQUAL_RATIO / 4 + 5.0
    time_s[0] = 101.0
    assert limit.share_per_s == 8.0 * EQUAL_RATIO / 4


def test_only_the_beginning_and_end_of_a_limit_interrupt_a_renewal(time_s):
    shares = LimitShares()
    limit = _limit(shares)
    limit.observe(4.0, 99.0)
    assert shares.changed.is_set()
    shares.record_report(["server"])
    limit.observe(4.1, 99.5)
    limit.record_demand()
    assert not shares.changed.is_set()
    time_s[0] = 101.0
    limit.observe(None, 100.5)
    assert shares.changed.is_set()


@given(
    seed=st.integers(0, 1000),
    limit_per_s=st.floats(0.5, 50.0),
    pauses_s=st.lists(st.floats(0.0, 2.0), min_size=1, max_size=60),
)
def test_a_share_is_kept_in_every_span_and_not_saved_up(seed, limit_per_s, pauses_s):
    time_s = [100.0]
    clock.set_time_source(lambda: time_s[0])
    try:
        limit = _limit(seed=seed)
        limit.observe(limit_per_s, 99.0)
        sent_at = []
        for pause_s in pauses_s:
            time_s[0] += pause_s
            while limit.may_send:
                limit.spend()
                sent_at.append(time_s[0])
        share_per_s = limit.share_per_s
    finally:
        clock.set_time_source(None)
    for first, start in enumerate(sent_at):
        for last in range(first, len(sent_at)):
            span_s = sent_at[last] - start
            count = last - first + 1
            # 0.5 s is how long an unused share is kept.
            assert count <= share_per_s * (span_s + 0.5) + 1 + 1e-6


def test_a_check_that_cannot_wait_uses_a_later_share(time_s):
    limit = _limit()
    limit.observe(4.0, 99.0)
    for _ in range(5):
        limit.spend()
    time_s[0] += 4.0 / limit.share_per_s
    assert not limit.may_send
    time_s[0] += 2.0 / limit.share_per_s
    assert limit.may_send


def test_the_expected_wait_counts_requests_that_wait_already(time_s):
    limit = _limit()
    limit.observe(4.0, 99.0)
    share_per_s = limit.share_per_s
    short = expected_wait_s([limit], waiting=0)
    assert expected_wait_s([limit], waiting=3) == pytest.approx(short + 3 / share_per_s)
    assert expected_wait_s([limit, _limit()], waiting=3) == 0


def test_parts_of_two_servers_shares_do_not_allow_a_request(time_s):
    limits = [_limit(seed=2), _limit(seed=3)]
    for limit in limits:
        limit.observe(4.0, 99.0)
    assert not any(limit.may_send for limit in limits)
    wait_s = expected_wait_s(limits, waiting=0)
    time_s[0] += wait_s * 0.99
    assert not any(limit.may_send for limit in limits)
    time_s[0] += wait_s * 0.02
    assert any(limit.may_send for limit in limits)
