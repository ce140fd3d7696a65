"""The leader's division of engines, from batch jobs in the log to the command."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from pollenlb.durable.batch_job_commands import (
    BatchItem,
    BatchJobSpec,
    CommitItems,
    EndBatchJob,
    ItemResult,
    SubmitBatchJob,
)
from pollenlb.durable.configuration_commands import Announcement
from pollenlb.durable.state_machine import State
from pollenlb.scheduling.swap_plan import EngineView, ModelGoal
from pollenlb.version import engine_division
from pollenlb.version.engine_division import EngineDivider

_GOALS = [ModelGoal("a", 1), ModelGoal("b", 1)]
_ENGINES = [f"engine-{number}" for number in range(6)]
_ITEM_TOKENS = 50


class _Context:
    """The parts of a control process that the division uses, without a log."""

    def __init__(self) -> None:
        self.machine = SimpleNamespace(state=State())
        self.events = SimpleNamespace(record=lambda kind, **fields: None)
        self.at = 100.0
        self.commands: list = []

    async def execute(self, command) -> None:
        self.commands.append(command)
        self.machine.state.directory.assign_engines(command)

    def submit(self, name: str, model: str, count: int) -> None:
        items = [
            BatchItem(f"{name}-{number}", "/", {}, b"", length_hint=_ITEM_TOKENS)
            for number in range(count)
        ]
        spec = BatchJobSpec(name, "service", "host", items, model=model, due_s=7.5)
        self.machine.state.batch_jobs.submit(SubmitBatchJob(spec, "owner"), 1, 0)

    def commit(self, name: str, count: int) -> None:
        results = [
            ItemResult.completed(f"{name}-{number}", b"", [1])
            for number in range(count)
        ]
        self.machine.state.batch_jobs.commit(CommitItems(name, results), 2)


@pytest.fixture
def context(monkeypatch) -> _Context:
    context = _Context()
    monkeypatch.setattr(engine_division, "now", lambda: context.at)
    return context


async def _divide(divider: EngineDivider, running: int = 0) -> dict:
    servers = [
        Announcement(name, "service", "127.0.0.1:1", "north", "boot", 8)
        for name in _ENGINES
    ]
    views = [
        EngineView(name, {"a": 1, "b": 1}, False, running // len(_ENGINES))
        for name in _ENGINES
    ]
    return await divider.divide("service", servers, views, _GOALS)


async def _measure(context: _Context, divider: EngineDivider) -> None:
    """Let 150 items of 50 tokens run in 36 slots for 10 s, 0.05 s per token."""
    for number in range(3):
        context.submit(f"measured-{number}", "a", 50)
    await _divide(divider)
    context.at += 10.0
    for number in range(3):
        context.commit(f"measured-{number}", 50)
    await _divide(divider, running=36)


async def test_a_step_that_would_be_late_changes_the_recorded_division_once(context):
    divider = EngineDivider(context)
    await _measure(context, divider)
    assert context.commands == []
    context.submit("large", "a", 90)
    assigned = await _divide(divider)
    assert list(assigned.values()).count("a") > 3
    (command,) = context.commands
    assert command.models == assigned
    context.at += 1.0
    assert await _divide(divider) == assigned
    assert len(context.commands) == 1


async def test_a_new_leader_continues_with_the_recorded_division(context):
    divider = EngineDivider(context)
    await _measure(context, divider)
    context.submit("large", "a", 90)
    assigned = await _divide(divider)
    assert await _divide(EngineDivider(context)) == assigned
    assert len(context.commands) == 1


async def test_items_of_an_ended_batch_job_do_not_count_as_generated(context):
    """Guards against work per token that is too low after a batch job was ended."""
    divider = EngineDivider(context)
    context.submit("ended", "a", 150)
    await _divide(divider)
    context.at += 10.0
    context.machine.state.batch_jobs.end(EndBatchJob("ended"), 2)
    await _divide(divider, running=36)
    assert divider._divisions["service"].slot_s_per_token is None
