"""Learned speed of engines: stalls, lasting changes and decay."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from pollenlb.connection import load
from pollenlb.connection.load import ServerLoad
from pollenlb.request.item_progress import ItemProgress

_SLOTS = 8
_INTERVAL_S = 0.04


@pytest.fixture
def learned() -> ServerLoad:
    learned = ServerLoad(_SLOTS)
    for _ in range(100):
        learned.record_event_interval(_INTERVAL_S)
    return learned


def test_a_stall_of_all_streams_hardly_changes_the_usual_interval(learned):
    before_s = learned.usual_event_interval_s(0.0)
    for _ in range(_SLOTS):
        learned.record_event_interval(0.5)
    assert learned.event_interval_s > 2 * _INTERVAL_S
    assert learned.usual_event_interval_s(0.0) < 1.1 * before_s


def test_the_usual_interval_follows_a_lasting_change(learned):
    for _ in range(100):
        learned.record_event_interval(2 * _INTERVAL_S)
    assert learned.usual_event_interval_s(0.0) == pytest.approx(
        2 * _INTERVAL_S, rel=0.05
    )


def test_the_usual_interval_decays_to_the_typical_one(learned, monkeypatch):
    at = load.now() + 300.0
    monkeypatch.setattr(load, "now", lambda: at)
    assert learned.usual_event_interval_s(0.1) == pytest.approx(0.1, rel=0.01)


def test_the_usual_interval_is_the_typical_one_before_the_first_event():
    assert ServerLoad(_SLOTS).usual_event_interval_s(0.1) == 0.1


def test_the_time_to_the_first_event_of_a_run_is_not_an_interval_of_the_engine():
    """Guards against engines that look slow whenever items start there."""
    progress = ItemProgress(item=None, spec=None, expires_at=0.0, output=None)
    progress.run_started_at = progress.last_event_at = load.now() - 1.0
    server = SimpleNamespace(load=ServerLoad(_SLOTS))
    progress.record_event(server)
    assert server.load.event_interval_s == 0.0
    progress.record_event(server)
    assert 0.0 < server.load.event_interval_s < 1.0
