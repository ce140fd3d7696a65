"""When engines change weights: replays of the load of a trainer's steps."""

from __future__ import annotations

from hypothesis import given, strategies as st

from pollenlb.version.swap_plan import (
    EngineView,
    ModelGoal,
    SwapMode,
    assign_models,
    next_swaps,
)

_MOST = 2


def _engine(number: int, versions: dict, running: int = 0, is_swapping=False):
    return EngineView(f"engine-{number}", versions, is_swapping, running)


def test_engines_stay_with_the_model_they_are_least_behind():
    engines = [_engine(0, {"a": 5, "b": 1}), _engine(1, {"a": 1, "b": 4})]
    goals = [ModelGoal("a", 6), ModelGoal("b", 5)]
    assert assign_models(engines, goals) == {"engine-0": "a", "engine-1": "b"}


@given(
    versions=st.lists(
        st.tuples(st.integers(1, 9), st.integers(1, 9)), min_size=1, max_size=12
    )
)
def test_engines_are_shared_out_evenly(versions):
    engines = [_engine(at, {"a": a, "b": b}) for at, (a, b) in enumerate(versions)]
    found = assign_models(engines, [ModelGoal("a", 9), ModelGoal("b", 9)])
    counts = [list(found.values()).count(model) for model in "ab"]
    assert sum(counts) == len(engines)
    assert abs(counts[0] - counts[1]) <= 1


def test_a_version_is_loaded_once_an_engine():
    engines = [_engine(at, {"a": 1, "b": 1}) for at in range(4)]
    goals = [ModelGoal("a", 2), ModelGoal("b", 2)]
    swaps = next_swaps(engines, goals, most=10)
    assert sorted(each.server for each in swaps) == [each.server for each in engines]


def test_a_step_that_begins_with_a_release_keeps_its_engines():
    # The trainer names version 3 and hands in the next step at the same
    # moment; loads would turn the step's items away.
    engines = [_engine(at, {"a": 2}) for at in range(3)]
    assert next_swaps(engines, [ModelGoal("a", 3, is_new=True)], _MOST) == []


def test_an_engine_too_old_for_the_next_step_loads_at_once():
    engines = [_engine(0, {"a": 1}), _engine(1, {"a": 2})]
    (swap,) = next_swaps(engines, [ModelGoal("a", 3, is_new=True)], _MOST)
    assert swap.server == "engine-0"


def test_engines_without_items_load_while_the_last_items_run_elsewhere():
    engines = [_engine(0, {"a": 2}, running=3), _engine(1, {"a": 2})]
    goal = ModelGoal("a", 3, least_version=2, open_items=3)
    (swap,) = next_swaps(engines, [goal], _MOST)
    assert (swap.server, swap.mode) == ("engine-1", SwapMode.WAIT)


def test_no_engine_loads_while_items_wait_for_a_slot():
    engines = [_engine(0, {"a": 2}, running=4), _engine(1, {"a": 2})]
    goal = ModelGoal("a", 3, least_version=2, open_items=9, waiting_items=5)
    assert next_swaps(engines, [goal], _MOST) == []


def test_an_engine_that_the_open_items_do_not_allow_loads_first():
    engines = [_engine(at, {"a": version}) for at, version in enumerate((3, 2, 2, 1))]
    goal = ModelGoal("a", 4, least_version=3, open_items=9, waiting_items=5)
    swaps = next_swaps(engines, [goal], most=4)
    assert {each.server for each in swaps} == {"engine-1", "engine-2", "engine-3"}
    assert {each.mode for each in swaps} == {SwapMode.RETAIN}


def test_runs_are_not_carried_into_a_version_where_one_is_wanted():
    engines = [_engine(0, {"a": 1}, running=2)]
    goal = ModelGoal("a", 4, 3, open_items=5, waiting_items=5, is_single_version=True)
    (swap,) = next_swaps(engines, [goal], _MOST)
    assert swap.mode is SwapMode.WAIT


def test_only_so_many_engines_load_at_the_same_time():
    engines = [_engine(at, {"a": 1}, is_swapping=at == 0) for at in range(5)]
    assert len(next_swaps(engines, [ModelGoal("a", 2)], _MOST)) == _MOST - 1
