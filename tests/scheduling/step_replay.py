"""Replays the steps of several trainers on uneven engines, without a network.

Each trainer releases a weight version with each step, and its items may run on that
version or the one before. Lengths of items are log-normal and bounded by five times the
mean. Engines differ in speed and stall for moments. The decisions are those of
``pollenlb.scheduling``; time advances in ticks.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from pollenlb.connection.load import ServerLoad
from pollenlb.scheduling.item_moves import (
    EngineSpeed,
    RunningItem,
    choose_moves,
    estimate_slowness,
    typical_event_interval_s,
)
from pollenlb.scheduling.item_placement import EngineCapacity, WaitingItem, place_items
from pollenlb.scheduling.swap_plan import (
    EngineView,
    ModelGoal,
    assign_models,
    next_swaps,
)

TICK_S = 0.02
SLOTS = 8
_EVENT_S = 0.036
_PROMPT_S = 0.08
_LOAD_S = 0.9
_NOTICE_S = 0.15
DUE_S = 7.5
_PAUSE_S = 4.0
_MAX_LENGTH_RATIO = 5.0
_PLACEMENT_TICKS = 2
_PLAN_TICKS = 5
_STALLS_PER_S = 0.02
_STALL_S = 0.5
_NEW_RELEASE_S = 0.6


@dataclass
class Trainer:
    """A trainer that submits one step after another.

    Attributes
    ----------
    groups, group_size : tuple of int
        Least and greatest number of groups of a step, and of items of a group.
    mean_events : float
        Mean length of an item.
    """

    model: str
    groups: tuple[int, int]
    group_size: tuple[int, int]
    mean_events: float
    version: int = 1
    released_at: float = float("-inf")
    next_at: float = 0.0
    step: _Step | None = None
    durations_s: list[float] = field(default_factory=list)


@dataclass
class _Item:
    key: tuple
    group: str
    length: float
    events: float = 0.0
    server: str | None = None
    run_started_at: float = 0.0
    last_event_at: float = 0.0
    prompt_left_s: float = 0.0


@dataclass
class _Step:
    started_at: float
    least_version: int
    items: dict[tuple, _Item]
    tokens: float


@dataclass
class _Engine:
    name: str
    speed: float
    versions: dict[str, int]
    load: tuple[str, int] | None = None
    load_starts_at: float = 0.0
    load_ends_at: float = 0.0
    stalled_until: float = 0.0
    load_estimate: ServerLoad = field(default_factory=lambda: ServerLoad(SLOTS))
    last_event_at: float = 0.0


@dataclass
class Outcome:
    """What a replay measured.

    Attributes
    ----------
    in_time : dict
        Share of the steps of each model that ended before they were due.
    mean_step_s : dict
        Mean duration of a step of each model, in seconds.
    """

    in_time: dict[str, float]
    mean_step_s: dict[str, float]
    loads: int
    moves: int
    items: int


Assign = Callable[[Sequence[EngineView], Sequence[ModelGoal], "Replay"], dict]


class Replay:
    """A replay of the steps of trainers on the engines of one service.

    Parameters
    ----------
    trainers : list of Trainer
        Trainers, one for each model.
    seed : int
        Seed of lengths, speeds and stalls.
    engine_count : int
        Number of engines.
    learns_first_events : bool
        Whether the time to the first event of a run counts as a time between
        events, as it did once.
    """

    def __init__(
        self,
        trainers: list[Trainer],
        seed: int,
        engine_count: int = 22,
        learns_first_events: bool = False,
    ) -> None:
        self.learns_first_events = learns_first_events
        self._seed = seed
        # Lengths and stalls do not depend on the decisions, so that two replays
        # with one seed differ in the decisions only.
        self._stall_rng = random.Random(f"{seed}/stalls")
        rng = random.Random(seed)
        self.trainers = trainers
        self.at = 0.0
        self.loads = self.moves = self.items = 0
        models = [trainer.model for trainer in trainers]
        self.engines = [
            _Engine(
                f"engine-{number:02}",
                rng.uniform(0.55, 1.2),
                {model: 1 for model in models},
            )
            for number in range(engine_count)
        ]
        for trainer in trainers:
            trainer.next_at = rng.uniform(0.0, _PAUSE_S)

    def run(
        self,
        seconds: float,
        assign: Assign | None = None,
        move: Callable = choose_moves,
    ) -> Outcome:
        """Replay the given time, and return what was measured."""
        for tick in range(int(seconds / TICK_S)):
            self.at = tick * TICK_S
            self._advance_engines()
            self._advance_trainers()
            if tick % _PLAN_TICKS == 0:
                self._plan(assign)
            if tick % _PLACEMENT_TICKS == 0:
                for trainer in self.trainers:
                    if trainer.step is not None:
                        self._place(trainer, assign, move)
        return Outcome(
            {each.model: _share_in_time(each.durations_s) for each in self.trainers},
            {
                each.model: sum(each.durations_s) / max(1, len(each.durations_s))
                for each in self.trainers
            },
            self.loads,
            self.moves,
            self.items,
        )

    def open_items(self, model: str) -> list[_Item]:
        """Return the items of the open step of a model."""
        (trainer,) = (each for each in self.trainers if each.model == model)
        return list(trainer.step.items.values()) if trainer.step else []

    def _goals(self) -> list[ModelGoal]:
        goals = []
        for trainer in self.trainers:
            step = trainer.step
            items = list(step.items.values()) if step else []
            goals.append(
                ModelGoal(
                    trainer.model,
                    trainer.version,
                    step.least_version if step else 0,
                    len(items),
                    sum(item.server is None for item in items),
                    is_just_released=self.at < trainer.released_at + _NEW_RELEASE_S,
                )
            )
        return goals

    def _views(self) -> list[EngineView]:
        running: dict[str, int] = {}
        for trainer in self.trainers:
            for item in self.open_items(trainer.model):
                if item.server is not None:
                    running[item.server] = running.get(item.server, 0) + 1
        return [
            EngineView(
                engine.name,
                dict(engine.versions),
                engine.load is not None,
                running.get(engine.name, 0),
            )
            for engine in self.engines
        ]

    def _assigned(self, assign: Assign | None) -> dict:
        views, goals = self._views(), self._goals()
        return assign(views, goals, self) if assign else assign_models(views, goals)

    def _plan(self, assign: Assign | None) -> None:
        views, goals = self._views(), self._goals()
        options = {"assigned": assign(views, goals, self)} if assign else {}
        for swap in next_swaps(views, goals, 4, **options):
            (engine,) = (each for each in self.engines if each.name == swap.server)
            engine.load = (swap.model, swap.version)
            engine.load_starts_at = self.at + _NOTICE_S
            engine.load_ends_at = self.at + _NOTICE_S + _LOAD_S
            self.loads += 1

    def _advance_trainers(self) -> None:
        for trainer in self.trainers:
            step = trainer.step
            if step is not None and not step.items:
                trainer.durations_s.append(self.at - step.started_at)
                trainer.next_at = self.at + _PAUSE_S
                trainer.step = None
            if trainer.step is None and self.at >= trainer.next_at:
                self._submit(trainer)

    def _submit(self, trainer: Trainer) -> None:
        previous = trainer.version
        trainer.version += 1
        trainer.released_at = self.at
        rng = random.Random(f"{self._seed}/{trainer.model}/{trainer.version}")
        items = {}
        sigma = 0.8
        mu = math.log(trainer.mean_events) - sigma * sigma / 2
        for group in range(rng.randint(*trainer.groups)):
            for number in range(rng.randint(*trainer.group_size)):
                length = rng.lognormvariate(mu, sigma)
                limit = _MAX_LENGTH_RATIO * trainer.mean_events
                key = (trainer.model, trainer.version, group, number)
                items[key] = _Item(key, f"{group}", max(2.0, min(length, limit)))
        self.items += len(items)
        tokens = sum(item.length for item in items.values())
        trainer.step = _Step(self.at, previous, items, tokens)

    def _advance_engines(self) -> None:
        for engine in self.engines:
            if engine.load is not None and self.at >= engine.load_ends_at:
                model, version = engine.load
                engine.versions[model] = version
                engine.load = None
            if self._stall_rng.random() < _STALLS_PER_S * TICK_S:
                engine.stalled_until = self.at + self._stall_rng.uniform(0.3, 0.7)
        engines = {engine.name: engine for engine in self.engines}
        for trainer in self.trainers:
            if trainer.step is None:
                continue
            for item in list(trainer.step.items.values()):
                if item.server is not None:
                    self._advance_item(trainer.step, item, engines[item.server])

    def _advance_item(self, step: _Step, item: _Item, engine: _Engine) -> None:
        if self.at < engine.stalled_until:
            return
        if item.prompt_left_s > 0:
            item.prompt_left_s -= TICK_S * engine.speed
            return
        before = item.events
        progress = TICK_S * engine.speed / _EVENT_S
        item.events += progress
        if int(item.events) > int(before):
            missing = int(item.events) - before
            event_at = self.at + TICK_S * missing / progress
            is_first = item.last_event_at == item.run_started_at
            if self.learns_first_events or not is_first:
                engine.load_estimate.record_event_interval(
                    event_at - item.last_event_at
                )
            item.last_event_at = engine.last_event_at = event_at
        if item.events >= item.length:
            del step.items[item.key]

    def _speed(self, engine: _Engine, model: str, free_slots: int) -> EngineSpeed:
        is_used = any(
            item.server == engine.name
            for trainer in self.trainers
            for item in self.open_items(trainer.model)
        )
        return EngineSpeed(
            engine.name,
            engine.load_estimate.event_interval_s,
            max(TICK_S, self.at - engine.last_event_at) if is_used else 0.0,
            free_slots,
            version=engine.versions[model],
            usual_interval_s=engine.load_estimate.usual_event_interval_s(0.0),
        )

    def _place(self, trainer: Trainer, assign: Assign | None, move: Callable) -> None:
        step = trainer.step
        assert step is not None
        views = {view.server: view for view in self._views()}
        assigned = self._assigned(assign)
        speeds = {
            engine.name: self._speed(engine, trainer.model, 0)
            for engine in self.engines
        }
        typical_s = typical_event_interval_s(list(speeds.values()))
        capacities = [
            EngineCapacity(
                engine.name,
                0 if engine.load is not None else SLOTS,
                views[engine.name].running_items,
                engine.versions[trainer.model],
                assigned.get(engine.name, trainer.model) == trainer.model,
                estimate_slowness(speeds[engine.name], typical_s),
            )
            for engine in self.engines
        ]
        waiting = [
            WaitingItem(
                item.key,
                trainer.model,
                step.started_at + DUE_S,
                item.group,
                item.events > 0,
                item.length,
                step.least_version,
            )
            for item in step.items.values()
            if item.server is None
        ]
        if not waiting:
            self._move(step, trainer.model, capacities, move)
            return
        for key, server in place_items(waiting, capacities):
            item = step.items[key]
            item.server = server
            item.run_started_at = item.last_event_at = self.at
            item.prompt_left_s = _PROMPT_S

    def _move(
        self,
        step: _Step,
        model: str,
        capacities: list[EngineCapacity],
        move: Callable,
    ) -> None:
        running = [
            RunningItem(
                item.key,
                model,
                item.server,
                int(item.events),
                item.length,
                self.at - item.run_started_at,
            )
            for item in step.items.values()
            if item.server is not None
        ]
        engines = {engine.name: engine for engine in self.engines}
        speeds = [
            self._speed(
                engines[capacity.server],
                model,
                capacity.free_slots if capacity.version >= step.least_version else 0,
            )
            for capacity in capacities
        ]
        for key in move(running, speeds):
            step.items[key].server = None
            self.moves += 1


def _share_in_time(durations_s: list[float]) -> float:
    in_time = sum(duration <= DUE_S for duration in durations_s)
    return in_time / max(1, len(durations_s))
