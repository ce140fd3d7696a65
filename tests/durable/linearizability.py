"""Checks whether a history of reads and writes of a register is linearizable."""

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
        What was read, or is to be written.
    expected : int
        Value that a swap starts from.
    called_at, returned_at : float
        Order of the call and its return; infinite when the outcome is unknown.
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

    def step(self, state: int) -> int | None:
        """Return the register's next value, or None if this cannot come now."""
        if self.kind == "read":
            return state if state == self.value else None
        if self.kind == "write":
            return self.value
        is_applied = state == self.expected
        if self.is_applied is not None and self.is_applied != is_applied:
            return None
        return self.value if is_applied else state


def is_linearizable(history: list[Operation], start: int = 0) -> bool:
    """Tell whether some order explains every result.

    Parameters
    ----------
    history : list of Operation
        Operations on one register.
    start : int
        Its first value.
    """
    seen: set[tuple[frozenset, int]] = set()
    stack = [(frozenset(range(len(history))), start)]
    while stack:
        left, state = stack.pop()
        if all(history[at].is_pending for at in left):
            return True
        if (left, state) in seen:
            continue
        seen.add((left, state))
        first_return = min(history[at].returned_at for at in left)
        for at in left:
            if history[at].called_at > first_return:
                continue
            following = history[at].step(state)
            if following is not None:
                stack.append((left - {at}, following))
    return False
