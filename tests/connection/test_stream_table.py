"""Software versions that began streams, as entries and control instances keep them."""

from __future__ import annotations

import pytest

from pollenlb import clock
from pollenlb.connection import stream_table
from pollenlb.connection.stream_table import StreamTable
from pollenlb.ids import InWorkspace


@pytest.fixture
def time_s():
    """Replace the clock; yield a one-item list with its time in seconds."""
    value = [100.0]
    clock.set_time_source(lambda: value[0])
    yield value
    clock.set_time_source(None)


def _key(request: str, workspace: str | None = None) -> InWorkspace:
    return InWorkspace(workspace, request)


def _copy(source: StreamTable, target: StreamTable, max_count: int = 3) -> int:
    """Copy all streams page by page; return the number of pages."""
    after = pages = 0
    while True:
        page = source.page(after, max_count)
        target.merge(page.streams)
        after = page.last
        pages += 1
        if page.is_last:
            return pages


def test_a_stream_is_forgotten_after_callers_can_no_longer_take_it_up(time_s):
    table = StreamTable()
    table.add(_key("first"), "v1")
    time_s[0] += 59.0
    assert table.find(_key("first")) == "v1"
    time_s[0] += 2.0
    assert table.find(_key("first")) is None
    assert table.find(_key("unknown")) is None


def test_the_table_is_bounded(time_s, monkeypatch):
    monkeypatch.setattr(stream_table, "_MAX_STREAM_COUNT", 3)
    table = StreamTable()
    for number in range(5):
        table.add(_key(f"stream-{number}"), "v1")
    found = [table.find(_key(f"stream-{number}")) for number in range(5)]
    assert found == [None, None, "v1", "v1", "v1"]


@pytest.mark.parametrize("count, pages", [(0, 1), (2, 1), (3, 1), (4, 2), (7, 3)])
def test_all_streams_are_copied_page_by_page(time_s, count, pages):
    table, copy = StreamTable(), StreamTable()
    for number in range(count):
        table.add(_key(f"stream-{number}"), f"v{number}")
    assert _copy(table, copy) == pages
    found = [copy.find(_key(f"stream-{number}")) for number in range(count)]
    assert found == [f"v{number}" for number in range(count)]


# Guards against streams that are never forgotten, as instances copy them in turn.
def test_copies_and_repetitions_do_not_prolong_the_time_of_a_stream(time_s):
    table, copy = StreamTable(), StreamTable()
    table.add(_key("first"), "v1")
    time_s[0] += 40.0
    _copy(table, copy)
    table.add(_key("first"), "v1")
    time_s[0] += 21.0
    assert (table.find(_key("first")), copy.find(_key("first"))) == (None, None)
    assert copy.page(0, 3).streams == []


def test_a_copy_does_not_replace_what_is_known(time_s):
    table, copy = StreamTable(), StreamTable()
    table.add(_key("first"), "v1")
    copy.add(_key("first"), "v2")
    _copy(table, copy)
    assert copy.find(_key("first")) == "v2"


def test_streams_that_end_between_pages_do_not_hide_later_ones(time_s):
    table, copy = StreamTable(), StreamTable()
    for number in range(4):
        table.add(_key(f"stream-{number}"), "v1", 10.0 if number < 3 else 60.0)
    first = table.page(0, 2)
    copy.merge(first.streams)
    time_s[0] += 11.0
    assert len(table) == 1
    copy.merge(table.page(first.last, 2).streams)
    assert copy.find(_key("stream-3")) == "v1"


# Guards against a caller that has the stream of another workspace continued by a server
# of another software version, by beginning one under the same request id.
def test_workspaces_have_streams_of_their_own(time_s):
    table, copy = StreamTable(), StreamTable()
    table.add(_key("same", "acme"), "v1")
    table.add(_key("same", "other"), "v2")
    _copy(table, copy)
    for each in (table, copy):
        found = [each.find(_key("same", name)) for name in ("acme", "other", None)]
        assert found == ["v1", "v2", None]
