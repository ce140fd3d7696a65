"""Table of batch jobs: deduplication, fixed positions, reuse and retention."""

from __future__ import annotations

from hypothesis import given, strategies as st
from msgspec.msgpack import encode
from msgspec.structs import replace

from pollenlb.durable.batch_job_commands import (
    AssignBatchJobs,
    BatchItem,
    BatchJobAccepted,
    BatchJobSpec,
    CommitItems,
    EndBatchJob,
    ItemResult,
    RewardCall,
    SampleParameters,
    SavedOutput,
    SaveOutputs,
    SubmitBatchJob,
)
from pollenlb.durable.batch_jobs import MAX_TRACKED_OWNER_COUNT, BatchJobTable
from pollenlb.durable.command_base import Refused
from pollenlb.durable.commands import Proposal
from pollenlb.durable.state_machine import ControlStateMachine, encode_proposal

_AT_MS = 1_000_000
_RETENTION_S = 120.0


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
        kept_s=_RETENTION_S,
        **options,
    )


def _result(number: int, text: str = "text", versions=(3,)) -> ItemResult:
    return ItemResult.completed(f"item-{number}", text.encode(), sorted(versions))


def _table(**options) -> BatchJobTable:
    table = BatchJobTable()
    table.submit(SubmitBatchJob(_spec(**options), "first"), 1, _AT_MS)
    return table


def test_resubmitting_a_batch_job_changes_nothing():
    table = _table()
    repeated = table.submit(SubmitBatchJob(_spec(), "second"), 2, _AT_MS)
    assert repeated == BatchJobAccepted("first")
    assert len(table.batch_jobs) == 1


@given(
    commits=st.lists(
        st.lists(st.tuples(st.integers(0, 5), st.text(max_size=2)), max_size=4),
        max_size=6,
    )
)
def test_a_committed_result_keeps_its_position_and_its_first_content(commits):
    table = _table()
    batch_job = table.batch_jobs["job"]
    for index, commit in enumerate(commits):
        before = list(batch_job.results)
        results = [_result(number, text) for number, text in commit]
        table.commit(CommitItems("job", results), index + 2)
        assert batch_job.results[: len(before)] == before
    committed_items = [result.item for result in batch_job.results]
    assert len(set(committed_items)) == len(committed_items)
    assert set(committed_items) <= {item.item for item in batch_job.spec.items}
    assert batch_job.listed == set(committed_items)


def test_an_ended_batch_job_is_not_run_but_can_be_read():
    table = _table()
    table.commit(CommitItems("job", [_result(1)]), 2)
    table.end(EndBatchJob("job"), 3)
    assert table.open_jobs_owned_by("first") == []
    assert table.batch_jobs["job"].results == [_result(1)]
    assert table.changed_at["first"] == 3


def test_only_open_batch_jobs_are_assigned_to_another_owner():
    table = _table()
    table.submit(SubmitBatchJob(_spec("done", items=1), "first"), 2, _AT_MS)
    table.commit(CommitItems("done", [_result(0)]), 3)
    table.assign(AssignBatchJobs({"job": "second", "done": "second"}), 4)
    assert [job.spec.batch_job for job in table.open_jobs_owned_by("second")] == ["job"]
    assert table.open_jobs_owned_by("first") == []
    assert table.open_job_owners() == {"second"}


def test_results_of_allowed_versions_are_reused_by_a_later_batch_job():
    table = _table()
    table.commit(CommitItems("job", [_result(0), _result(1, versions=(2, 3))]), 2)
    table.end(EndBatchJob("job"), 3)
    later = _spec("later", least_version=3)
    table.submit(SubmitBatchJob(later, "first"), 4, _AT_MS)
    assert table.batch_jobs["later"].results == [_result(0)]


def test_a_result_for_another_body_is_not_reused():
    table = _table()
    table.commit(CommitItems("job", [_result(0)]), 2)
    item = BatchItem("item-0", "/path", {}, b"another body")
    other = BatchJobSpec("later", "model", "host", [item], "m")
    table.submit(SubmitBatchJob(other, "first"), 3, _AT_MS)
    assert table.batch_jobs["later"].results == []


# Guards against a state that grows by requests that are never sent again.
def test_the_request_of_an_item_with_a_result_is_not_retained():
    table = _table()
    table.commit(CommitItems("job", [_result(0)]), 2)
    first, second, *_ = table.batch_jobs["job"].spec.items
    assert (first.item, first.path, first.body) == ("item-0", "", b"")
    assert (second.path, second.body) == ("/path", b"body 1")


def test_a_result_is_reused_after_its_request_was_discarded():
    reward = RewardCall("reward-1", "host", "/score", b"")
    for call, reused in ((None, 1), (reward, 0)):
        table = _table()
        table.commit(CommitItems("job", [_result(0)]), 2)
        later = _spec("later", items=1)
        items = [replace(later.items[0], reward=call)]
        later = replace(later, items=items)
        table.submit(SubmitBatchJob(later, "owner"), 3, _AT_MS)
        assert len(table.batch_jobs["later"].results) == reused


def test_the_prompts_of_a_step_are_retained_with_their_samples():
    table = _table(sample=SampleParameters("job", 1, 10))
    table.commit(CommitItems("job", [_result(0)]), 2)
    assert table.batch_jobs["job"].spec.items[0].body == b"body 0"


def test_a_captured_batch_job_does_not_change():
    """Guards against a snapshot with results that were committed after it."""
    table = _table()
    captured = table.batch_jobs["job"].capture()
    before = encode(captured)
    table.commit(CommitItems("job", [_result(0)]), 2)
    table.save_outputs(SaveOutputs("job", "first", [], {"item-1": 1}))
    table.end(EndBatchJob("job"), 3)
    assert encode(captured) == before


def test_a_result_of_several_versions_is_not_reused_by_a_single_version_job():
    table = _table()
    table.commit(CommitItems("job", [_result(0, versions=(3, 4))]), 2)
    later = _spec("later", is_single_version=True)
    table.submit(SubmitBatchJob(later, "first"), 3, _AT_MS)
    assert table.batch_jobs["later"].results == []


def test_an_ended_batch_job_is_removed_after_its_retention_time():
    table = _table()
    table.end(EndBatchJob("job"), 2)
    in_time_ms = _AT_MS + int(1000 * _RETENTION_S)
    table.submit(SubmitBatchJob(_spec("second"), "first"), 3, in_time_ms)
    assert "job" in table.batch_jobs
    late_ms = table.batch_jobs["job"].retained_until_ms + 1
    table.submit(SubmitBatchJob(_spec("third"), "first"), 4, late_ms)
    assert set(table.batch_jobs) == {"second", "third"}


@given(content=st.binary())
def test_compressed_content_is_read_back_unchanged(content):
    assert ItemResult.completed("item", content, [1]).content == content


def test_commands_on_an_unknown_batch_job_are_refused():
    table = BatchJobTable()
    assert isinstance(table.commit(CommitItems("job", []), 1), Refused)
    assert isinstance(table.end(EndBatchJob("job"), 1), Refused)


def test_batch_jobs_are_restored_from_a_snapshot():
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


def test_a_suspended_owner_still_learns_that_its_jobs_were_reassigned():
    # Guards against losing the recorded change on the next submission: the former
    # owner then ran items of an ended job after it resumed (run hunt-6b5a-19
    # in the journal).
    table = _table()
    table.assign(AssignBatchJobs({"job": "second"}), 5)
    table.submit(SubmitBatchJob(_spec("next"), "second"), 6, _AT_MS)
    assert table.changed_at["first"] == 5


def test_recorded_changes_of_owners_are_bounded_in_number():
    table = BatchJobTable()
    for index in range(MAX_TRACKED_OWNER_COUNT + 10):
        spec = _spec(f"job-{index}", items=1)
        table.submit(SubmitBatchJob(spec, f"boot-{index}"), index, _AT_MS)
    assert len(table.changed_at) == MAX_TRACKED_OWNER_COUNT
    assert f"boot-{MAX_TRACKED_OWNER_COUNT + 9}" in table.changed_at


def _saved(number: int, versions=(3,), events: int = 2) -> SavedOutput:
    data = [f"event {event}" for event in range(events)]
    return SavedOutput.pack(
        f"item-{number}", data, events - 1, list(versions), "v1", False
    )


def test_saved_output_is_replaced_by_its_owner_only():
    table = _table()
    table.save_outputs(SaveOutputs("job", "first", [_saved(0, events=2)]))
    table.assign(AssignBatchJobs({"job": "second"}), 2)
    refused = table.save_outputs(SaveOutputs("job", "first", [_saved(0, events=9)]))
    assert isinstance(refused, Refused)
    assert table.batch_jobs["job"].saved == {"item-0": _saved(0, events=2)}
    table.save_outputs(SaveOutputs("job", "second", [_saved(0, events=5)]))
    assert table.batch_jobs["job"].saved == {"item-0": _saved(0, events=5)}


def test_saved_output_is_dropped_with_the_result_and_refused_after_it():
    table = _table()
    outputs = [_saved(0), _saved(1)]
    table.save_outputs(SaveOutputs("job", "first", outputs))
    table.commit(CommitItems("job", [_result(0)]), 2)
    table.save_outputs(SaveOutputs("job", "first", outputs))
    assert list(table.batch_jobs["job"].saved) == ["item-1"]


def test_saved_output_of_allowed_versions_moves_to_a_later_batch_job():
    table = _table()
    outputs = [_saved(0), _saved(1, versions=(2, 3))]
    table.save_outputs(SaveOutputs("job", "first", outputs))
    table.end(EndBatchJob("job"), 2)
    later = _spec("later", least_version=3)
    table.submit(SubmitBatchJob(later, "first"), 3, _AT_MS)
    assert table.batch_jobs["later"].saved == {"item-0": _saved(0)}
    assert table.batch_jobs["job"].saved == {}
