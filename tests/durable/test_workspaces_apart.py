"""Batch jobs of several workspaces in one table."""

from __future__ import annotations

import pytest

from pollenlb.durable.batch_job_commands import (
    BatchItem,
    BatchJobSpec,
    CommitItems,
    ItemResult,
    SavedOutput,
    SaveOutputs,
    SubmitBatchJob,
)
from pollenlb.durable.batch_jobs import BatchJob
from pollenlb.durable.format_commands import AdoptFormat
from pollenlb.ids import FormatVersion
from pollenlb.release import THIS_RELEASE

from .test_state_machine import AppliedLog

_ITEMS = [BatchItem(f"item-{number}", "/path", {}, b"body") for number in range(2)]
_RESULT = ItemResult.completed("item-0", b"text", [3])
_SAVED = SavedOutput.pack("item-1", ["event"], 1, [3], "v1", False)


def _log(log_format: FormatVersion = THIS_RELEASE.reads) -> AppliedLog:
    """Return a log in which one workspace has a result and a saved output."""
    log = AppliedLog()
    if log_format:
        log.apply(AdoptFormat(log_format))
    _submit(log, "first", "acme")
    log.apply(CommitItems("first", [_RESULT]))
    log.apply(SaveOutputs("first", "owner", [_SAVED]))
    return log


def _submit(log: AppliedLog, name: str, workspace: str | None) -> BatchJob:
    spec = BatchJobSpec(name, "s", "host", _ITEMS, "model", workspace=workspace)
    log.apply(SubmitBatchJob(spec, "owner"))
    return _job(log, name)


def _job(log: AppliedLog, name: str) -> BatchJob:
    return log.machine.state.batch_jobs.batch_jobs[name]


# Guards against texts that one workspace reads though they were generated for another.
@pytest.mark.parametrize("workspace", ["other", None])
def test_work_of_another_workspace_is_not_found(workspace):
    log = _log()
    later = _submit(log, "later", workspace)
    assert (later.results, later.saved) == ([], {})


# Guards against a batch job that takes the output away from that of another workspace.
def test_saved_output_stays_with_its_workspace():
    log = _log()
    _submit(log, "later", "other")
    assert _job(log, "first").saved == {"item-1": _SAVED}


def test_work_of_the_same_workspace_is_found():
    log = _log()
    later = _submit(log, "later", "acme")
    assert (later.results, later.saved) == ([_RESULT], {"item-1": _SAVED})


# Guards against replicas of two releases that apply one log to two states.
def test_commands_before_the_format_have_their_former_effect():
    log = _log(FormatVersion(0))
    before = _submit(log, "before", "other")
    assert (before.results, before.saved) == ([_RESULT], {"item-1": _SAVED})
    log.apply(AdoptFormat(THIS_RELEASE.reads))
    after = _submit(log, "after", "third")
    assert (after.results, after.saved) == ([], {})


def test_format_outlasts_a_snapshot_and_is_not_lowered():
    log = _log()
    log.restart()
    log.apply(AdoptFormat(FormatVersion(0)))
    assert log.machine.state.format == THIS_RELEASE.reads
    assert _submit(log, "later", "other").results == []
