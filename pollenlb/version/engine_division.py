"""Divides the engines of services among their models while an instance leads."""

from __future__ import annotations

from collections import Counter

from ..clock import now
from ..durable.batch_job_commands import BatchItem
from ..durable.batch_jobs import BatchJob
from ..durable.configuration_commands import Announcement, AssignEngines
from ..ids import BackendServerName, BatchJobId, ModelName, ServiceName
from ..process.control_context import ControlContext
from ..scheduling.model_division import (
    ModelDivision,
    OpenWork,
    complete_assignment,
)
from ..scheduling.swap_plan import EngineView, ModelGoal


class EngineDivider:
    """Measures the work of batch jobs, and records changes of the division.

    One is used for one term: measurements start anew with a new leader, the division
    continues from the log.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context
        self._divisions: dict[ServiceName, ModelDivision] = {}
        self._remaining_tokens: dict[BatchJobId, float] = {}

    async def divide(
        self,
        name: ServiceName,
        servers: list[Announcement],
        views: list[EngineView],
        goals: list[ModelGoal],
    ) -> dict[BackendServerName, ModelName]:
        """Return the model of each engine, and record a change of the division.

        Parameters
        ----------
        name : ServiceName
            The service.
        servers : list of Announcement
            Its engines.
        views : list of EngineView
            Their state.
        goals : list of ModelGoal
            Its models.
        """
        known = self._context.machine.state.directory.assigned.get(name, {})
        division = self._divisions.setdefault(name, ModelDivision())
        work, ended_tokens = self._open_work({goal.model for goal in goals})
        running = sum(view.running_items for view in views)
        division.record_progress(running, ended_tokens, now())
        mean_slots = sum(server.slots for server in servers) / len(servers)
        before = complete_assignment(views, goals, known)
        assigned = division.divide(views, goals, mean_slots, work, known, now())
        if assigned != before:
            self._context.events.record(
                "engines.assigned",
                service=name,
                engines=dict(Counter(assigned.values())),
                changed=sum(before[each] != assigned[each] for each in assigned),
            )
            await self._context.execute(AssignEngines(name, assigned))
        return assigned

    def _open_work(self, models: set[ModelName]) -> tuple[list[OpenWork], float]:
        """Return the open work of models, and the tokens that ended since last time."""
        work = []
        ended_tokens = 0.0
        for (
            name,
            batch_job,
        ) in self._context.machine.state.batch_jobs.batch_jobs.items():
            spec = batch_job.spec
            if spec.model not in models:
                continue
            remaining = _remaining_tokens(batch_job)
            known = self._remaining_tokens.pop(name, remaining)
            if batch_job.is_open or len(batch_job.results) >= len(spec.items):
                ended_tokens += max(0.0, known - remaining)
            if batch_job.is_open:
                self._remaining_tokens[name] = remaining
                tokens = sum(_expected_tokens(item) for item in spec.items)
                work.append(OpenWork(spec.model, tokens, spec.due_s))
        return work, ended_tokens


def _remaining_tokens(batch_job: BatchJob) -> float:
    """Return the tokens that items without a result are expected to generate."""
    if not batch_job.is_open:
        return 0.0
    return sum(
        _expected_tokens(item)
        for item in batch_job.spec.items
        if item.item not in batch_job.listed
    )


def _expected_tokens(item: BatchItem) -> int:
    return item.length_hint or item.tokens
