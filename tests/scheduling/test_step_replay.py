"""Moves of items in replayed steps of three trainers on uneven engines."""

from __future__ import annotations

import pytest

from .step_replay import Outcome, Replay, Trainer

_REPLAY_S = 60.0
# Each move opens a connection. New connections are to be halved from one in four
# requests to one in eight, so moves may cause only a minor part of these.
_MAX_MOVES_PER_ITEM = 1 / 20


def _run(seed: int, **options) -> Outcome:
    trainers = [
        Trainer(model, (5, 12), (8, 16), mean_events)
        for model, mean_events in (("a", 20), ("b", 25), ("c", 30))
    ]
    return Replay(trainers, seed).run(_REPLAY_S, **options)


def _mean_step_s(outcome: Outcome) -> float:
    return sum(outcome.mean_step_s.values()) / len(outcome.mean_step_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_moves_shorten_steps_on_uneven_engines_and_are_rare(seed):
    """Guards against moves that cost connections and do not end steps sooner.

    Steps took longer with moves than without when the time to the first event of a
    run counted as an engine's time between events.
    """
    moved = _run(seed)
    unmoved = _run(seed, move=lambda running, speeds: [])
    assert _mean_step_s(moved) < _mean_step_s(unmoved)
    assert moved.moves <= _MAX_MOVES_PER_ITEM * moved.items
