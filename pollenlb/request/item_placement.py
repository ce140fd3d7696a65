"""Which items of batch jobs start next, and at which engines."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Generic, TypeVar

from ..ids import BackendServerName, BatchJobId, GroupName, WeightVersion

K = TypeVar("K", bound=Hashable)

_AWAY_COST = 0.6  # an engine of another model is taken when its own are this full
_GROUP_GAIN = 0.1  # worth of an engine that has read the group's prompt


@dataclass(frozen=True)
class WaitingItem(Generic[K]):
    """An item that could start.

    Attributes
    ----------
    key : hashable
        Names the item to the caller of ``place``.
    batch_job : BatchJobId
        Batch job that it belongs to.
    due_at : float
        Monotonic time at which its batch job is wanted, in seconds; infinite
        for a job that shares the engines with others.
    is_group_begun : bool
        Whether another item of its group has started.
    length : float
        Tokens that it is expected to generate.
    avoided : frozenset of BackendServerName
        Engines at which it failed a moment ago.
    """

    key: K
    batch_job: BatchJobId
    due_at: float
    group: GroupName
    is_group_begun: bool
    length: float
    least_version: WeightVersion
    avoided: frozenset[BackendServerName] = frozenset()


@dataclass
class EngineRoom:
    """Room at an engine, counted down as items are placed.

    Attributes
    ----------
    version : WeightVersion
        Version of the items' model that it serves.
    is_home : bool
        Whether it serves the items' model before others.
    slowness : float
        Time for an event as a multiple of what is typical.
    groups : set of GroupName
        Groups whose prompt it has read.
    """

    server: BackendServerName
    slots: int
    taken: int
    version: WeightVersion
    is_home: bool = True
    slowness: float = 1.0
    groups: set[GroupName] = field(default_factory=set)


def place_items(
    waiting: Sequence[WaitingItem[K]],
    rooms: Sequence[EngineRoom],
    running: Mapping[BatchJobId, int] = MappingProxyType({}),
) -> list[tuple[K, BackendServerName]]:
    """Return the items to start now, each with its engine.

    Answers the load of a step that comes all at once, at a time when its
    trainer waits for whole groups: the earlier due job goes first, within it
    groups that have begun, and within these the longest items, as the last
    one to finish decides. Jobs without a due time get the same number of
    slots each, so that a small one does not wait for a large one. An item waits
    here rather than in an engine's queue when all slots are taken, since it
    could not be moved from there.

    Parameters
    ----------
    waiting : sequence of WaitingItem
        Items of one model.
    rooms : sequence of EngineRoom
        Engines that have the model; changed in place.
    running : mapping
        Number of items that run, by batch job.
    """
    placed: list[tuple[K, BackendServerName]] = []
    for item in _ordered(waiting, running):
        fit = [
            room
            for room in rooms
            if room.taken < room.slots
            and room.version >= item.least_version
            and room.server not in item.avoided
        ]
        if not fit:
            if all(room.taken >= room.slots for room in rooms):
                break
            continue
        room = min(fit, key=lambda each: _cost(each, item))
        room.taken += 1
        room.groups.add(item.group)
        placed.append((item.key, room.server))
    return placed


def _ordered(
    waiting: Sequence[WaitingItem[K]], running: Mapping[BatchJobId, int]
) -> list[WaitingItem[K]]:
    begun = {(each.batch_job, each.group) for each in waiting if each.is_group_begun}
    urgent = sorted(
        waiting,
        key=lambda each: (
            each.due_at,
            (each.batch_job, each.group) not in begun,
            -each.length,
        ),
    )
    ahead = Counter(running)
    ranks = []
    for item in urgent:
        ranks.append(ahead[item.batch_job] if math.isinf(item.due_at) else 0)
        ahead[item.batch_job] += 1
    # Sorting is stable: items of equal rank keep their order.
    order = sorted(range(len(urgent)), key=lambda at: (urgent[at].due_at, ranks[at]))
    return [urgent[at] for at in order]


def _cost(room: EngineRoom, item: WaitingItem) -> float:
    cost = room.slowness * (1 + room.taken / room.slots)
    if not room.is_home:
        cost += _AWAY_COST
    if item.group in room.groups:
        cost -= _GROUP_GAIN
    return cost


PlacementPolicy = Callable[
    [Sequence[WaitingItem[Any]], Sequence[EngineRoom], Mapping[BatchJobId, int]],
    list[tuple[Any, BackendServerName]],
]
