"""Choice of the connections that are closed when they cost too much."""

from __future__ import annotations

from pollenlb.scheduling.connections import (
    ConnectionLoad,
    choose_to_free_bytes,
    choose_to_make_room,
)


def _load(
    held_bytes: int = 0, opened_at: float = 0, is_running=False, has_sent_request=False
) -> ConnectionLoad:
    return ConnectionLoad(held_bytes, opened_at, is_running, has_sent_request)


def test_no_connection_is_closed_within_the_budget():
    """Guards against closing callers although there is room."""
    loads = {"a": _load(60), "b": _load(40)}
    assert choose_to_free_bytes(loads, 100) == []
    assert choose_to_make_room(loads, 2) == []


def test_largest_holder_is_closed_before_ordinary_heads():
    """Guards against closing an ordinary caller for the bytes of another one."""
    loads = {"ordinary": _load(1, opened_at=9), "large": _load(90), "other": _load(50)}
    assert choose_to_free_bytes(loads, 60) == ["large"]
    assert choose_to_free_bytes(loads, 2) == ["large", "other"]


def test_newest_of_equal_holders_is_closed_first():
    """Guards against an arbitrary choice among equal connections."""
    loads = {"old": _load(50, opened_at=1), "new": _load(50, opened_at=2)}
    assert choose_to_free_bytes(loads, 50) == ["new"]


def test_running_request_is_interrupted_last():
    """Guards against interrupting a request while incomplete heads hold bytes."""
    loads = {"running": _load(90, is_running=True), "waiting": _load(20)}
    assert choose_to_free_bytes(loads, 95) == ["waiting"]
    assert choose_to_free_bytes(loads, 80) == ["waiting", "running"]


def test_connections_that_sent_no_request_make_room_oldest_first():
    """Guards against strangers that lock out new callers with idle connections."""
    loads = {
        "known": _load(opened_at=0, has_sent_request=True),
        "old stranger": _load(opened_at=1),
        "new": _load(opened_at=2),
    }
    assert choose_to_make_room(loads, 2) == ["old stranger"]
    assert choose_to_make_room(loads, 1) == ["old stranger", "new"]


def test_known_connections_are_closed_idle_and_newest_first():
    """Guards against closing a connection in use while an idle one is open."""
    loads = {
        "old": _load(opened_at=0, has_sent_request=True),
        "running": _load(opened_at=3, has_sent_request=True, is_running=True),
        "new": _load(opened_at=2, has_sent_request=True),
    }
    assert choose_to_make_room(loads, 2) == ["new"]
    assert choose_to_make_room(loads, 1) == ["new", "old"]
