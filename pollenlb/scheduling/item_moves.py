"""Selects running items of batch jobs to move to another, faster engine."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from ..ids import BackendServerName, BatchJobId, SoftwareVersion, WeightVersion

K = TypeVar("K", bound=Hashable)

SLOW_RATIO = 1.7  # items leave an engine whose slowness reaches this ratio
# A shorter silence may be caused by the network or by a delay in this process.
_MIN_SILENCE_S = 0.03
# A move opens a new connection, and the engine reads the prompt and text again.
_MOVE_COST_S = 0.08
# An engine that shares its machine stays slow for about this long.
_SLOW_PERIOD_S = 0.5
# An item moves only if its remaining time exceeds this share of the remaining
# time of the slowest item of its batch job.
_MIN_REMAINING_TIME_RATIO = 0.5
# The first event of a run may be late for many reasons other than a slow engine.
_MIN_RUN_S = 0.4
# An item that has exceeded its expected length may still continue.
_MIN_REMAINING_EVENT_COUNT = 6.0


@dataclass(frozen=True)
class RunningItem(Generic[K]):
    """An item that runs at an engine.

    Attributes
    ----------
    key : hashable
        Identifies the item to the caller of ``choose_moves``.
    batch_job : BatchJobId
        Batch job that the item belongs to.
    server : BackendServerName
        Engine that runs the item.
    events : int
        Number of events generated so far.
    expected_events : float
        Number of events expected by the end of the item.
    run_s : float
        Seconds since the run at this engine started.
    version : WeightVersion or None
        Weight version that must generate the rest; None if any allowed one may.
    """

    key: K
    batch_job: BatchJobId
    server: BackendServerName
    events: int
    expected_events: float
    run_s: float
    version: WeightVersion | None = None

    @property
    def remaining_events(self) -> float:
        """Number of events that the item is expected to generate from now on."""
        return max(self.expected_events - self.events, _MIN_REMAINING_EVENT_COUNT)


@dataclass
class EngineSpeed:
    """Generation speed and free slots of an engine.

    Attributes
    ----------
    server : BackendServerName
        The engine.
    event_interval_s : float
        Smoothed time between events of a stream, in seconds; 0 when unknown.
    silent_s : float
        Seconds since any stream of the engine had an event; 0 when no stream
        runs there.
    free_slots : int
        Number of free slots.
    reported_slowness : float
        How many times longer than usual work takes, as the engine reported
        recently; 0 without a recent report.
    software : SoftwareVersion
        Version of the engine's software.
    version : WeightVersion or None
        Version of the items' model that the engine serves.
    far_cost_s : float
        Seconds that the engine must save in addition, as it is in another failure
        domain; 0 in the entry's own.
    """

    server: BackendServerName
    event_interval_s: float
    silent_s: float
    free_slots: int
    reported_slowness: float = 0.0
    software: SoftwareVersion = SoftwareVersion("")
    version: WeightVersion | None = None
    far_cost_s: float = 0.0


def typical_event_interval_s(speeds: Sequence[EngineSpeed]) -> float:
    """Return a typical time between events in seconds, or 0 when none is known.

    This is the lower tercile of the engines' times. The median would be that
    of a slow engine as soon as half of the engines are slow.
    """
    known = sorted(speed.event_interval_s for speed in speeds if speed.event_interval_s)
    return known[(len(known) - 1) // 3] if known else 0.0


def choose_moves(
    running: Sequence[RunningItem[K]], speeds: Sequence[EngineSpeed]
) -> list[K]:
    """Return the keys of items to interrupt so that they resume at a faster engine.

    Covers engines that share their machines with others and become slow or
    silent for a while when the last items of a step run there. An engine reads
    a resumed stream again within a few milliseconds, so the items with the most
    remaining events move as long as engines that are not slow have free slots.

    Engines of the entry's own failure domain come first, and others only if the move
    saves more than the path costs.

    Items that will finish long before the last item of their batch job stay, as
    each move costs a connection. Items whose run has just started stay, too:
    without this rule, an item moved between engines that were all busy, 13
    times in one step.

    Parameters
    ----------
    running : sequence of RunningItem
        Running items of one model.
    speeds : sequence of EngineSpeed
        Engines that can run the items.
    """
    typical_s = typical_event_interval_s(speeds)
    if not typical_s:
        return []
    shared_silence_s = min(
        (speed.silent_s for speed in speeds if speed.silent_s), default=0.0
    )
    slowness = {
        speed.server: estimate_slowness(speed, typical_s, shared_silence_s)
        for speed in speeds
    }
    software = {speed.server: speed.software for speed in speeds}
    targets = [speed for speed in speeds if slowness[speed.server] < SLOW_RATIO]
    targets.sort(key=lambda target: target.far_cost_s)
    free_slots = Counter({target.server: target.free_slots for target in targets})
    longest: dict[BatchJobId, float] = {}
    for item in running:
        weighted_events = item.remaining_events * slowness.get(item.server, 1.0)
        longest[item.batch_job] = max(longest.get(item.batch_job, 0.0), weighted_events)
    slow = [
        item
        for item in running
        if item.run_s >= _MIN_RUN_S
        and slowness.get(item.server, 1.0) >= SLOW_RATIO
        and item.remaining_events * slowness[item.server]
        > _MIN_REMAINING_TIME_RATIO * longest[item.batch_job]
        and _saved_time_s(item, slowness[item.server], typical_s) > _MOVE_COST_S
    ]
    slow.sort(key=lambda item: -item.remaining_events)
    moved = []
    for item in slow:
        # Other software, or other weights if a single version must generate the item,
        # would have to generate it anew.
        target = next(
            (
                target.server
                for target in targets
                if free_slots[target.server] > 0
                and target.software == software[item.server]
                and item.version in (None, target.version)
                and _saved_time_s(item, slowness[item.server], typical_s)
                > _MOVE_COST_S + target.far_cost_s
            ),
            None,
        )
        if target is not None:
            free_slots[target] -= 1
            moved.append(item.key)
    return moved


def estimate_slowness(
    speed: EngineSpeed, typical_s: float, shared_silence_s: float = 0
) -> float:
    """Return how many times slower than typical an engine is, at least 1.

    Parameters
    ----------
    speed : EngineSpeed
        Speed of the engine.
    typical_s : float
        Typical time between events, in seconds; 0 when unknown.
    shared_silence_s : float
        Silence that all engines have in common, in seconds. It is subtracted,
        since a pause of this process makes every engine look silent.
    """
    if not typical_s:
        return max(1.0, speed.reported_slowness)
    silent_s = speed.silent_s - shared_silence_s
    silence = silent_s / typical_s if silent_s > typical_s + _MIN_SILENCE_S else 0.0
    return max(
        1.0, speed.event_interval_s / typical_s, speed.reported_slowness, silence
    )


def _saved_time_s(item: RunningItem, slowness: float, typical_s: float) -> float:
    """Return the seconds that a move saves while the engine stays slow."""
    return min(item.remaining_events * typical_s, _SLOW_PERIOD_S) * (slowness - 1)
