"""Items that an entry process no longer runs, since they fail at each run."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from pollenlb.connection.control_api import BatchWork
from pollenlb.durable.batch_job_commands import BatchItem, BatchJobSpec, ItemState
from pollenlb.process.batch_runner import BatchRunner
from pollenlb.process.owned_job import OwnedJob

_ITEM = BatchItem("item", "/path", {}, b"body")
_SPEC = BatchJobSpec("job", "s", "host", [_ITEM], "model", max_attempts=3)
_LATER = 1e9


# Guards against an item that reaches a server again after it has failed three times as
# often as its route allows, in batch jobs together.
@pytest.mark.parametrize("failed_runs, is_run", [(0, True), (8, True), (9, False)])
def test_item_that_failed_too_often_in_earlier_batch_jobs_is_not_run(
    failed_runs, is_run
):
    output = SimpleNamespace(events=0, versions=[])
    item_runner = SimpleNamespace(create_output=lambda item, spec: output)
    runner = BatchRunner(SimpleNamespace(item_runner=item_runner))
    job = OwnedJob(_SPEC, _LATER, _LATER)
    runner._add_missing_items(
        job, BatchWork(_SPEC, set(), 0.0, [], {"item": failed_runs})
    )
    assert list(job.items) == (["item"] if is_run else [])
    states = [(result.state, result.failed_runs) for result in job.results]
    assert states == ([] if is_run else [(ItemState.EXPIRED, failed_runs)])
