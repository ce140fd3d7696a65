"""The search for the leader asks every control instance, whatever others report."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from pollenlb.connection.leader_search import LeaderSearch

_ADDRESSES = ["a", "b", "c", "d", "e"]


def _asked_in_turn(search: LeaderSearch, reports: dict[str, str], count: int) -> list:
    asked = []
    for _ in range(count):
        asked.append(search.preferred)
        search.record_failure(asked[-1], reports.get(asked[-1], ""))
    return asked


def test_instances_are_asked_in_turn_while_none_reports_a_leader():
    asked = _asked_in_turn(LeaderSearch(_ADDRESSES), {}, 7)
    assert asked == ["a", "b", "c", "d", "e", "a", "b"]


@hypothesis.given(
    reports=strategies.dictionaries(
        strategies.sampled_from(_ADDRESSES), strategies.sampled_from(_ADDRESSES)
    ),
    started_at=strategies.sampled_from(_ADDRESSES),
)
def test_every_instance_is_asked_within_two_attempts_each(reports, started_at):
    search = LeaderSearch(_ADDRESSES)
    search.record_leader(started_at)
    asked = _asked_in_turn(search, reports, 2 * len(_ADDRESSES))
    assert set(asked) == set(_ADDRESSES)


def test_report_of_an_instance_elected_since_it_was_asked_is_followed_at_once():
    search = LeaderSearch(_ADDRESSES)
    assert _asked_in_turn(search, {"b": "a"}, 3) == ["a", "b", "a"]


def test_unknown_instance_that_is_reported_is_asked():
    search = LeaderSearch(["a", "b"])
    assert _asked_in_turn(search, {"a": "z"}, 3) == ["a", "z", "b"]


def test_late_failure_does_not_lead_away_from_the_instance_asked_since():
    search = LeaderSearch(_ADDRESSES)
    search.record_failure("a", "d")
    search.record_failure("a", "b")
    assert search.preferred == "d"


def test_leader_is_asked_until_it_fails():
    search = LeaderSearch(_ADDRESSES)
    search.record_failure("a", "")
    search.record_leader("c")
    assert (search.preferred, search.attempt_count) == ("c", 0)
    search.record_failure("c", "")
    assert (search.preferred, search.attempt_count) == ("d", 1)
