"""Checks whether a history of operations on a register is linearizable."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class Operation:
    """One operation of a client on a register.

    Attributes
    ----------
    kind : str
        ``read``, ``write`` or ``swap``.
    value : int
        Value that was read or is to be written.
    expected : int
        Value that a swap (compare and set) requires before it.
    called_at, returned_at : float
        Position of the call and of its return in the order of the history; the
        return is infinite when the outcome is unknown.
    is_applied : bool or None
        For a swap, whether it took effect; None when that is unknown.
    """

    kind: str
    value: int
    called_at: float
    returned_at: float
    expected: int = 0
    is_applied: bool | None = True

    @property
    def is_pending(self) -> bool:
        """Whether the outcome is unknown."""
        return math.isinf(self.returned_at)

    def apply(self, state: int) -> int | None:
        """Return the register's next value, or None if the result contradicts it."""
        if self.kind == "read":
            return state if state == self.value else None
        if self.kind == "write":
            return self.value
        is_applied = state == self.expected
        if self.is_applied is not None and self.is_applied != is_applied:
            return None
        return self.value if is_applied else state


def is_linearizable(history: list[Operation], start: int = 0) -> bool:
    """Return whether some order of the operations explains every result.

    The order must agree with real time: an operation that returned before another
    was called comes first. Operations with an unknown outcome may take effect at
    any time after their call, or never.

    Parameters
    ----------
    history : list of Operation
        Operations on one register.
    start : int
        Initial value of the register.
    """
    visited: set[tuple[frozenset, int]] = set()
    stack = [(frozenset(range(len(history))), start)]
    while stack:
        remaining, state = stack.pop()
        if all(history[index].is_pending for index in remaining):
            return True
        if (remaining, state) in visited:
            continue
        visited.add((remaining, state))
        first_return = min(history[index].returned_at for index in remaining)
        for index in remaining:
            if history[index].called_at > first_return:
                continue
            next_state = history[index].apply(state)
            if next_state is not None:
                stack.append((remaining - {index}, next_state))
    return False
