"""Shares of the limits of backend servers that a leader grants to entries."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import given, strategies as st

from pollenlb import clock
from pollenlb.clock import Deadline
from pollenlb.connection.control_api import LimitReport
from pollenlb.connection.request_limit import GRANTED_RATIO
from pollenlb.process.limit_table import LimitTable

_SERVER = "server"
_LIMIT_PER_S = 10.0


@pytest.fixture
def time_s():
    """Replace the clock; yield a one-item list with its time in seconds."""
    value = [100.0]
    clock.set_time_source(lambda: value[0])
    yield value
    clock.set_time_source(None)


def _report(
    demand: float = 1.0,
    granted_per_s: float = 0.0,
    limit_per_s: float | None = _LIMIT_PER_S,
    age_s: float = 0.0,
    boot: str = "boot",
) -> dict[str, LimitReport]:
    report = LimitReport(boot, limit_per_s, age_s, demand, granted_per_s)
    return {_SERVER: report}


def _renew(table: LimitTable, entry: str, live: set[str], **report) -> float:
    table.record_reports(entry, _report(**report))
    return table.grant(entry, live)[_SERVER].granted_per_s


def test_the_only_entry_with_requests_gets_the_granted_part(time_s):
    table = LimitTable(Deadline(0.0))
    live = {"a", "b"}
    assert _renew(table, "a", live) == GRANTED_RATIO * _LIMIT_PER_S
    assert _renew(table, "b", live, demand=0.0) == 0


def test_a_share_is_raised_only_after_another_entry_gave_it_up(time_s):
    table = LimitTable(Deadline(0.0))
    live = {"a", "b"}
    whole = _renew(table, "a", live)
    assert _renew(table, "b", live) == 0
    half = _renew(table, "a", live, granted_per_s=whole)
    assert half == whole / 2
    # The answer to a may have been lost.
    assert _renew(table, "b", live) == 0
    assert _renew(table, "a", live, granted_per_s=half) == half
    assert _renew(table, "b", live) == half


def test_the_share_of_an_entry_that_lost_its_lease_is_free(time_s):
    table = LimitTable(Deadline(0.0))
    whole = _renew(table, "a", {"a", "b"})
    assert _renew(table, "b", {"b"}) == whole


def test_a_new_leader_raises_no_share_before_earlier_leases_have_expired(time_s):
    table = LimitTable(Deadline(101.0))
    assert _renew(table, "a", {"a"}, granted_per_s=2.0) == 2.0
    time_s[0] = 101.0
    assert _renew(table, "a", {"a"}, granted_per_s=2.0) == GRANTED_RATIO * _LIMIT_PER_S


def test_calls_of_the_leader_itself_reduce_what_it_grants(time_s):
    table = LimitTable(Deadline(0.0))
    whole = _renew(table, "a", {"a"})
    for _ in range(8):
        table.record_call(_SERVER)
    assert _renew(table, "a", {"a"}, granted_per_s=whole) == whole - 8 / 4.0


def test_an_entry_without_requests_learns_of_the_beginning_and_end(time_s):
    table = LimitTable(Deadline(0.0))
    first_version = table.version
    _renew(table, "a", {"a", "b"})
    assert table.version > first_version
    assert table.grant("b", {"a", "b"})[_SERVER].limit_per_s == _LIMIT_PER_S
    limited_version = table.version
    time_s[0] += 1.0
    _renew(table, "a", {"a", "b"}, limit_per_s=None)
    assert table.version > limited_version
    ended = table.grant("b", {"a", "b"})[_SERVER]
    assert (ended.limit_per_s, ended.granted_per_s) == (None, 0)


def test_a_late_report_of_an_earlier_observation_changes_nothing(time_s):
    table = LimitTable(Deadline(0.0))
    time_s[0] += 10.0
    _renew(table, "a", {"a", "b"}, limit_per_s=None, age_s=1.0)
    _renew(table, "b", {"a", "b"}, age_s=2.0)
    assert table.grant("a", {"a", "b"})[_SERVER].limit_per_s is None


def test_a_started_process_of_a_server_has_no_limit_of_the_one_before(time_s):
    table = LimitTable(Deadline(0.0))
    _renew(table, "a", {"a"}, boot="first")
    time_s[0] += 1.0
    _renew(table, "a", {"a"}, boot="second", limit_per_s=2.0)
    grant = table.grant("a", {"a"})[_SERVER]
    assert (grant.boot, grant.limit_per_s) == ("second", 2.0)


def test_a_limit_that_no_entry_reports_is_forgotten(time_s):
    table = LimitTable(Deadline(0.0))
    _renew(table, "a", {"a"})
    time_s[0] += 20.0
    assert table.grant("b", {"b"}) == {}


@dataclass
class _Entry:
    granted_per_s: float = 0.0
    is_live: bool = True
    demand: float = 1.0


@dataclass
class _Cluster:
    """A leader and entries whose answers may be lost."""

    table: LimitTable = field(default_factory=lambda: LimitTable(Deadline(0.0)))
    entries: dict[str, _Entry] = field(default_factory=dict)

    def live(self) -> set[str]:
        return {name for name, entry in self.entries.items() if entry.is_live}

    def act(self, name: str, action: str, demand: float) -> None:
        entry = self.entries.setdefault(name, _Entry())
        if action == "lose lease":
            entry.is_live = False
            entry.granted_per_s = 0.0
        elif action == "call":
            self.table.record_call(_SERVER)
        else:
            entry.is_live = True
            granted_per_s = _renew(
                self.table,
                name,
                self.live(),
                demand=demand,
                granted_per_s=entry.granted_per_s,
            )
            if action == "renew":
                entry.granted_per_s = granted_per_s


@given(
    actions=st.lists(
        st.tuples(
            st.sampled_from("abcde"),
            st.sampled_from(
                ["renew", "renew", "renew", "answer lost", "lose lease", "call"]
            ),
            st.floats(0.0, 20.0),
        ),
        max_size=80,
    )
)
def test_shares_together_never_exceed_the_granted_part_of_a_limit(actions):
    cluster = _Cluster()
    for name, action, demand in actions:
        cluster.act(name, action, demand)
        total_per_s = sum(entry.granted_per_s for entry in cluster.entries.values())
        assert total_per_s <= GRANTED_RATIO * _LIMIT_PER_S + 1e-6


def test_an_entry_without_requests_does_not_wake_the_others(time_s):
    table = LimitTable(Deadline(0.0))
    assert table.record_reports("a", _report(demand=0.0))
    assert not table.record_reports("a", _report(demand=0.0))
    assert table.record_reports("a", _report(demand=1.0))
    assert not table.record_reports("a", _report(demand=2.0))
