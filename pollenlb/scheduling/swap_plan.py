"""Plans which engines load new weight versions next, and in which mode."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from ..ids import BackendServerName, ModelName, WeightVersion


class SwapMode(Enum):
    """What an engine does with running requests when it loads new weights.

    ``WAIT`` finishes them on the old version first; ``RETAIN`` keeps them and
    continues them on the new version.
    """

    WAIT = "wait"
    RETAIN = "retain"


@dataclass(frozen=True)
class EngineView:
    """State of one engine as the leader knows it.

    Attributes
    ----------
    versions : dict
        Weight version that the engine serves, by model.
    is_swapping : bool
        Whether an order to the engine is pending or being carried out.
    running_items : int
        Number of batch job items that entries run on the engine.
    """

    server: BackendServerName
    versions: dict[ModelName, WeightVersion]
    is_swapping: bool
    running_items: int = 0


@dataclass(frozen=True)
class ModelGoal:
    """Desired version of a model, and the load on it.

    Attributes
    ----------
    version : WeightVersion
        Released version, which the engines should serve.
    least_version : WeightVersion
        Oldest version that the open batch jobs of the model allow.
    open_items : int
        Number of items of the open batch jobs that have no result yet.
    waiting_items : int
        Number of open items that wait for a slot, or more: those of one entry
        process are counted once for each of its batch jobs of the model.
    is_single_version : bool
        Whether an open batch job requires that each item runs on one version
        only.
    is_just_released : bool
        Whether the version was released so recently that the trainer is about
        to submit its next batch job.
    """

    model: ModelName
    version: WeightVersion
    least_version: WeightVersion = WeightVersion(0)
    open_items: int = 0
    waiting_items: int = 0
    is_single_version: bool = False
    is_just_released: bool = False


@dataclass(frozen=True)
class Swap:
    """A change of weights that should start on an engine now."""

    server: BackendServerName
    model: ModelName
    version: WeightVersion
    mode: SwapMode


def next_swaps(
    engines: Sequence[EngineView],
    goals: Sequence[ModelGoal],
    max_swaps: int,
    assigned: Mapping[BackendServerName, ModelName] | None = None,
) -> list[Swap]:
    """Return the changes of weights to start now, the most urgent first.

    The plan suits trainers that release a version with each step:

    - Each engine is assigned one model and loads versions of that model only,
      so that each version is loaded at most once per engine.
    - The items of a step may still run on the previous version, so an engine
      loads when it has no items left: between two steps, or while the last
      items of a step run on other engines.
    - An engine loads at once when the open items no longer allow its version.
    - A version that was just released is not loaded yet on an engine that
      serves the previous one. The step submitted together with the release
      allows that version, and a load would make the engine refuse its items.

    Parameters
    ----------
    engines : sequence of EngineView
        Engines of one service that may receive orders.
    goals : sequence of ModelGoal
        Desired versions of the models of the service.
    max_swaps : int
        Maximum number of engines that load at the same time; engines that are
        loading already count.
    assigned : mapping or None
        Model that each engine is assigned; None for the even division.
    """
    if assigned is None:
        assigned = assign_models(engines, goals)
    goals_by_model = {goal.model: goal for goal in goals}
    urgent: list[Swap] = []
    idle: list[Swap] = []
    views = {engine.server: engine for engine in engines}
    for server, model in assigned.items():
        if server not in views:
            continue
        goal = goals_by_model[model]
        view = views[server]
        version = view.versions.get(model, WeightVersion(0))
        if view.is_swapping or version >= goal.version:
            continue
        if goal.is_just_released and version == goal.version - 1:
            continue
        mode = SwapMode.RETAIN if goal.open_items else SwapMode.WAIT
        if goal.is_single_version:
            mode = SwapMode.WAIT
        swap = Swap(server, model, goal.version, mode)
        if goal.open_items and version < goal.least_version:
            urgent.append(swap)
        elif not view.running_items and not goal.waiting_items:
            idle.append(replace(swap, mode=SwapMode.WAIT))
    free_swaps = max_swaps - sum(engine.is_swapping for engine in engines)
    return (urgent + idle)[: max(0, free_swaps)]


def assign_models(
    engines: Sequence[EngineView], goals: Sequence[ModelGoal]
) -> dict[BackendServerName, ModelName]:
    """Return the model that each engine is assigned to keep up to date.

    The engines are divided evenly among the models. An engine is preferably
    assigned the model whose released version it is least behind. The result
    follows from the versions alone, so every leader computes the same one.

    Parameters
    ----------
    engines : sequence of EngineView
        Engines of one service.
    goals : sequence of ModelGoal
        Desired versions of the models of the service.
    """
    ordered = sorted(goals, key=lambda goal: goal.model)
    if not ordered:
        return {}
    free_engines = {
        goal.model: len(engines) // len(ordered)
        + (number < len(engines) % len(ordered))
        for number, goal in enumerate(ordered)
    }
    candidates = sorted(
        (_version_lag(engine, goal), engine.server, goal.model)
        for engine in engines
        for goal in ordered
    )
    assigned: dict[BackendServerName, ModelName] = {}
    for _, server, model in candidates:
        if server not in assigned and free_engines[model] > 0:
            assigned[server] = model
            free_engines[model] -= 1
    return assigned


def _version_lag(engine: EngineView, goal: ModelGoal) -> int:
    return goal.version - engine.versions.get(goal.model, WeightVersion(0))
