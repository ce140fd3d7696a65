"""Divides the engines of a service among its models by need.

Answers this load: the steps of one trainer need several times the work of another's.
With an even division its steps miss their due times while engines of other models are
idle. Each engine that changes its model must load that model's weights, which is
charged for and takes 0.9 s or more, so the division changes only when an open step
would be late otherwise, and not again for a while.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..ids import BackendServerName, ModelName
from .swap_plan import EngineView, ModelGoal, assign_models

# A step is planned to end within this share of the time it has, since engines stall
# and the longest item decides when it ends.
_PLANNED_TIME_RATIO = 0.75
# The need of a model falls by half in this time, so that a trainer that has stopped
# gives up its engines and one that pauses between two steps does not.
_NEED_HALF_LIFE_S = 60.0
# The division does not change again within this time.
_MIN_INTERVAL_S = 10.0
# Time constant of the measured work per token, and the least work measured before a
# division is made.
_RATE_DECAY_S = 60.0
_MIN_MEASURED_TOKENS = 5000.0
_MIN_TIME_S = 1.0
# A model with one engine has none while that engine loads a version or stalls.
_MIN_ENGINE_COUNT = 2


@dataclass(frozen=True)
class OpenWork:
    """Work of an open batch job, as it was submitted.

    The leader does not know how much of a running item is generated. With the work
    that is left and the time that is left, each step would seem late towards its end.

    Attributes
    ----------
    model : ModelName
        Model of its items.
    tokens : float
        Tokens that all its items are expected to generate.
    due_s : float
        Seconds after the submission at which its results are due; infinite without
        a due time.
    """

    model: ModelName
    tokens: float
    due_s: float


class ModelDivision:
    """Division of the engines of one service among its models.

    Its measurements are kept in memory; the division itself is kept by the caller, so
    that a new leader continues with that of its predecessor.
    """

    def __init__(self) -> None:
        self._slot_s = 0.0
        self._tokens = 0.0
        self._measured_at: float | None = None
        self._needs: dict[ModelName, tuple[float, float]] = {}
        self._changed_at = float("-inf")

    @property
    def slot_s_per_token(self) -> float | None:
        """Seconds for which a slot is in use per token; None before it is known."""
        if self._tokens < _MIN_MEASURED_TOKENS:
            return None
        return self._slot_s / self._tokens

    def record_progress(self, running: int, tokens: float, at: float) -> None:
        """Record how many slots items use, and the tokens of items that ended.

        Parameters
        ----------
        running : int
            Number of running items since the last call.
        tokens : float
            Expected tokens of the items that have got a result since then.
        at : float
            Monotonic time in seconds.
        """
        passed_s = at - self._measured_at if self._measured_at is not None else 0.0
        self._measured_at = at
        weight = math.exp(-passed_s / _RATE_DECAY_S)
        self._slot_s = self._slot_s * weight + running * passed_s
        self._tokens = self._tokens * weight + tokens

    def divide(
        self,
        engines: Sequence[EngineView],
        goals: Sequence[ModelGoal],
        slots_per_engine: float,
        work: Sequence[OpenWork],
        current: Mapping[BackendServerName, ModelName],
        at: float,
    ) -> dict[BackendServerName, ModelName]:
        """Return the model of each engine; ``current`` unless it must change.

        Parameters
        ----------
        engines : sequence of EngineView
            Engines of the service.
        goals : sequence of ModelGoal
            Models of the service.
        slots_per_engine : float
            Mean number of slots of an engine.
        work : sequence of OpenWork
            Open batch jobs.
        current : mapping
            Model of each engine now; empty for the even division.
        at : float
            Monotonic time in seconds.
        """
        assigned = complete_assignment(engines, goals, current)
        slot_s_per_token = self.slot_s_per_token
        if slot_s_per_token is None or len(goals) < 2:
            return assigned
        open_needs = _open_needs(work, slot_s_per_token, slots_per_engine)
        self._record_needs(open_needs, at)
        counts = Counter(assigned.values())
        is_late = any(need > counts[model] for model, need in open_needs.items())
        if not is_late or at < self._changed_at + _MIN_INTERVAL_S:
            return assigned
        models = [goal.model for goal in goals]
        needs = {model: self._need(model, at) for model in models}
        targets = _target_counts(needs, open_needs, counts)
        changed = _move_engines(engines, goals, assigned, targets)
        if changed != assigned:
            self._changed_at = at
        return changed

    def _record_needs(self, open_needs: Mapping[ModelName, float], at: float) -> None:
        for model, need in open_needs.items():
            if need > self._need(model, at):
                self._needs[model] = (need, at)

    def _need(self, model: ModelName, at: float) -> float:
        """Return the engines that the steps of a model have needed lately."""
        need, needed_at = self._needs.get(model, (0.0, at))
        return need * 0.5 ** ((at - needed_at) / _NEED_HALF_LIFE_S)


def complete_assignment(
    engines: Sequence[EngineView],
    goals: Sequence[ModelGoal],
    known: Mapping[BackendServerName, ModelName],
) -> dict[BackendServerName, ModelName]:
    """Return the model of each engine: the known one, else by the even division.

    Parameters
    ----------
    engines : sequence of EngineView
        Engines of one service.
    goals : sequence of ModelGoal
        Models of the service.
    known : mapping
        Model of each engine that has been given one.
    """
    models = {goal.model for goal in goals}
    even = assign_models(engines, goals)
    return {
        server: known[server] if known.get(server) in models else model
        for server, model in even.items()
    }


def _open_needs(
    work: Sequence[OpenWork], slot_s_per_token: float, slots_per_engine: float
) -> dict[ModelName, float]:
    """Return how many engines each model needs to end its open work in time."""
    needs: dict[ModelName, float] = {}
    for each in work:
        if math.isinf(each.due_s):
            continue
        time_s = max(_MIN_TIME_S, _PLANNED_TIME_RATIO * each.due_s)
        slots = each.tokens * slot_s_per_token / time_s
        needs[each.model] = needs.get(each.model, 0.0) + slots / slots_per_engine
    return needs


def _target_counts(
    needs: Mapping[ModelName, float],
    open_needs: Mapping[ModelName, float],
    counts: Mapping[ModelName, int],
) -> dict[ModelName, int]:
    """Return the number of engines of each model, by need.

    Each gets what it needs before the rest is divided. If there are not enough
    engines, no model loses one that its open work needs.
    """
    engine_count = sum(counts[model] for model in needs)
    least = {
        model: max(_MIN_ENGINE_COUNT, math.ceil(max(open_needs.get(model, 0.0), need)))
        for model, need in needs.items()
    }
    total = sum(least.values())
    wanted = {model: engine_count * count / total for model, count in least.items()}
    kept = {
        model: min(
            counts[model],
            max(_MIN_ENGINE_COUNT, math.ceil(open_needs.get(model, 0.0))),
        )
        for model in needs
    }
    if total > engine_count:
        least = kept
    targets = {model: max(least[model], int(wanted[model])) for model in needs}
    while sum(targets.values()) > engine_count:
        widest = max(
            (model for model in targets if targets[model] > least[model]),
            key=lambda model: (targets[model] - wanted[model], model),
        )
        targets[widest] -= 1
    while sum(targets.values()) < engine_count:
        lacking = max(
            targets, key=lambda model: (wanted[model] - targets[model], model)
        )
        targets[lacking] += 1
    return targets


def _move_engines(
    engines: Sequence[EngineView],
    goals: Sequence[ModelGoal],
    assigned: Mapping[BackendServerName, ModelName],
    targets: Mapping[ModelName, int],
) -> dict[BackendServerName, ModelName]:
    """Return the assignment with the target counts that moves the fewest engines.

    Engines that run no items move first, and of these the ones whose version of the
    new model is the latest.
    """
    changed = dict(assigned)
    counts = Counter(assigned.values())
    views = {engine.server: engine for engine in engines}
    for goal in sorted(goals, key=lambda goal: goal.model):
        while counts[goal.model] < targets[goal.model]:
            candidates = [
                server
                for server, model in changed.items()
                if counts[model] > targets[model]
            ]
            if not candidates:
                break
            moved = min(
                candidates,
                key=lambda server: (
                    views[server].running_items > 0,
                    goal.version - views[server].versions.get(goal.model, 0),
                    server,
                ),
            )
            counts[changed[moved]] -= 1
            counts[goal.model] += 1
            changed[moved] = goal.model
    return changed
