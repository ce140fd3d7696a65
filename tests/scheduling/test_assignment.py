"""Choice of the entry process that runs the steps of trainers."""

from __future__ import annotations

from pollenlb.scheduling.assignment import (
    MAX_EVENT_LOOP_LAG_S,
    MAX_OPEN_ITEM_COUNT,
    Candidate,
    add_open_items,
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


def _stranded(name: str, open_items: int = 0) -> Candidate:
    return Candidate(name, 0.0, False, open_items, is_stranded=True)


def test_next_step_passes_over_entries_that_reach_no_server():
    assert choose_owner([_stranded("a"), *_candidates(b=5)], ["a"]) == "b"
    lagging = Candidate("b", 2 * MAX_EVENT_LOOP_LAG_S, False, 0)
    assert choose_owner([_stranded("a"), lagging], ["a"]) == "b"
    full = _candidates(b=MAX_OPEN_ITEM_COUNT)
    assert choose_owner([_stranded("a"), *full], ["a"]) == "b"


def test_step_goes_to_an_entry_that_reaches_no_server_if_all_others_drain():
    draining = Candidate("b", 0.0, True, 0)
    assert choose_owner([_stranded("a"), draining], []) == "a"
    assert not draining.can_take_over


def test_owner_is_chosen_as_usual_when_no_entry_reaches_a_server():
    candidates = [_stranded("a", 3), _stranded("b", 1)]
    assert choose_owner(candidates, ["a"]) == "a"
    assert choose_owner(candidates, []) == "b"


def test_jobs_that_move_at_once_are_spread_when_an_entry_has_the_maximum_of_items():
    candidates = _candidates(a=0, b=10)
    owners = []
    for _ in range(4):
        owner = choose_owner(candidates, owners)
        candidates = add_open_items(candidates, owner, MAX_OPEN_ITEM_COUNT // 2)
        owners.insert(0, owner)
    assert owners == ["b", "b", "a", "a"]
