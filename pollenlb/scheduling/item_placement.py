"""Schedules waiting items of batch jobs: which start next, and at which engines."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Generic, TypeVar

from ..ids import (
    BackendServerName,
    BatchJobId,
    GroupName,
    InWorkspace,
    SoftwareVersion,
    WeightVersion,
)
from .fair_queue import Flow
from .item_shares import share_by_workspace

K = TypeVar("K", bound=Hashable)

# Both constants are in the unit of _placement_cost: one idle engine of typical
# speed costs 1, a full one 2.
# An engine assigned to another model is used once the engines assigned to the
# items' model are this full.
_OTHER_MODEL_COST = 0.6
# Favors an engine that has already read the prompt of the item's group.
_SHARED_PROMPT_DISCOUNT = 0.1
# Favors an engine with an idle connection among engines of about equal load: a new
# one takes a millisecond or more, and an item several hundred.
_IDLE_CONNECTION_DISCOUNT = 0.02


@dataclass(frozen=True)
class WaitingItem(Generic[K]):
    """An item that is ready to start.

    Attributes
    ----------
    key : hashable
        Identifies the item to the caller of ``place_items``.
    batch_job : BatchJobId
        Batch job that the item belongs to.
    due_at : float
        Monotonic time at which the results of the batch job are due, in
        seconds; infinite for a batch job without a due time, which shares the
        engines equally with others.
    group : InWorkspace of GroupName
        Group of the item; items of one group share their prompt.
    is_group_started : bool
        Whether the item has generated output, so that its group has started.
    expected_tokens : float
        Number of tokens that the item is expected to generate.
    least_version : WeightVersion
        Oldest weights that may generate the item.
    avoided : frozenset of BackendServerName
        Engines at which the item failed recently.
    software : SoftwareVersion or None
        Software version that generated its output so far, which engines of other
        versions generate anew; None without output.
    version : WeightVersion or None
        Weight version that generated its output so far, if a single version must
        generate all of it; None if any allowed version may go on.
    is_waiting_to_continue : bool
        Whether it waits for an engine that can continue its output, if there is one,
        rather than start over.
    flow : Flow or None
        Its workspace and priority; None without workspaces.
    running_in_flow : int
        Number of items of its flow that run.
    """

    key: K
    batch_job: BatchJobId
    due_at: float
    group: InWorkspace[GroupName]
    is_group_started: bool
    expected_tokens: float
    least_version: WeightVersion
    avoided: frozenset[BackendServerName] = frozenset()
    software: SoftwareVersion | None = None
    version: WeightVersion | None = None
    is_waiting_to_continue: bool = False
    flow: Flow | None = None
    running_in_flow: int = 0


@dataclass
class EngineCapacity:
    """Slots of an engine, and what decides whether items are placed there.

    Attributes
    ----------
    server : BackendServerName
        The engine.
    slots : int
        Number of items and other requests that the engine can run concurrently.
    used_slots : int
        Number of slots that are not available; rises as items are placed.
    version : WeightVersion
        Version of the items' model that the engine serves.
    is_assigned_model : bool
        Whether the items' model is the one that the engine is assigned to.
    slowness : float
        Time per event as a multiple of the typical time.
    groups : set of InWorkspace of GroupName
        Groups whose prompt the engine has read; grows as items are placed.
    allowed_starts : float
        Number of requests that the engine's limit allows now; falls as items are
        placed, and is infinite without a limit.
    software : SoftwareVersion
        Version of the engine's software.
    idle_connections : int
        Connections to the engine that can be reused; falls as items are placed.
    far_cost : float
        Cost of using an engine of another failure domain, as a multiple of the usual
        duration of an item; 0 in the entry's own.
    """

    server: BackendServerName
    slots: int
    used_slots: int
    version: WeightVersion
    is_assigned_model: bool = True
    slowness: float = 1.0
    groups: set[InWorkspace[GroupName]] = field(default_factory=set)
    allowed_starts: float = math.inf
    software: SoftwareVersion = SoftwareVersion("")
    idle_connections: int = 0
    far_cost: float = 0.0

    @property
    def free_slots(self) -> int:
        """Number of items that can be placed now."""
        free_slots = max(0, self.slots - self.used_slots)
        return int(min(free_slots, max(0.0, self.allowed_starts)))


def place_items(
    waiting: Sequence[WaitingItem[K]],
    engines: Sequence[EngineCapacity],
    running: Mapping[BatchJobId, int] = MappingProxyType({}),
) -> list[tuple[K, BackendServerName]]:
    """Return the keys of the items to start now, each with its engine.

    All items of a step arrive at once, and its trainer waits for complete
    groups. So the batch job with the earlier due time comes first, within it
    groups that have started, and within these the longest items, since the last
    item to finish decides when the step ends. Batch jobs without a due time get
    the same number of slots each, so that a small one does not wait for a large
    one. With workspaces, their priorities come first, and items that are due at about
    the same time share the engines by the workspaces' weights.

    An item with output continues at an engine of the same software version, and of
    the same weight version where a single one must generate it, if one has a free
    slot. Otherwise it waits for one or starts over at another engine. This covers a
    server that is lost after all others have loaded the next version.

    An engine of another failure domain gets an item if all engines at home are as
    much fuller as the path costs, or if the item would wait longer for them than the
    path costs. So the items that leave are those at the end of the queue.

    When all slots are taken, items wait here and not in an engine's queue, from
    which they could not be moved to another engine.

    Parameters
    ----------
    waiting : sequence of WaitingItem
        Items of one model.
    engines : sequence of EngineCapacity
        Engines that serve the model; changed in place.
    running : mapping
        Number of running items by batch job.
    """
    placed: list[tuple[K, BackendServerName]] = []
    held_count = 0
    for item in _sort_by_priority(waiting, running):
        eligible = [
            engine
            for engine in engines
            if engine.free_slots
            and engine.version >= item.least_version
            and engine.server not in item.avoided
        ]
        if not eligible:
            if not any(engine.free_slots for engine in engines):
                break
            continue
        continuing = [engine for engine in eligible if _can_continue(engine, item)]
        if not continuing and item.is_waiting_to_continue:
            if any(_can_continue(engine, item) for engine in engines):
                continue
        chosen = min(
            continuing or eligible, key=lambda engine: _placement_cost(engine, item)
        )
        if chosen.far_cost and chosen.far_cost > _near_wait(engines, item, held_count):
            held_count += 1
            continue
        chosen.used_slots += 1
        chosen.allowed_starts -= 1
        chosen.idle_connections -= 1
        chosen.groups.add(item.group)
        placed.append((item.key, chosen.server))
    return placed


def _near_wait(
    engines: Sequence[EngineCapacity], item: WaitingItem, held_count: int
) -> float:
    """Return how long an item waits for the entry's own failure domain.

    It is a multiple of the usual duration of an item; infinite while a slot is free
    there, so that the costs decide, and if no engine there can run the item.

    Parameters
    ----------
    engines : sequence of EngineCapacity
        All engines.
    item : WaitingItem
        The item.
    held_count : int
        Items that wait for a slot in the own failure domain already.
    """
    near = [
        engine
        for engine in engines
        if not engine.far_cost
        and engine.version >= item.least_version
        and engine.server not in item.avoided
    ]
    if any(engine.free_slots for engine in near):
        return math.inf
    slots = sum(engine.slots / engine.slowness for engine in near)
    return (held_count + 1) / slots if slots else math.inf


def _can_continue(engine: EngineCapacity, item: WaitingItem) -> bool:
    """Return whether an engine can go on with the output of an item."""
    has_same_weights = item.version in (None, engine.version)
    return engine.software == item.software and has_same_weights


def _sort_by_priority(
    waiting: Sequence[WaitingItem[K]], running: Mapping[BatchJobId, int]
) -> list[WaitingItem[K]]:
    """Return items by due time; those without one take turns between batch jobs."""
    started = {
        (item.batch_job, item.group) for item in waiting if item.is_group_started
    }
    by_urgency = sorted(
        waiting,
        key=lambda item: (
            item.due_at,
            (item.batch_job, item.group) not in started,
            -item.expected_tokens,
        ),
    )
    items_ahead = Counter(running)
    ranks = []
    for item in by_urgency:
        ranks.append(items_ahead[item.batch_job] if math.isinf(item.due_at) else 0)
        items_ahead[item.batch_job] += 1
    # Sorting is stable: items of equal rank keep their order.
    order = sorted(
        range(len(by_urgency)),
        key=lambda index: (by_urgency[index].due_at, ranks[index]),
    )
    return share_by_workspace([by_urgency[index] for index in order])


def _placement_cost(engine: EngineCapacity, item: WaitingItem) -> float:
    cost = engine.slowness * (1 + engine.used_slots / engine.slots)
    if not engine.is_assigned_model:
        cost += _OTHER_MODEL_COST
    if item.group in engine.groups:
        cost -= _SHARED_PROMPT_DISCOUNT
    if engine.idle_connections > 0:
        cost -= _IDLE_CONNECTION_DISCOUNT
    cost += engine.far_cost
    return cost


PlacementPolicy = Callable[
    [Sequence[WaitingItem[Any]], Sequence[EngineCapacity], Mapping[BatchJobId, int]],
    list[tuple[Any, BackendServerName]],
]
