"""Failed runs of items that come again in a later batch job."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from pollenlb.durable.batch_job_commands import (
    BatchItem,
    BatchJobSpec,
    CommitItems,
    EndBatchJob,
    ItemResult,
    ItemState,
    SaveOutputs,
    SubmitBatchJob,
)
from pollenlb.durable.format_commands import AdoptFormat
from pollenlb.ids import FormatVersion
from pollenlb.release import THIS_RELEASE

from .test_state_machine import AppliedLog

_ITEM = BatchItem("item", "/path", {}, b"body")
_OTHER = BatchItem("other", "/path", {}, b"body")
_SPEC = BatchJobSpec("first", "s", "host", [_ITEM, _OTHER], "model", kept_s=60.0)


def _log(log_format: FormatVersion = THIS_RELEASE.reads) -> AppliedLog:
    """Return a log with a batch job in which an item has failed twice."""
    log = AppliedLog()
    if log_format:
        log.apply(AdoptFormat(log_format))
    log.apply(SubmitBatchJob(_SPEC, "owner"))
    log.apply(SaveOutputs("first", "owner", [], {"item": 2}))
    return log


def _submit(log: AppliedLog, at_ms: int = 1, **changes) -> dict[str, int]:
    """Submit the items again; return the failed runs that the batch job begins with."""
    spec = replace(_SPEC, batch_job="later", **changes)
    log.apply(SubmitBatchJob(spec, "owner"), at_ms=at_ms)
    return log.machine.state.batch_jobs.batch_jobs["later"].failed_runs


# Guards against an item that fails at each run and reaches servers without end, since
# its trainer hands it in again.
def test_failed_runs_count_on_in_the_next_batch_job():
    log = _log()
    log.apply(EndBatchJob("first"))
    assert _submit(log) == {"item": 2}


def test_failed_runs_of_an_abandoned_item_count_on():
    log = _log()
    result = ItemResult("item", ItemState.EXPIRED, failed_runs=3)
    log.apply(CommitItems("first", [result]))
    assert _submit(log) == {"item": 3}


def test_failed_runs_end_with_a_completed_result():
    log = _log()
    log.apply(CommitItems("first", [ItemResult.completed("item", b"text", [3])]))
    assert _submit(log) == {}


@pytest.mark.parametrize(
    "changes",
    [
        {"items": [replace(_ITEM, body=b"another")]},
        {"model": "another"},
        {"workspace": "acme"},
    ],
)
def test_failed_runs_of_other_work_do_not_count(changes):
    assert _submit(_log(), **changes) == {}


# The bound: as many counts as the batch jobs that are retained have items.
def test_failed_runs_are_forgotten_with_the_results():
    log = _log()
    log.apply(EndBatchJob("first"))
    assert _submit(log, at_ms=91_000) == {}


def test_commands_before_the_format_have_their_former_effect():
    log = _log(FormatVersion(0))
    result = ItemResult("item", ItemState.EXPIRED, failed_runs=3)
    log.apply(CommitItems("first", [result]))
    assert log.machine.state.batch_jobs.batch_jobs["first"].failed_runs == {}
    assert _submit(log) == {}
