"""Software versions that began streams, as entries and control instances keep them."""

from __future__ import annotations

import pytest

from pollenlb import clock
from pollenlb.connection import stream_origins
from pollenlb.connection.stream_origins import StreamTable


@pytest.fixture
def time_s():
    """Replace the clock; yield a one-item list with its time in seconds."""
    value = [100.0]
    clock.set_time_source(lambda: value[0])
    yield value
    clock.set_time_source(None)


def test_a_stream_is_forgotten_after_callers_can_no_longer_take_it_up(time_s):
    table = StreamTable()
    table.add("first", "v1")
    time_s[0] += 59.0
    assert table.find("first") == "v1"
    time_s[0] += 2.0
    assert table.find("first") is None
    assert table.find("unknown") is None


def test_the_table_is_bounded(time_s, monkeypatch):
    monkeypatch.setattr(stream_origins, "_MAX_STREAM_COUNT", 3)
    table = StreamTable()
    for number in range(5):
        table.add(f"stream-{number}", "v1")
    found = [table.find(f"stream-{number}") for number in range(5)]
    assert found == [None, None, "v1", "v1", "v1"]
