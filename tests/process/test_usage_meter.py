"""Counts of requests at an entry: once each, by the attempt that ran."""

from __future__ import annotations

import pytest

from pollenlb.events import EventLog
from pollenlb.process import usage_meter
from pollenlb.process.metrics import Metrics
from pollenlb.process.usage_meter import UsageMeter

WINDOW_S = 5.0


class _Clock:
    """Wall time that a test sets."""

    def __init__(self, monkeypatch) -> None:
        self.at_s = 1000.0
        monkeypatch.setattr(usage_meter.time, "time", lambda: self.at_s)


@pytest.fixture
def clock(monkeypatch):
    """Return the wall time in seconds, 1000 at first: the start of window 200."""
    return _Clock(monkeypatch)


@pytest.fixture
def meter(tmp_path):
    """Return a meter with windows of 5 s."""
    events = EventLog("entry-1", tmp_path)
    meter = UsageMeter(events, Metrics())
    meter.configure(WINDOW_S, 0)
    yield meter
    events.close()


def _counts(meter):
    """Return the counts above 0, by window and workspace."""
    _, report = meter.next_report()
    counts = {
        window: {name: count for name, count in by_name.items() if count}
        for window, by_name in report.items()
    }
    return {window: by_name for window, by_name in counts.items() if by_name}


def test_request_that_ran_at_several_servers_counts_once(meter, clock):
    """Guards against hedges and retries that count twice."""
    request = meter.start_request("w")
    first, second = request.start_attempt(), request.start_attempt()
    first.record_sent()
    clock.at_s += WINDOW_S
    second.record_sent()
    assert _counts(meter) == {200: {"w": 1}}


def test_request_that_only_refusals_answered_does_not_count(meter, clock):
    """Guards against rejected requests in a report."""
    request = meter.start_request("w")
    for _ in range(3):
        attempt = request.start_attempt()
        attempt.record_sent()
        attempt.record_not_run()
    assert _counts(meter) == {}


def test_attempt_that_was_never_sent_does_not_count(meter, clock):
    """Guards against counts of requests whose connection could not be opened."""
    meter.start_request("w").start_attempt()
    assert _counts(meter) == {}


def test_request_counts_in_the_window_of_the_attempt_that_ran(meter, clock):
    """Guards against requests that count when they were refused, not when they ran."""
    request = meter.start_request("w")
    refused = request.start_attempt()
    refused.record_sent()
    clock.at_s += WINDOW_S
    request.start_attempt().record_sent()
    refused.record_not_run()
    assert _counts(meter) == {201: {"w": 1}}


def test_unanswered_attempt_counts_at_once(meter, clock):
    """Guards against slow requests that are missing when their window is sealed."""
    meter.start_request("w").start_attempt().record_sent()
    assert _counts(meter) == {200: {"w": 1}}


def test_nothing_is_counted_without_a_workspace_or_a_window(meter, tmp_path):
    """Guards against counts in deployments without usage reports."""
    assert meter.start_request(None) is None
    disabled = UsageMeter(EventLog("entry-2", None), Metrics())
    assert disabled.start_request("w") is None
    disabled.configure(0.0, 0)
    assert not disabled.is_enabled


def test_sealed_windows_are_forgotten_and_later_counts_dropped(meter, clock):
    """Guards against memory that grows, and counts that come back after the seal."""
    request = meter.start_request("w")
    attempt = request.start_attempt()
    attempt.record_sent()
    meter.configure(WINDOW_S, 201)
    attempt.record_not_run()
    meter.start_request("w").start_attempt().record_sent()
    assert _counts(meter) == {}


def test_leader_of_an_earlier_release_does_not_stop_the_count(meter, clock):
    """Guards against windows without counts while releases are mixed."""
    meter.configure(0.0, 0)
    meter.start_request("w").start_attempt().record_sent()
    assert _counts(meter) == {200: {"w": 1}}


def test_counts_without_a_leader_are_bounded(meter, clock):
    """Guards against memory that grows while no leader seals windows."""
    for _ in range(100):
        meter.start_request("w").start_attempt().record_sent()
        clock.at_s += WINDOW_S
    assert len(_counts(meter)) == usage_meter._MAX_WINDOW_COUNT
