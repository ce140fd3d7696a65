"""Division of engines among models by need, alone and in replayed steps."""

from __future__ import annotations

import math
from collections import Counter

from hypothesis import given, strategies as st

from pollenlb.scheduling.model_division import (
    ModelDivision,
    OpenWork,
    complete_assignment,
)
from pollenlb.scheduling.swap_plan import EngineView, ModelGoal

from .step_replay import DUE_S, Replay, Trainer

_SLOTS = 8
_GOALS = [ModelGoal("a", 2), ModelGoal("b", 2), ModelGoal("c", 2)]


def _engines(count: int) -> list[EngineView]:
    return [
        EngineView(f"engine-{number:02}", {"a": 1, "b": 1, "c": 1}, False)
        for number in range(count)
    ]


def _measured_division() -> ModelDivision:
    """Return a division that has measured 0.05 s of a slot per token."""
    division = ModelDivision()
    division.record_progress(0, 0.0, 0.0)
    division.record_progress(100, 20_000.0, 10.0)
    return division


def _divide(division, engines, work, current, at=20.0):
    return division.divide(engines, _GOALS, _SLOTS, work, current, at)


def test_engines_are_divided_evenly_while_no_step_would_be_late():
    engines = _engines(9)
    work = [OpenWork("a", 2_000.0, 7.5), OpenWork("b", 10.0, 7.5)]
    assigned = _divide(_measured_division(), engines, work, {})
    assert assigned == complete_assignment(engines, _GOALS, {})


def test_a_step_that_would_be_late_gets_engines_of_models_that_need_fewer():
    # 4,000 tokens of 0.05 s within 5.6 s need 36 slots, which are 5 engines.
    work = [OpenWork("a", 4_000.0, 7.5), OpenWork("b", 500.0, 7.5)]
    assigned = _divide(_measured_division(), _engines(9), work, {})
    counts = Counter(assigned.values())
    assert counts["a"] >= 5
    assert counts["b"] >= 1
    assert counts["c"] >= 1


def test_the_division_does_not_change_again_for_a_while():
    division, engines = _measured_division(), _engines(9)
    first = _divide(division, engines, [OpenWork("a", 4_000.0, 7.5)], {}, at=20.0)
    work = [OpenWork("b", 4_000.0, 7.5)]
    assert _divide(division, engines, work, first, at=25.0) == first
    assert _divide(division, engines, work, first, at=31.0) != first


def test_nothing_changes_before_the_work_per_token_is_known():
    engines = _engines(9)
    work = [OpenWork("a", 1e9, 7.5)]
    assigned = _divide(ModelDivision(), engines, work, {})
    assert assigned == complete_assignment(engines, _GOALS, {})


def test_work_without_a_due_time_is_never_late():
    engines = _engines(9)
    work = [OpenWork("a", 1e9, math.inf)]
    assigned = _divide(_measured_division(), engines, work, {})
    assert assigned == complete_assignment(engines, _GOALS, {})


def test_a_known_division_is_kept_and_a_new_engine_is_added_to_it():
    engines = _engines(4)
    known = {engine.server: "a" for engine in engines[:3]}
    assigned = complete_assignment(engines, _GOALS, known)
    assert {assigned[engine.server] for engine in engines[:3]} == {"a"}
    assert assigned["engine-03"] in {"a", "b", "c"}
    removed = dict.fromkeys(known, "removed-model")
    assert complete_assignment(engines, _GOALS, removed) == complete_assignment(
        engines, _GOALS, {}
    )


@given(
    count=st.integers(1, 30),
    tokens=st.tuples(*[st.floats(0.0, 50_000.0)] * 3),
    due_s=st.floats(-1.0, 10.0),
    current=st.lists(st.sampled_from("abc"), min_size=30, max_size=30),
)
def test_no_model_loses_an_engine_that_its_open_work_needs(
    count, tokens, due_s, current
):
    engines = _engines(count)
    known = {
        engine.server: model for engine, model in zip(engines, current, strict=False)
    }
    work = [OpenWork(model, each, due_s) for model, each in zip("abc", tokens)]
    assigned = _divide(_measured_division(), engines, work, known)
    assert assigned.keys() == known.keys()
    before, after = Counter(known.values()), Counter(assigned.values())
    time_s = max(1.0, 0.75 * due_s)
    for model, each in zip("abc", tokens):
        needed = math.ceil(each * 0.05 / time_s / _SLOTS)
        assert after[model] >= min(before[model], needed)


class _ReplayedDivision:
    """Divides engines in a replay, from what the leader would observe."""

    def __init__(self) -> None:
        self._division = ModelDivision()
        self._current: dict = {}
        self._lengths: dict = {}
        self._decided_at = -1.0
        self.moved_engines = 0

    def __call__(self, views, goals, replay):
        if replay.at < self._decided_at + 0.1:
            return complete_assignment(views, goals, self._current)
        self._decided_at = replay.at
        lengths, running, work = {}, 0, []
        for trainer in replay.trainers:
            items = replay.open_items(trainer.model)
            running += sum(item.server is not None for item in items)
            lengths |= {item.key: item.length for item in items}
            if trainer.step is not None:
                work.append(OpenWork(trainer.model, trainer.step.tokens, DUE_S))
        ended = sum(
            length for key, length in self._lengths.items() if key not in lengths
        )
        self._lengths = lengths
        self._division.record_progress(running, ended, replay.at)
        before = complete_assignment(views, goals, self._current)
        after = self._division.divide(
            views, goals, _SLOTS, work, self._current, replay.at
        )
        if after != before:
            self._current = after
            self.moved_engines += sum(after[each] != before[each] for each in after)
        return after


def _trainers() -> list[Trainer]:
    return [
        Trainer("a", (12, 12), (16, 16), 25),
        Trainer("b", (5, 6), (8, 10), 15),
        Trainer("c", (5, 6), (8, 10), 15),
    ]


def test_steps_of_a_trainer_with_more_work_end_in_time_on_few_engines():
    """Guards against a trainer that loses steps while others' engines are idle."""
    even = Replay(_trainers(), 3, engine_count=12).run(60.0)
    division = _ReplayedDivision()
    by_need = Replay(_trainers(), 3, engine_count=12).run(60.0, assign=division)
    assert even.in_time["a"] < 1.0
    assert min(by_need.in_time.values()) == 1.0
    # Each change is followed by loads, which are charged for.
    assert by_need.loads <= even.loads
    assert 0 < division.moved_engines <= 12


def test_engines_do_not_change_their_model_while_steps_end_in_time():
    """Guards against loads and slower steps of small trainers without any gain.

    Steps seemed late towards their end when they were judged by the work that was
    left, since the progress of running items is not known.
    """
    division = _ReplayedDivision()
    trainers = [
        Trainer("a", (12, 12), (16, 16), 32),
        Trainer("b", (5, 6), (8, 10), 20),
        Trainer("c", (5, 6), (8, 10), 20),
    ]
    outcome = Replay(trainers, 1).run(60.0, assign=division)
    assert min(outcome.in_time.values()) == 1.0
    assert division.moved_engines == 0
