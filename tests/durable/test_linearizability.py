"""Tests of the linearizability checker itself."""

from __future__ import annotations

import math

from .linearizability import Operation, is_linearizable


def test_stale_read_is_not_linearizable():
    history = [
        Operation("write", 1, 0, 1),
        Operation("write", 2, 2, 3),
        Operation("read", 1, 4, 5),
    ]
    assert not is_linearizable(history)
    assert is_linearizable([*history[:2], Operation("read", 1, 2, 5)])


def test_lost_write_is_not_linearizable():
    assert not is_linearizable(
        [Operation("write", 1, 0, 1), Operation("read", 0, 2, 3)]
    )


def test_write_with_unknown_outcome_may_take_effect_late_or_never():
    unknown = Operation("write", 1, 0, math.inf)
    assert is_linearizable([unknown, Operation("read", 0, 1, 2)])
    assert is_linearizable(
        [unknown, Operation("read", 0, 1, 2), Operation("read", 1, 3, 4)]
    )


def test_swap_that_succeeds_twice_is_not_linearizable():
    history = [
        Operation("swap", 1, 0, 1, expected=0, is_applied=True),
        Operation("swap", 1, 2, 3, expected=0, is_applied=True),
    ]
    assert not is_linearizable(history)
