"""Batch jobs in the replicated state: once, in fixed positions, carried over."""

from __future__ import annotations

from hypothesis import given, strategies as st

from pollenlb.durable.batch_job_commands import (
    AssignBatchJobs,
    BatchItem,
    BatchJobAccepted,
    BatchJobSpec,
    CommitItems,
    EndBatchJob,
    ItemResult,
    SubmitBatchJob,
)
from pollenlb.durable.batch_jobs import MOST_CHANGES, BatchJobTable
from pollenlb.durable.command_base import Refused
from pollenlb.durable.commands import Proposal
from pollenlb.durable.state_machine import ControlStateMachine, encode_proposal

_AT_MS = 1_000_000
_KEPT_S = 120.0


def _spec(name: str = "job", items: int = 4, **options) -> BatchJobSpec:
    return BatchJobSpec(
        batch_job=name,
        service="model",
        host="host",
        items=[
            BatchItem(f"item-{number}", "/path", {}, b"body %d" % number)
            for number in range(items)
        ],
        model="m",
        kept_s=_KEPT_S,
        **options,
    )


def _result(number: int, text: str = "text", versions=(3,)) -> ItemResult:
    return ItemResult.completed(f"item-{number}", text.encode(), sorted(versions))


def _table(**options) -> BatchJobTable:
    table = BatchJobTable()
    table.submit(SubmitBatchJob(_spec(**options), "first"), 1, _AT_MS)
    return table


def test_a_batch_job_is_kept_once():
    table = _table()
    again = table.submit(SubmitBatchJob(_spec(), "second"), 2, _AT_MS)
    assert again == BatchJobAccepted("first")
    assert len(table.batch_jobs) == 1


@given(
    commits=st.lists(
        st.lists(st.tuples(st.integers(0, 5), st.text(max_size=2)), max_size=4),
        max_size=6,
    )
)
def test_a_result_keeps_its_position_and_its_first_text(commits):
    table = _table()
    batch_job = table.batch_jobs["job"]
    for index, batch in enumerate(commits):
        before = list(batch_job.results)
        results = [_result(number, text) for number, text in batch]
        table.commit(CommitItems("job", results), index + 2)
        assert batch_job.results[: len(before)] == before
    listed = [each.item for each in batch_job.results]
    assert len(set(listed)) == len(listed)
    assert set(listed) <= {each.item for each in batch_job.spec.items}
    assert batch_job.listed == set(listed)


def test_an_ended_batch_job_runs_nowhere_but_can_be_read():
    table = _table()
    table.commit(CommitItems("job", [_result(1)]), 2)
    table.end(EndBatchJob("job"), 3)
    assert table.open_jobs_owned_by("first") == []
    assert table.batch_jobs["job"].results == [_result(1)]
    assert table.changed_at["first"] == 3


def test_another_owner_takes_only_open_batch_jobs():
    table = _table()
    table.submit(SubmitBatchJob(_spec("done", items=1), "first"), 2, _AT_MS)
    table.commit(CommitItems("done", [_result(0)]), 3)
    table.assign(AssignBatchJobs({"job": "second", "done": "second"}), 4)
    assert [each.spec.batch_job for each in table.open_jobs_owned_by("second")] == [
        "job"
    ]
    assert table.open_jobs_owned_by("first") == []
    assert table.open_job_owners() == {"second"}


def test_results_that_fit_are_carried_into_a_later_batch_job():
    table = _table()
    table.commit(CommitItems("job", [_result(0), _result(1, versions=(2, 3))]), 2)
    table.end(EndBatchJob("job"), 3)
    later = _spec("later", least_version=3)
    table.submit(SubmitBatchJob(later, "first"), 4, _AT_MS)
    assert table.batch_jobs["later"].results == [_result(0)]


def test_a_result_of_another_body_is_not_carried():
    table = _table()
    table.commit(CommitItems("job", [_result(0)]), 2)
    item = BatchItem("item-0", "/path", {}, b"another body")
    other = BatchJobSpec("later", "model", "host", [item], "m")
    table.submit(SubmitBatchJob(other, "first"), 3, _AT_MS)
    assert table.batch_jobs["later"].results == []


def test_several_versions_are_not_carried_where_one_is_wanted():
    table = _table()
    table.commit(CommitItems("job", [_result(0, versions=(3, 4))]), 2)
    later = _spec("later", is_single_version=True)
    table.submit(SubmitBatchJob(later, "first"), 3, _AT_MS)
    assert table.batch_jobs["later"].results == []


def test_space_is_given_back_once_nobody_may_read_any_more():
    table = _table()
    table.end(EndBatchJob("job"), 2)
    in_time_ms = _AT_MS + int(1000 * _KEPT_S)
    table.submit(SubmitBatchJob(_spec("second"), "first"), 3, in_time_ms)
    assert "job" in table.batch_jobs
    late_ms = table.batch_jobs["job"].kept_until_ms + 1
    table.submit(SubmitBatchJob(_spec("third"), "first"), 4, late_ms)
    assert set(table.batch_jobs) == {"second", "third"}


@given(text=st.binary())
def test_a_text_is_kept_as_it_was(text):
    assert ItemResult.completed("item", text, [1]).content == text


def test_an_unknown_batch_job_is_refused():
    table = BatchJobTable()
    assert isinstance(table.commit(CommitItems("job", []), 1), Refused)
    assert isinstance(table.end(EndBatchJob("job"), 1), Refused)


def test_batch_jobs_outlive_a_snapshot():
    machine = ControlStateMachine()
    commands = [
        SubmitBatchJob(_spec(), "first"),
        CommitItems("job", [_result(2), _result(0)]),
    ]
    for index, command in enumerate(commands, start=1):
        machine.apply(index, encode_proposal(Proposal(None, _AT_MS, command)))
    restored = ControlStateMachine()
    restored.restore(machine.snapshot())
    assert restored.state.batch_jobs == machine.state.batch_jobs


def test_a_frozen_owner_still_learns_that_its_jobs_are_another_s():
    # Found by hunt-6b5a-19 on Kitami: the next submission forgot the change,
    # so that the owner ran items of an ended job after it was thawed.
    table = _table()
    table.assign(AssignBatchJobs({"job": "second"}), 5)
    table.submit(SubmitBatchJob(_spec("next"), "second"), 6, _AT_MS)
    assert table.changed_at["first"] == 5


def test_changes_of_work_are_bounded_in_number():
    table = BatchJobTable()
    for index in range(MOST_CHANGES + 10):
        spec = _spec(f"job-{index}", items=1)
        table.submit(SubmitBatchJob(spec, f"boot-{index}"), index, _AT_MS)
    assert len(table.changed_at) == MOST_CHANGES
    assert f"boot-{MOST_CHANGES + 9}" in table.changed_at
