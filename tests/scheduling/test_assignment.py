"""Choice of the entry process that runs the steps of trainers."""

from __future__ import annotations

from pollenlb.scheduling.assignment import (
    MAX_EVENT_LOOP_LAG_S,
    MAX_OPEN_ITEM_COUNT,
    Candidate,
    choose_owner,
)


def _candidates(**open_items: int) -> list[Candidate]:
    return [Candidate(name, 0.0, False, count) for name, count in open_items.items()]


def test_steps_of_a_service_stay_with_the_current_owner():
    candidates = _candidates(a=0, b=300, c=0)
    assert choose_owner(candidates, ["b"]) == "b"


def test_next_step_goes_to_another_entry_when_the_owner_has_the_maximum_of_items():
    candidates = _candidates(a=0, b=MAX_OPEN_ITEM_COUNT, c=10)
    assert choose_owner(candidates, ["b"]) == "a"
    assert choose_owner(candidates, ["b", "c"]) == "c"


def test_next_step_goes_to_another_entry_when_the_owner_lags_or_drains():
    lagging = [Candidate("a", 2 * MAX_EVENT_LOOP_LAG_S, False, 0), *_candidates(b=5)]
    assert choose_owner(lagging, ["a"]) == "b"
    draining = [Candidate("a", 0.0, True, 0), *_candidates(b=5)]
    assert choose_owner(draining, ["a"]) == "b"


def test_first_step_goes_to_the_entry_with_the_fewest_open_items():
    assert choose_owner(_candidates(a=3, b=1), []) == "b"
    assert choose_owner([], []) is None
