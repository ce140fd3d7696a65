"""Replays of trainers that hand in steps: which entry runs them."""

from __future__ import annotations

from pollenlb.process.assignment import (
    BUSY_LAG_S,
    MOST_OPEN_ITEMS,
    Candidate,
    choose_owner,
)


def _candidates(**open_items: int) -> list[Candidate]:
    return [Candidate(name, 0.0, False, count) for name, count in open_items.items()]


def test_all_steps_of_a_service_stay_with_one_entry():
    candidates = _candidates(a=0, b=300, c=0)
    assert choose_owner(candidates, ["b"]) == "b"


def test_an_entry_that_runs_as_much_as_it_can_passes_the_next_step_on():
    candidates = _candidates(a=0, b=MOST_OPEN_ITEMS, c=10)
    assert choose_owner(candidates, ["b"]) == "a"
    assert choose_owner(candidates, ["b", "c"]) == "c"


def test_a_late_or_draining_entry_passes_the_next_step_on():
    late = [Candidate("a", 2 * BUSY_LAG_S, False, 0), *_candidates(b=5)]
    assert choose_owner(late, ["a"]) == "b"
    draining = [Candidate("a", 0.0, True, 0), *_candidates(b=5)]
    assert choose_owner(draining, ["a"]) == "b"


def test_the_first_step_goes_to_the_entry_with_the_fewest_items():
    assert choose_owner(_candidates(a=3, b=1), []) == "b"
    assert choose_owner([], []) is None
