"""Tests of the plan of weight changes under the load of a trainer's steps."""

from __future__ import annotations

from hypothesis import given, strategies as st

from pollenlb.scheduling.swap_plan import (
    EngineView,
    ModelGoal,
    SwapMode,
    assign_models,
    next_swaps,
)

_MAX_SWAPS = 2


def _engine(number: int, versions: dict, running_items: int = 0, is_swapping=False):
    return EngineView(f"engine-{number}", versions, is_swapping, running_items)


def test_engine_is_assigned_the_model_it_is_least_behind():
    engines = [_engine(0, {"a": 5, "b": 1}), _engine(1, {"a": 1, "b": 4})]
    goals = [ModelGoal("a", 6), ModelGoal("b", 5)]
    assert assign_models(engines, goals) == {"engine-0": "a", "engine-1": "b"}


@given(
    versions=st.lists(
        st.tuples(st.integers(1, 9), st.integers(1, 9)), min_size=1, max_size=12
    )
)
def test_engines_are_divided_evenly_among_models(versions):
    engines = [
        _engine(number, {"a": a, "b": b}) for number, (a, b) in enumerate(versions)
    ]
    assigned = assign_models(engines, [ModelGoal("a", 9), ModelGoal("b", 9)])
    counts = [list(assigned.values()).count(model) for model in "ab"]
    assert sum(counts) == len(engines)
    assert abs(counts[0] - counts[1]) <= 1


def test_each_engine_loads_one_model_only():
    engines = [_engine(number, {"a": 1, "b": 1}) for number in range(4)]
    goals = [ModelGoal("a", 2), ModelGoal("b", 2)]
    swaps = next_swaps(engines, goals, max_swaps=10)
    assert sorted(swap.server for swap in swaps) == [
        engine.server for engine in engines
    ]


def test_engines_on_the_previous_version_do_not_load_right_after_a_release():
    # The trainer releases version 3 and submits its next step at the same
    # time; engines that load would refuse the items of that step.
    engines = [_engine(number, {"a": 2}) for number in range(3)]
    assert (
        next_swaps(engines, [ModelGoal("a", 3, is_just_released=True)], _MAX_SWAPS)
        == []
    )


def test_engine_two_versions_behind_loads_right_after_a_release():
    engines = [_engine(0, {"a": 1}), _engine(1, {"a": 2})]
    (swap,) = next_swaps(
        engines, [ModelGoal("a", 3, is_just_released=True)], _MAX_SWAPS
    )
    assert swap.server == "engine-0"


def test_engine_without_items_loads_while_the_last_items_run_on_another():
    engines = [_engine(0, {"a": 2}, running_items=3), _engine(1, {"a": 2})]
    goal = ModelGoal("a", 3, least_version=2, open_items=3)
    (swap,) = next_swaps(engines, [goal], _MAX_SWAPS)
    assert (swap.server, swap.mode) == ("engine-1", SwapMode.WAIT)


def test_no_engine_loads_while_items_wait_for_a_slot():
    engines = [_engine(0, {"a": 2}, running_items=4), _engine(1, {"a": 2})]
    goal = ModelGoal("a", 3, least_version=2, open_items=9, waiting_items=5)
    assert next_swaps(engines, [goal], _MAX_SWAPS) == []


def test_engines_older_than_the_open_items_allow_load_in_retain_mode():
    engines = [
        _engine(number, {"a": version}) for number, version in enumerate((3, 2, 2, 1))
    ]
    goal = ModelGoal("a", 4, least_version=3, open_items=9, waiting_items=5)
    swaps = next_swaps(engines, [goal], max_swaps=4)
    assert {swap.server for swap in swaps} == {"engine-1", "engine-2", "engine-3"}
    assert {swap.mode for swap in swaps} == {SwapMode.RETAIN}


def test_single_version_batch_job_makes_the_engine_wait_for_running_items():
    engines = [_engine(0, {"a": 1}, running_items=2)]
    goal = ModelGoal("a", 4, 3, open_items=5, waiting_items=5, is_single_version=True)
    (swap,) = next_swaps(engines, [goal], _MAX_SWAPS)
    assert swap.mode is SwapMode.WAIT


def test_loading_engines_count_toward_the_maximum_of_swaps():
    engines = [
        _engine(number, {"a": 1}, is_swapping=number == 0) for number in range(5)
    ]
    assert len(next_swaps(engines, [ModelGoal("a", 2)], _MAX_SWAPS)) == _MAX_SWAPS - 1


def test_an_engine_loads_the_model_that_it_is_assigned():
    engines = [_engine(number, {"a": 1, "b": 1}) for number in range(4)]
    goals = [ModelGoal("a", 2), ModelGoal("b", 2)]
    assigned = {engine.server: "b" for engine in engines}
    swaps = next_swaps(engines, goals, max_swaps=10, assigned=assigned)
    assert [(swap.server, swap.model) for swap in swaps] == list(assigned.items())


def test_an_assigned_engine_that_may_not_receive_orders_is_left_out():
    engines = [_engine(0, {"a": 1})]
    assigned = {"engine-0": "a", "engine-1": "a"}
    swaps = next_swaps(engines, [ModelGoal("a", 2)], max_swaps=10, assigned=assigned)
    assert [swap.server for swap in swaps] == ["engine-0"]
