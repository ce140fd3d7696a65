"""Which running items should go on at another engine."""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from ..ids import BackendServerName, BatchJobId

K = TypeVar("K", bound=Hashable)

SLOW_RATIO = 1.7  # an engine this much slower than is typical is left
_LEAST_SILENCE_S = 0.03  # less may be the network's or this process's delay
_MOVE_COST_S = 0.08  # a new connection, and the prompt and text read again
_SPELL_S = 0.5  # an engine that shares its machine is slow for about so long
_LATE_SHARE = 0.5  # of the time that the slowest item of its job has left
_LEAST_RUN_S = 0.4  # the first event of a run may come late for many reasons
_LEAST_EVENTS_LEFT = 6.0  # an item that outlived its expected length may go on


@dataclass(frozen=True)
class RunningItem(Generic[K]):
    """An item that runs at an engine.

    Attributes
    ----------
    events : int
        Events that it has generated.
    expected_events : float
        Events that it is expected to have in the end.
    run_s : float
        Seconds since it began to run at the engine.
    """

    key: K
    job: BatchJobId
    server: BackendServerName
    events: int
    expected_events: float
    run_s: float

    @property
    def events_left(self) -> float:
        """Events that it is likely to generate yet."""
        return max(self.expected_events - self.events, _LEAST_EVENTS_LEFT)


@dataclass
class EnginePace:
    """How fast an engine generates, and its room.

    Attributes
    ----------
    piece_s : float
        Smoothed time between events of a stream, in seconds; 0 when unknown.
    reported : float
        How many times longer than usual work takes there, as it told a moment
        ago; 0 when it did not.
    silent_s : float
        Seconds since any of its streams had an event; 0 when none runs.
    free : int
        Slots that are free; counted down as items are moved there.
    """

    server: BackendServerName
    piece_s: float
    silent_s: float
    free: int
    reported: float = 0.0


def typical_piece_s(paces: Sequence[EnginePace]) -> float:
    """Return the lower third of the times between events, in seconds.

    The median would be a slow one as soon as half of the engines are slow.
    """
    known = sorted(each.piece_s for each in paces if each.piece_s)
    return known[(len(known) - 1) // 3] if known else 0.0


def choose_moves(
    running: Sequence[RunningItem[K]], paces: Sequence[EnginePace]
) -> list[K]:
    """Return the items to break off, so that they go on where it is faster.

    Answers engines that share their machines with others and turn slow for a
    while, or fall silent, when a step's last items run there: a resumed stream
    is read again in a few milliseconds, so the longest items move as long as
    there are free slots at engines that are not slow. Items that will be done
    long before their job's last one stay, as each move costs a connection. So do
    items that have just begun: without that, items went round engines that were
    all busy, thirteen times in one step.

    Parameters
    ----------
    running : sequence of RunningItem
        Items of one model.
    paces : sequence of EnginePace
        Engines that may run them; changed in place.
    """
    typical_s = typical_piece_s(paces)
    if not typical_s:
        return []
    least_s = min((each.silent_s for each in paces if each.silent_s), default=0.0)
    slowness = {each.server: slowness_of(each, typical_s, least_s) for each in paces}
    room = sum(each.free for each in paces if slowness[each.server] < SLOW_RATIO)
    last: dict[BatchJobId, float] = {}
    for each in running:
        left = each.events_left * slowness.get(each.server, 1.0)
        last[each.job] = max(last.get(each.job, 0.0), left)
    slow = [
        each
        for each in running
        if each.run_s >= _LEAST_RUN_S
        and slowness.get(each.server, 1.0) >= SLOW_RATIO
        and each.events_left * slowness[each.server] > _LATE_SHARE * last[each.job]
        and _gain_s(each, slowness[each.server], typical_s) > _MOVE_COST_S
    ]
    slow.sort(key=lambda each: -each.events_left)
    return [each.key for each in slow[:room]]


def slowness_of(pace: EnginePace, typical_s: float, least_silent_s: float = 0) -> float:
    """Return how many times slower than is typical an engine is now.

    Parameters
    ----------
    pace : EnginePace
        The engine.
    typical_s : float
        Typical time between events, in seconds.
    least_silent_s : float
        Silence that all engines share, in seconds: a pause of this process
        itself makes every engine look silent.
    """
    if not typical_s:
        return max(1.0, pace.reported)
    silent_s = pace.silent_s - least_silent_s
    silence = silent_s / typical_s if silent_s > typical_s + _LEAST_SILENCE_S else 0.0
    return max(1.0, pace.piece_s / typical_s, pace.reported, silence)


def _gain_s(item: RunningItem, slowness: float, typical_s: float) -> float:
    return min(item.events_left * typical_s, _SPELL_S) * (slowness - 1)
