"""Shares of engines among the workspaces whose items of batch jobs wait for them.

The load that this addresses: the batch jobs of several workspaces are due at about the
same time and together want more slots than the engines have. In order of due times and
lengths alone, a workspace with many items leaves the others without engines.

Items are ordered by start-time fair queueing, as in ``fair_queue``. All of them wait
already, so that the start tag of an item is the number of its workspace's items before
it, running ones included, divided by the workspace's weight.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

from .fair_queue import Flow

# Items whose results are due within this time after the most urgent one are as urgent.
# A step runs for several seconds, so that an order within this time changes little.
_URGENCY_INTERVAL_S = 1.0


class SharedItem(Protocol):
    """What decides on the turn of a waiting item; see ``WaitingItem``."""

    @property
    def due_at(self) -> float:
        """Monotonic time in seconds at which its result is due; may be infinite."""

    @property
    def flow(self) -> Flow | None:
        """Its workspace and priority; None without workspaces."""

    @property
    def running_in_flow(self) -> int:
        """Number of items of its flow that run."""


T = TypeVar("T", bound=SharedItem)


def share_by_workspace(items: Sequence[T]) -> list[T]:
    """Return items by priority, urgency and share; unchanged without workspaces.

    Parameters
    ----------
    items : sequence of SharedItem
        In the order in which they are served without workspaces, which stays that
        within a workspace.
    """
    if all(item.flow is None for item in items):
        return list(items)
    urgencies = _urgencies(item.due_at for item in items)
    ahead: Counter[Flow] = Counter()
    ranked = []
    for index, item in enumerate(items):
        flow = item.flow if item.flow is not None else Flow(0)
        start_tag = (item.running_in_flow + ahead[flow]) / flow.weight
        ahead[flow] += 1
        ranked.append((flow.priority, urgencies[item.due_at], start_tag, index))
    return [items[index] for _, _, _, index in sorted(ranked)]


def _urgencies(due_times: Iterable[float]) -> dict[float, float]:
    """Return the earliest of the due times with which each one is equally urgent."""
    urgencies: dict[float, float] = {}
    earliest = -math.inf
    for due_at in sorted(set(due_times)):
        if math.isinf(earliest) or due_at > earliest + _URGENCY_INTERVAL_S:
            earliest = due_at
        urgencies[due_at] = earliest
    return urgencies
