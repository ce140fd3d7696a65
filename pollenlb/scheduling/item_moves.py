"""Selects running items of batch jobs to move to another, faster engine."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Mapping, Sequence
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
# An item moves only if it is expected to end sooner by at least this time and, from
# an engine that is not slow at the moment, by this share of its remaining time.
_MIN_SAVED_S = 0.2
_MIN_SAVED_RATIO = 0.2
# An item moves only if its remaining time exceeds this share of the remaining
# time of the slowest item of its batch job.
_MIN_REMAINING_TIME_RATIO = 0.85
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
        Follows stalls.
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
    usual_interval_s : float
        Median time between events of a stream, in seconds, which does not follow
        stalls; 0 when unknown.
    """

    server: BackendServerName
    event_interval_s: float
    silent_s: float
    free_slots: int
    reported_slowness: float = 0.0
    software: SoftwareVersion = SoftwareVersion("")
    version: WeightVersion | None = None
    far_cost_s: float = 0.0
    usual_interval_s: float = 0.0


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

    Covers engines that differ in speed by a factor of two and stall for moments. When
    no items wait, the last ones of a step decide when it ends, so those of them move
    that are expected to end sooner elsewhere, by a margin. A move costs a connection,
    and the engine reads the prompt and the text again. An engine that is slow for the
    moment is expected to be slow for about half a second.

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
    estimates = {
        speed.server: _EngineEstimate.of(speed, typical_s, shared_silence_s)
        for speed in speeds
    }
    free_slots = Counter({speed.server: speed.free_slots for speed in speeds})
    remaining_s = {
        item.key: estimates[item.server].remaining_s(item.remaining_events)
        for item in running
        if item.server in estimates
    }
    longest: dict[BatchJobId, float] = {}
    for item in running:
        known_s = remaining_s.get(item.key, 0.0)
        longest[item.batch_job] = max(longest.get(item.batch_job, 0.0), known_s)
    last = [
        item
        for item in running
        if item.run_s >= _MIN_RUN_S
        and item.key in remaining_s
        and remaining_s[item.key] > _MIN_REMAINING_TIME_RATIO * longest[item.batch_job]
    ]
    last.sort(key=lambda item: -remaining_s[item.key])
    moved = []
    for item in last:
        target = _fastest_target(item, estimates, free_slots)
        if target is None:
            continue
        moved_s = _MOVE_COST_S + target.arrival_s(item.remaining_events)
        if remaining_s[item.key] - moved_s > _least_saving_s(
            remaining_s[item.key], estimates[item.server]
        ):
            free_slots[target.speed.server] -= 1
            moved.append(item.key)
    return moved


@dataclass(frozen=True)
class _EngineEstimate:
    """Expected speed of an engine.

    Attributes
    ----------
    usual_s : float
        Time between events while it is not slow, in seconds.
    slowness : float
        How many times longer events take at the moment.
    stall_s : float
        Seconds for which it is expected to generate nothing.
    """

    speed: EngineSpeed
    usual_s: float
    slowness: float
    stall_s: float

    @classmethod
    def of(
        cls, speed: EngineSpeed, typical_s: float, shared_silence_s: float
    ) -> _EngineEstimate:
        """Return the estimate of an engine; see ``estimate_slowness``."""
        usual_s = speed.usual_interval_s or speed.event_interval_s or typical_s
        slowness = max(1.0, speed.event_interval_s / usual_s, speed.reported_slowness)
        silent_s = speed.silent_s - shared_silence_s
        is_silent = silent_s > SLOW_RATIO * usual_s + _MIN_SILENCE_S
        stall_s = max(_SLOW_PERIOD_S, silent_s) if is_silent else 0.0
        return cls(speed, usual_s, slowness, stall_s)

    @property
    def is_slow(self) -> bool:
        """Whether it is much slower than usual at the moment."""
        return self.stall_s > 0 or self.slowness >= SLOW_RATIO

    def remaining_s(self, events: float) -> float:
        """Return the seconds until an item with this many events left ends."""
        usual_s = events * self.usual_s
        if self.stall_s:
            return usual_s + self.stall_s
        if not self.is_slow:
            return usual_s
        return usual_s + min(usual_s, _SLOW_PERIOD_S) * (self.slowness - 1)

    def arrival_s(self, events: float) -> float:
        """Return the same for an item that moves here, with the cost of the path."""
        return self.speed.far_cost_s + self.remaining_s(events)


def _least_saving_s(remaining_s: float, estimate: _EngineEstimate) -> float:
    """Return the time in seconds that a move from an engine must save.

    A stall is observed; a lasting difference in speed is an estimate that is multiplied
    by an estimated length.
    """
    if estimate.is_slow:
        return _MIN_SAVED_S
    return max(_MIN_SAVED_S, _MIN_SAVED_RATIO * remaining_s)


def _fastest_target(
    item: RunningItem,
    estimates: Mapping[BackendServerName, _EngineEstimate],
    free_slots: Mapping[BackendServerName, int],
) -> _EngineEstimate | None:
    """Return the fastest engine that can go on with an item, if there is one.

    Other software, or other weights if a single version must generate the item,
    would have to generate it anew.
    """
    software = estimates[item.server].speed.software
    targets = [
        estimate
        for server, estimate in estimates.items()
        if free_slots[server] > 0
        and server != item.server
        and not estimate.is_slow
        and estimate.speed.software == software
        and item.version in (None, estimate.speed.version)
    ]
    return min(
        targets,
        key=lambda target: target.arrival_s(item.remaining_events),
        default=None,
    )


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
