"""Order of batch jobs' items of several workspaces."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from pollenlb.scheduling.fair_queue import Flow
from pollenlb.scheduling.item_placement import EngineCapacity, WaitingItem, place_items
from pollenlb.scheduling.item_shares import share_by_workspace


def _item(key: int, flow: Flow | None, **options) -> WaitingItem:
    values = {
        "batch_job": flow.workspace if flow is not None else "job",
        "due_at": 7.5,
        "group": f"group-{key}",
        "is_group_started": False,
        "expected_tokens": 100.0,
        "least_version": 1,
        "flow": flow,
        **options,
    }
    return WaitingItem(key=key, **values)


def _placed(items: list[WaitingItem], slots: int) -> Counter:
    flows = {item.key: item.flow for item in items}
    engines = [EngineCapacity("engine", slots, 0, 1)]
    return Counter(flows[key] for key, _ in place_items(items, engines))


@given(
    st.lists(
        st.tuples(
            st.sampled_from([3.0, 7.5, 7.9, math.inf]),
            st.booleans(),
            st.integers(1, 500),
            st.sampled_from("abc"),
        ),
        max_size=30,
    )
)
def test_without_workspaces_the_order_stays(values):
    """Guards against a changed order where no workspaces are configured."""
    items = [
        _item(
            number,
            None,
            due_at=due_at,
            is_group_started=is_started,
            expected_tokens=tokens,
            batch_job=job,
        )
        for number, (due_at, is_started, tokens, job) in enumerate(values)
    ]
    assert share_by_workspace(items) == items


@pytest.mark.parametrize("due_at", [7.5, math.inf])
def test_workspace_with_many_items_gets_no_more_than_its_share(due_at):
    """Guards against a workspace that takes all engines with one large step."""
    many, few = Flow(5, "many"), Flow(5, "few")
    items = [
        _item(key, many, expected_tokens=900.0, due_at=due_at) for key in range(100)
    ]
    items += [_item(100 + key, few, due_at=due_at) for key in range(8)]
    assert _placed(items, 16) == {many: 8, few: 8}


def test_batch_jobs_that_are_due_at_nearly_the_same_time_are_equally_urgent():
    """Guards against a share that is lost to a step submitted a moment before."""
    many, few = Flow(5, "many"), Flow(5, "few")
    items = [_item(key, many, due_at=6.95) for key in range(100)]
    items += [_item(100 + key, few, due_at=7.05) for key in range(8)]
    assert _placed(items, 16) == {many: 8, few: 8}


def test_engines_are_shared_by_weight_with_those_that_run():
    """Guards against shares that forget weights or the items that run already."""
    heavy, light = Flow(5, "heavy", 3.0), Flow(5, "light", 1.0)
    items = [_item(key, heavy) for key in range(40)]
    items += [_item(100 + key, light) for key in range(40)]
    assert _placed(items, 16) == {heavy: 12, light: 4}
    with_running = [
        replace(item, running_in_flow=12) if item.flow == heavy else item
        for item in items
    ]
    assert _placed(with_running, 4) == {light: 4}


def test_unused_share_goes_to_the_others():
    """Guards against idle engines beside waiting items."""
    many, few = Flow(5, "many"), Flow(5, "few")
    items = [_item(key, many) for key in range(40)] + [_item(100, few)]
    assert _placed(items, 16) == {many: 15, few: 1}


def test_priority_comes_before_due_time_and_due_time_before_share():
    """Guards against less urgent work at the cost of more urgent work."""
    urgent, other = Flow(1, "urgent"), Flow(5, "other")
    items = [_item(0, other, due_at=3.0), _item(1, urgent, due_at=9.0)]
    assert [item.key for item in share_by_workspace(items)] == [1, 0]
    late = [_item(2, Flow(5, "late"), due_at=9.0, running_in_flow=0)]
    soon = [_item(3, other, due_at=3.0, running_in_flow=50)]
    assert [item.key for item in share_by_workspace(soon + late)] == [3, 2]


@given(st.lists(st.sampled_from("abc"), max_size=40))
def test_order_within_a_workspace_stays(workspaces):
    """Guards against a workspace whose longest items no longer start first."""
    items = [_item(key, Flow(5, name)) for key, name in enumerate(workspaces)]
    shared = share_by_workspace(items)
    for name in "abc":
        own = [item.key for item in shared if item.flow.workspace == name]
        assert own == sorted(own)
