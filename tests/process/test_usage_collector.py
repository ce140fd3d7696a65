"""Reports of entries at the leader: repeated, reordered and late ones."""

from __future__ import annotations

import json

import pytest

from pollenlb.connection.control_api import RenewRequest
from pollenlb.durable.duties import DutyTable
from pollenlb.durable.duty_commands import OpenUsage, RecordUsage, SealUsage
from pollenlb.durable.leases import EntryInfo
from pollenlb.events import EVENT_FILE, EventLog
from pollenlb.process.usage_collector import UsageCollector

ENTRY = EntryInfo("entry-1", "boot-1", "127.0.0.1:1", "domain-1")


def _renewal(number, usage, at_s=1000.0, entry=ENTRY):
    return RenewRequest(
        entry, 0, 0, 0, 0, 0, [], 0.0, usage=usage, usage_number=number, usage_at_s=at_s
    )


@pytest.fixture
def events(tmp_path):
    """Return an event log in a file."""
    log = EventLog("control-1", tmp_path)
    yield log
    log.close()


@pytest.fixture
def table():
    """Return a table whose first window is 5."""
    table = DutyTable()
    table.open(OpenUsage(5))
    return table


def _apply(collector, table):
    changes = collector.changes(table)
    table.record(RecordUsage(changes))
    return changes


def test_repeated_and_reordered_reports_change_nothing(events, table):
    """Guards against counts that are added twice, or replaced by older ones."""
    collector = UsageCollector()
    collector.record(_renewal(2, {5: {"w": 3}}), events)
    assert _apply(collector, table)
    collector.record(_renewal(1, {5: {"w": 1}}), events)
    assert _apply(collector, table) == []
    collector.record(_renewal(3, {5: {"w": 3}}), events)
    assert _apply(collector, table) == []
    table.seal(SealUsage(5))
    assert table.sealed_counts == {5: {"w": 3}}


def test_new_leader_continues_from_the_counts_in_the_log(events, table):
    """Guards against counts that a change of the leader loses or doubles."""
    old = UsageCollector()
    old.record(_renewal(2, {5: {"w": 3}}), events)
    other = EntryInfo("entry-2", "boot-2", "127.0.0.1:2", "domain-1")
    old.record(_renewal(1, {5: {"w": 1}}, entry=other), events)
    _apply(old, table)
    new = UsageCollector()
    new.record(_renewal(3, {5: {"w": 4}}), events)
    _apply(new, table)
    table.seal(SealUsage(5))
    assert table.sealed_counts == {5: {"w": 5}}


def test_withdrawn_counts_lower_the_total(events, table):
    """Guards against refused requests that stay in the log."""
    collector = UsageCollector()
    collector.record(_renewal(1, {5: {"w": 2}}), events)
    _apply(collector, table)
    collector.record(_renewal(2, {5: {"w": 0}}), events)
    _apply(collector, table)
    table.seal(SealUsage(5))
    assert table.sealed_counts == {5: {}}


def test_counts_after_the_seal_are_dropped_and_logged(events, table, tmp_path):
    """Guards against a report that differs from the log, and against silence."""
    collector = UsageCollector()
    collector.record(_renewal(1, {5: {"w": 2}}), events)
    _apply(collector, table)
    collector.record_sealed(5, table)
    table.seal(SealUsage(5))
    for number in (2, 3):
        collector.record(_renewal(number, {5: {"w": 3}}), events)
        assert _apply(collector, table) == []
    assert table.sealed_counts == {5: {"w": 2}}
    lines = (tmp_path / EVENT_FILE).read_text().splitlines()
    late = [each for each in map(json.loads, lines) if "usage.late" in str(each)]
    assert [(each["sealed"], each["requests"]) for each in late] == [(2, 3)]


def test_entries_that_counted_in_a_window_are_awaited_after_their_lease(events):
    """Guards against a seal that ignores an entry whose lease has just expired."""
    collector = UsageCollector()
    collector.record(_renewal(1, {}, at_s=26.0), events)
    (reporter,) = collector.reporters([], 25.0)
    assert (reporter.boot, reporter.counted_until_s) == ("boot-1", 26.0)
    assert collector.reporters([], 30.0) == []
    (unheard,) = UsageCollector().reporters([ENTRY], 25.0)
    assert unheard.counted_until_s == 0.0
