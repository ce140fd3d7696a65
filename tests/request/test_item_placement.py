"""Replays of a trainer's step: which items start where, and which move."""

from __future__ import annotations

import math
import random

from pollenlb.request.item_moves import EnginePace, RunningItem, choose_moves
from pollenlb.request.item_placement import EngineRoom, WaitingItem, place_items

_SLOTS = 4
_PIECE_S = 0.04


def _waiting(key: int, length: float = 100.0, **options) -> WaitingItem:
    values = {
        "batch_job": "job",
        "due_at": 7.5,
        "group": f"group-{key // 4}",
        "is_group_begun": False,
        "least_version": 2,
        **options,
    }
    return WaitingItem(key=key, length=length, **values)


def _rooms(count: int, **options) -> list[EngineRoom]:
    return [EngineRoom(f"engine-{at}", _SLOTS, 0, 2, **options) for at in range(count)]


def test_a_step_that_fits_starts_at_once_and_evenly():
    placed = place_items([_waiting(key) for key in range(16)], _rooms(4))
    assert len(placed) == 16
    servers = [server for _, server in placed]
    assert all(servers.count(f"engine-{at}") == _SLOTS for at in range(4))


def test_the_longest_items_start_first_when_slots_are_short():
    lengths = [100, 900, 200, 800, 300, 700, 400, 600]
    waiting = [_waiting(key, length) for key, length in enumerate(lengths)]
    placed = [key for key, _ in place_items(waiting, _rooms(1))]
    assert sorted(lengths[key] for key in placed) == [600, 700, 800, 900]


def test_the_earlier_due_step_goes_first():
    waiting = [_waiting(0, 900, due_at=9.0), _waiting(1, 10, due_at=5.0)]
    rooms = [EngineRoom("engine-0", 1, 0, 2)]
    assert place_items(waiting, rooms) == [(1, "engine-0")]


def test_a_group_that_has_begun_goes_before_a_new_one():
    waiting = [_waiting(0, 900), _waiting(4, 10, is_group_begun=True)]
    rooms = [EngineRoom("engine-0", 1, 0, 2)]
    assert place_items(waiting, rooms) == [(4, "engine-0")]


def test_jobs_without_a_due_time_share_the_slots():
    """Replay of a small step that comes after a large one has taken all slots."""
    never = {"due_at": math.inf, "is_group_begun": False}
    large = [_waiting(key, batch_job="large", **never) for key in range(40)]
    small = [_waiting(100 + key, batch_job="small", **never) for key in range(8)]
    first = place_items(large, _rooms(4))
    assert len(first) == 4 * _SLOTS
    running = {"large": len(first), "small": 0}
    for _ in range(8):
        running["large"] -= 1
        rooms = [EngineRoom("engine-0", 1, 0, 2)]
        ((key, _),) = place_items(large[16:] + small, rooms, running)
        name = "small" if key >= 100 else "large"
        running[name] += 1
        small = [each for each in small if each.key != key]
    assert running == {"large": 8, "small": 8}


def test_a_job_with_a_due_time_goes_before_those_without():
    waiting = [
        _waiting(0, batch_job="steps", due_at=math.inf),
        _waiting(1, batch_job="due"),
    ]
    rooms = [EngineRoom("engine-0", 1, 0, 2)]
    assert place_items(waiting, rooms, {"due": 30}) == [(1, "engine-0")]


def test_an_engine_with_older_weights_gets_nothing():
    rooms = [EngineRoom("old", _SLOTS, 0, 1)]
    assert place_items([_waiting(0)], rooms) == []


def test_an_engine_of_another_model_is_taken_when_its_own_are_full():
    rooms = [
        EngineRoom("home", _SLOTS, 0, 2),
        EngineRoom("away", _SLOTS, 0, 2, is_home=False),
    ]
    placed = [
        server for _, server in place_items([_waiting(k) for k in range(6)], rooms)
    ]
    assert placed.count("home") == _SLOTS
    assert placed.count("away") == 2


def test_a_slow_engine_and_one_that_failed_are_passed_over():
    rooms = [
        EngineRoom("slow", _SLOTS, 0, 2, slowness=3.0),
        EngineRoom("steady", _SLOTS, 3, 2),
    ]
    assert place_items([_waiting(0)], rooms) == [(0, "steady")]
    rooms[1].taken = 0
    avoided = frozenset(["steady"])
    assert place_items([_waiting(0, avoided=avoided)], rooms) == [(0, "slow")]


def _paces(*piece_s: float, silent_s: float = 0.01, free: int = 2) -> list[EnginePace]:
    return [
        EnginePace(f"engine-{at}", each, silent_s, free)
        for at, each in enumerate(piece_s)
    ]


def _running(key: int, server: int, events: int, expected: float) -> RunningItem:
    return RunningItem(key, "job", f"engine-{server}", events, expected, 1.0)


def test_the_last_items_leave_a_slow_engine():
    paces = _paces(0.14, _PIECE_S, _PIECE_S)
    running = [_running(0, 0, 10, 100), _running(1, 1, 10, 100)]
    assert choose_moves(running, paces) == [0]


def test_items_that_end_long_before_the_last_one_stay():
    paces = _paces(0.14, _PIECE_S, _PIECE_S)
    running = [_running(0, 0, 10, 100), _running(1, 0, 10, 22)]
    assert choose_moves(running, paces) == [0]


def test_a_silent_engine_is_left():
    paces = _paces(_PIECE_S, _PIECE_S, _PIECE_S)
    paces[0].silent_s = 0.3
    assert choose_moves([_running(0, 0, 10, 100)], paces) == [0]


def test_a_pause_of_the_entry_itself_moves_nothing():
    paces = _paces(_PIECE_S, _PIECE_S, _PIECE_S, silent_s=0.5)
    assert choose_moves([_running(0, 0, 10, 100)], paces) == []


def test_nothing_moves_without_a_free_slot_at_a_fast_engine():
    paces = _paces(0.14, _PIECE_S, free=0)
    assert choose_moves([_running(0, 0, 10, 100)], paces) == []


def test_moves_shorten_a_step_with_one_slow_engine():
    """Replay of a step of 16 items at four engines, one of them 3.5 times slower."""
    rng = random.Random(7)
    lengths = [rng.lognormvariate(2.9, 0.84) for _ in range(16)]
    slow = {"engine-0": 3.5}

    def end_s(may_move: bool) -> float:
        left = {key: length for key, length in enumerate(lengths)}
        at = {key: f"engine-{key % 4}" for key in left}
        since = dict.fromkeys(left, -1.0)
        now_s = 0.0
        while left:
            paces = [
                EnginePace(name, _PIECE_S * slow.get(name, 1.0), 0.01, 2)
                for name in sorted(set(at.values()) | {"engine-1"})
            ]
            running = [
                RunningItem(key, "job", at[key], 0, events, now_s - since[key])
                for key, events in left.items()
            ]
            for key in choose_moves(running, paces) if may_move else ():
                at[key], since[key] = "engine-1", now_s
            now_s += _PIECE_S
            for key in list(left):
                left[key] -= 1 / slow.get(at[key], 1.0)
                if left[key] <= 0:
                    del left[key]
        return now_s

    ideal_s = max(lengths) * _PIECE_S
    assert end_s(may_move=False) > 1.5 * ideal_s
    assert end_s(may_move=True) < 1.25 * ideal_s


def test_an_item_that_has_just_begun_stays():
    """Replay of a full step: an item that waits for its first event at each engine."""
    running = [RunningItem("item", "job", "engine-0", 7, 100.0, 0.1)]
    paces = [
        EnginePace("engine-0", _PIECE_S, 0.12, 0),
        EnginePace("engine-1", _PIECE_S, 0.01, 1),
    ]
    assert choose_moves(running, paces) == []
    running = [RunningItem("item", "job", "engine-0", 7, 100.0, 0.5)]
    assert choose_moves(running, paces) == ["item"]
