"""Partial output that an entry process keeps of batch jobs that it ran before."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from pollenlb.durable.batch_job_commands import BatchItem, BatchJobSpec
from pollenlb.process.batch_runner import BatchRunner
from pollenlb.process.owned_job import OwnedJob
from pollenlb.request.item_progress import ItemProgress

_ITEM = BatchItem("item", "/path", {}, b"body")
_LATER = 1e9


def _output(events: int) -> SimpleNamespace:
    return SimpleNamespace(events=events, versions=[3] if events else [])


def _spec(name: str, workspace: str | None, model: str = "model") -> BatchJobSpec:
    return BatchJobSpec(name, "s", "host", [_ITEM], model, workspace=workspace)


@pytest.fixture
def runner():
    """Return a runner that keeps three events of an item of the workspace acme."""
    item_runner = SimpleNamespace(create_output=lambda item, spec: _output(0))
    runner = BatchRunner(SimpleNamespace(item_runner=item_runner))
    spec = _spec("first", "acme")
    job = OwnedJob(spec, _LATER, _LATER)
    job.add(ItemProgress(_ITEM, spec, _LATER, _output(3)))
    runner._jobs["first"] = job
    runner._release_job("first")
    return runner


def _events_of(runner: BatchRunner, spec: BatchJobSpec) -> int:
    return runner._create_progress(_ITEM, spec, _LATER).output.events


# Guards against output that goes to a batch job of another workspace or model, and
# against one that such a batch job throws away.
def test_partial_output_stays_with_its_workspace_and_model(runner):
    assert _events_of(runner, _spec("a", "other")) == 0
    assert _events_of(runner, _spec("b", None)) == 0
    assert _events_of(runner, _spec("c", "acme", "another")) == 0
    assert _events_of(runner, _spec("d", "acme")) == 3
