"""Which engine changes to which weights next, and when."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum

from ..ids import BackendServerName, ModelName, WeightVersion


class SwapMode(Enum):
    """What becomes of the requests that run while weights change."""

    WAIT = "wait"
    RETAIN = "retain"


@dataclass(frozen=True)
class EngineView:
    """What the leader knows of an engine.

    Attributes
    ----------
    versions : dict
        Weight version that it serves, by model.
    is_swapping : bool
        Whether an order to it is under way.
    running : int
        Items of batch jobs that entries run there.
    """

    server: BackendServerName
    versions: dict[ModelName, WeightVersion]
    is_swapping: bool
    running: int = 0


@dataclass(frozen=True)
class ModelGoal:
    """What is wanted of a model.

    Attributes
    ----------
    version : WeightVersion
        Version that was released.
    least_version : WeightVersion
        Oldest version that its open batch jobs allow.
    open_items : int
        Items of its open batch jobs that have no result.
    waiting_items : int
        Those of them that wait for a slot.
    is_single_version : bool
        Whether an open batch job wants one version for each item.
    is_new : bool
        Whether the version was released a moment ago, so that the trainer is
        about to hand in its next batch job.
    """

    model: ModelName
    version: WeightVersion
    least_version: WeightVersion = WeightVersion(0)
    open_items: int = 0
    waiting_items: int = 0
    is_single_version: bool = False
    is_new: bool = False


@dataclass(frozen=True)
class Swap:
    """An engine that should change weights now."""

    server: BackendServerName
    model: ModelName
    version: WeightVersion
    mode: SwapMode


def next_swaps(
    engines: Sequence[EngineView], goals: Sequence[ModelGoal], most: int
) -> list[Swap]:
    """Return the changes of weights to begin now, the most urgent first.

    Answers the load of trainers that release a version with each step. Each
    engine has one model as its home and loads only that one's versions, so
    that a version is loaded once an engine. The items of a step may still run
    on the version before, so an engine loads when it has run out of items:
    between two steps, or while the last items of a step run elsewhere. It
    loads at once when the open items do not allow its version any more. A
    version that was just released is left alone when the engine has the one
    before, which the step that comes at the same moment allows: a load would
    turn the step's items away.

    Parameters
    ----------
    engines : sequence of EngineView
        Engines of one service that can be given orders.
    goals : sequence of ModelGoal
        Models of the service.
    most : int
        Engines that may load at the same time.
    """
    by_model = {goal.model: goal for goal in goals}
    urgent: list[Swap] = []
    idle: list[Swap] = []
    for engine, model in assign_models(engines, goals).items():
        goal = by_model[model]
        view = next(each for each in engines if each.server == engine)
        version = view.versions.get(model, WeightVersion(0))
        if view.is_swapping or version >= goal.version:
            continue
        if goal.is_new and version == goal.version - 1:
            continue
        mode = SwapMode.RETAIN if goal.open_items else SwapMode.WAIT
        if goal.is_single_version:
            mode = SwapMode.WAIT
        swap = Swap(engine, model, goal.version, mode)
        if goal.open_items and version < goal.least_version:
            urgent.append(swap)
        elif not view.running and not goal.waiting_items:
            idle.append(replace(swap, mode=SwapMode.WAIT))
    room = most - sum(each.is_swapping for each in engines)
    return (urgent + idle)[: max(0, room)]


def assign_models(
    engines: Sequence[EngineView], goals: Sequence[ModelGoal]
) -> dict[BackendServerName, ModelName]:
    """Return the model that each engine should keep up to date.

    An engine stays with the model whose version it is least behind, so that
    any leader comes to the same homes from the versions alone; engines are
    shared out evenly.

    Parameters
    ----------
    engines : sequence of EngineView
        Engines of one service.
    goals : sequence of ModelGoal
        Models of the service.
    """
    ordered = sorted(goals, key=lambda each: each.model)
    if not ordered:
        return {}
    room = {
        goal.model: len(engines) // len(ordered)
        + (number < len(engines) % len(ordered))
        for number, goal in enumerate(ordered)
    }
    wishes = sorted(
        (_lag(engine, goal), engine.server, goal.model)
        for engine in engines
        for goal in ordered
    )
    found: dict[BackendServerName, ModelName] = {}
    for _, server, model in wishes:
        if server not in found and room[model] > 0:
            found[server] = model
            room[model] -= 1
    return found


def _lag(engine: EngineView, goal: ModelGoal) -> int:
    return goal.version - engine.versions.get(goal.model, WeightVersion(0))
