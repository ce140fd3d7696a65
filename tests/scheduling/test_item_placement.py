"""Replays of a trainer's step: where items start, and which of them move."""

from __future__ import annotations

import math
import random
from dataclasses import replace

from pollenlb.scheduling.item_moves import EngineSpeed, RunningItem, choose_moves
from pollenlb.scheduling.item_placement import EngineCapacity, WaitingItem, place_items

_SLOTS = 4
_EVENT_INTERVAL_S = 0.04


def _waiting(key: int, expected_tokens: float = 100.0, **options) -> WaitingItem:
    values = {
        "batch_job": "job",
        "due_at": 7.5,
        "group": f"group-{key // 4}",
        "is_group_started": False,
        "least_version": 2,
        **options,
    }
    return WaitingItem(key=key, expected_tokens=expected_tokens, **values)


def _engines(count: int, **options) -> list[EngineCapacity]:
    return [
        EngineCapacity(f"engine-{index}", _SLOTS, 0, 2, **options)
        for index in range(count)
    ]


def test_step_within_capacity_starts_at_once_and_spreads_evenly():
    placed = place_items([_waiting(key) for key in range(16)], _engines(4))
    assert len(placed) == 16
    servers = [server for _, server in placed]
    assert all(servers.count(f"engine-{index}") == _SLOTS for index in range(4))


def test_longest_items_start_first_when_slots_are_scarce():
    lengths = [100, 900, 200, 800, 300, 700, 400, 600]
    waiting = [_waiting(key, length) for key, length in enumerate(lengths)]
    placed = [key for key, _ in place_items(waiting, _engines(1))]
    assert sorted(lengths[key] for key in placed) == [600, 700, 800, 900]


def test_step_with_the_earlier_due_time_starts_first():
    waiting = [_waiting(0, 900, due_at=9.0), _waiting(1, 10, due_at=5.0)]
    engines = [EngineCapacity("engine-0", 1, 0, 2)]
    assert place_items(waiting, engines) == [(1, "engine-0")]


def test_item_of_a_started_group_starts_before_one_of_a_new_group():
    waiting = [_waiting(0, 900), _waiting(4, 10, is_group_started=True)]
    engines = [EngineCapacity("engine-0", 1, 0, 2)]
    assert place_items(waiting, engines) == [(4, "engine-0")]


def test_batch_jobs_without_a_due_time_get_equal_numbers_of_slots():
    """Guards against a small step that waits until a large one ends.

    The small step arrives after the large one has taken all slots.
    """
    never = {"due_at": math.inf, "is_group_started": False}
    large = [_waiting(key, batch_job="large", **never) for key in range(40)]
    small = [_waiting(100 + key, batch_job="small", **never) for key in range(8)]
    first = place_items(large, _engines(4))
    assert len(first) == 4 * _SLOTS
    running = {"large": len(first), "small": 0}
    for _ in range(8):
        running["large"] -= 1
        engines = [EngineCapacity("engine-0", 1, 0, 2)]
        ((key, _),) = place_items(large[16:] + small, engines, running)
        name = "small" if key >= 100 else "large"
        running[name] += 1
        small = [item for item in small if item.key != key]
    assert running == {"large": 8, "small": 8}


def test_batch_job_with_a_due_time_starts_before_one_without():
    waiting = [
        _waiting(0, batch_job="steps", due_at=math.inf),
        _waiting(1, batch_job="due"),
    ]
    engines = [EngineCapacity("engine-0", 1, 0, 2)]
    assert place_items(waiting, engines, {"due": 30}) == [(1, "engine-0")]


def test_engine_with_older_weights_gets_no_item():
    engines = [EngineCapacity("old", _SLOTS, 0, 1)]
    assert place_items([_waiting(0)], engines) == []


def test_engine_assigned_to_another_model_is_used_when_the_own_engine_is_full():
    engines = [
        EngineCapacity("own", _SLOTS, 0, 2),
        EngineCapacity("other", _SLOTS, 0, 2, is_assigned_model=False),
    ]
    placed = [
        server
        for _, server in place_items([_waiting(key) for key in range(6)], engines)
    ]
    assert placed.count("own") == _SLOTS
    assert placed.count("other") == 2


def test_slow_engine_and_recently_failed_engine_are_avoided():
    engines = [
        EngineCapacity("slow", _SLOTS, 0, 2, slowness=3.0),
        EngineCapacity("steady", _SLOTS, 3, 2),
    ]
    assert place_items([_waiting(0)], engines) == [(0, "steady")]
    engines[1].used_slots = 0
    avoided = frozenset(["steady"])
    assert place_items([_waiting(0, avoided=avoided)], engines) == [(0, "slow")]


def _speeds(
    *event_intervals_s: float, silent_s: float = 0.01, free_slots: int = 2
) -> list[EngineSpeed]:
    return [
        EngineSpeed(f"engine-{index}", interval_s, silent_s, free_slots)
        for index, interval_s in enumerate(event_intervals_s)
    ]


def _running(key: int, server: int, events: int, expected: float) -> RunningItem:
    return RunningItem(key, "job", f"engine-{server}", events, expected, 1.0)


def test_last_items_move_away_from_a_slow_engine():
    speeds = _speeds(0.14, _EVENT_INTERVAL_S, _EVENT_INTERVAL_S)
    running = [_running(0, 0, 10, 100), _running(1, 1, 10, 100)]
    assert choose_moves(running, speeds) == [0]


def test_item_that_ends_long_before_the_last_one_stays():
    speeds = _speeds(0.14, _EVENT_INTERVAL_S, _EVENT_INTERVAL_S)
    running = [_running(0, 0, 10, 100), _running(1, 0, 10, 22)]
    assert choose_moves(running, speeds) == [0]


def test_item_moves_away_from_a_silent_engine():
    speeds = _speeds(_EVENT_INTERVAL_S, _EVENT_INTERVAL_S, _EVENT_INTERVAL_S)
    speeds[0].silent_s = 0.3
    assert choose_moves([_running(0, 0, 10, 100)], speeds) == [0]


def test_no_item_moves_when_all_engines_are_silent_after_a_pause_of_the_entry():
    speeds = _speeds(
        _EVENT_INTERVAL_S, _EVENT_INTERVAL_S, _EVENT_INTERVAL_S, silent_s=0.5
    )
    assert choose_moves([_running(0, 0, 10, 100)], speeds) == []


def test_no_item_moves_without_a_free_slot_at_a_fast_engine():
    speeds = _speeds(0.14, _EVENT_INTERVAL_S, free_slots=0)
    assert choose_moves([_running(0, 0, 10, 100)], speeds) == []


def test_moves_shorten_a_step_with_one_slow_engine():
    """Guards against a step that waits for the items at one slow engine.

    16 items run at four engines, one of which is 3.5 times slower.
    """
    rng = random.Random(7)
    lengths = [rng.lognormvariate(2.9, 0.84) for _ in range(16)]
    slow = {"engine-0": 3.5}

    def step_duration_s(may_move: bool) -> float:
        left = {key: length for key, length in enumerate(lengths)}
        servers = {key: f"engine-{key % 4}" for key in left}
        started_at = dict.fromkeys(left, -1.0)
        now_s = 0.0
        while left:
            speeds = [
                EngineSpeed(name, _EVENT_INTERVAL_S * slow.get(name, 1.0), 0.01, 2)
                for name in sorted(set(servers.values()) | {"engine-1"})
            ]
            running = [
                RunningItem(
                    key, "job", servers[key], 0, events, now_s - started_at[key]
                )
                for key, events in left.items()
            ]
            for key in choose_moves(running, speeds) if may_move else ():
                servers[key], started_at[key] = "engine-1", now_s
            now_s += _EVENT_INTERVAL_S
            for key in list(left):
                left[key] -= 1 / slow.get(servers[key], 1.0)
                if left[key] <= 0:
                    del left[key]
        return now_s

    ideal_s = max(lengths) * _EVENT_INTERVAL_S
    assert step_duration_s(may_move=False) > 1.5 * ideal_s
    assert step_duration_s(may_move=True) < 1.25 * ideal_s


def test_item_whose_run_has_just_started_stays():
    """Guards against an item that moves on from each engine before its first event.

    In a step that takes all slots the first event of a run is late, and its engine
    looks silent.
    """
    running = [RunningItem("item", "job", "engine-0", 7, 100.0, 0.1)]
    speeds = [
        EngineSpeed("engine-0", _EVENT_INTERVAL_S, 0.12, 0),
        EngineSpeed("engine-1", _EVENT_INTERVAL_S, 0.01, 1),
    ]
    assert choose_moves(running, speeds) == []
    running = [RunningItem("item", "job", "engine-0", 7, 100.0, 0.5)]
    assert choose_moves(running, speeds) == ["item"]


def test_an_item_continues_at_its_software_version_while_a_slot_is_free():
    engines = [
        EngineCapacity("other", _SLOTS, 0, 2, software="v2"),
        EngineCapacity("same", _SLOTS, _SLOTS - 1, 2, software="v1"),
    ]
    waiting = [_waiting(0, software="v1"), _waiting(1, 50, software="v1")]
    assert place_items(waiting, engines) == [(0, "same"), (1, "other")]


def test_an_item_with_output_waits_for_its_software_version_while_it_is_served():
    engines = [
        EngineCapacity("other", _SLOTS, 0, 2, software="v2"),
        EngineCapacity("same", _SLOTS, _SLOTS, 2, software="v1"),
    ]
    waiting = [_waiting(0, software="v1", is_waiting_to_continue=True)]
    assert place_items(waiting, engines) == []
    assert place_items(waiting, engines[:1]) == [(0, "other")]


def test_an_item_is_not_moved_to_another_software_version():
    speeds = _speeds(0.14, _EVENT_INTERVAL_S, _EVENT_INTERVAL_S)
    speeds[0].software = "v1"
    speeds[1].software = speeds[2].software = "v2"
    running = [_running(0, 0, 10, 100), _running(1, 1, 10, 100)]
    assert choose_moves(running, speeds) == []
    speeds[2].software = "v1"
    assert choose_moves(running, speeds) == [0]


# Guards against an item that is sent round engines which may not continue it.
def test_an_item_of_a_single_version_starts_over_only_without_its_weights():
    same = EngineCapacity("same", _SLOTS, 0, 2)
    other = EngineCapacity("other", _SLOTS, 0, 3)
    waiting = [
        _waiting(0, software="", version=2, is_waiting_to_continue=True, avoided=avoids)
        for avoids in (frozenset(), frozenset(["same"]))
    ]
    assert place_items(waiting[:1], [other, same]) == [(0, "same")]
    assert place_items(waiting[1:], [other, same]) == []
    assert place_items(waiting[1:], [other]) == [(0, "other")]


def test_an_item_of_a_single_version_is_not_moved_to_other_weights():
    speeds = [
        replace(speed, version=version)
        for speed, version in zip(
            _speeds(0.14, _EVENT_INTERVAL_S, _EVENT_INTERVAL_S), (2, 3, 3)
        )
    ]
    any_version = [_running(0, 0, 10, 100), _running(1, 1, 10, 100)]
    single_version = [replace(item, version=2) for item in any_version]
    assert choose_moves(any_version, speeds) == [0]
    assert choose_moves(single_version, speeds) == []
    speeds[2] = replace(speeds[2], version=2)
    assert choose_moves(single_version, speeds) == [0]


def test_no_more_items_start_than_the_limit_of_an_engine_allows():
    engines = [EngineCapacity("engine", _SLOTS, 0, 2, allowed_starts=2.6)]
    assert len(place_items([_waiting(key) for key in range(4)], engines)) == 2


def _uneven(slow_s: float, fast_s: float) -> list[EngineSpeed]:
    return [
        EngineSpeed("engine-0", slow_s, 0.01, 2, usual_interval_s=slow_s),
        EngineSpeed("engine-1", fast_s, 0.01, 2, usual_interval_s=fast_s),
    ]


def test_a_last_item_moves_from_a_lastingly_slower_engine():
    running = [_running(0, 0, 10, 100), _running(1, 1, 10, 100)]
    assert choose_moves(running, _uneven(0.036 / 0.55, 0.036 / 1.2)) == [0]


def test_an_item_stays_when_a_move_saves_little():
    # 10 events at 65 ms take 0.65 s; elsewhere they take 0.3 s and a new connection.
    slow_s, fast_s = 0.036 / 0.55, 0.036 / 1.2
    assert choose_moves([_running(0, 0, 94, 100)], _uneven(slow_s, fast_s)) == []
    assert choose_moves([_running(0, 0, 10, 100)], _uneven(0.04, 0.038)) == []


def test_an_item_moves_to_the_engine_at_which_it_ends_first():
    speeds = [*_uneven(0.08, 0.05), EngineSpeed("engine-2", 0.03, 0.01, 1)]
    speeds[1].free_slots = 0
    running = [_running(0, 0, 10, 100), _running(1, 0, 12, 100)]
    assert choose_moves(running, speeds) == [0]


def test_a_short_stall_that_is_over_does_not_move_items():
    speeds = _uneven(0.036, 0.036)
    speeds[0].event_interval_s = 1.5 * 0.036
    assert choose_moves([_running(0, 0, 10, 60)], speeds) == []
