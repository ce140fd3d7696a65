"""State machine: deduplication, configuration, idempotency keys and the ledger."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from pollenlb.durable.batch_job_commands import CommitItems, ItemResult
from pollenlb.durable.command_base import Done, Refused
from pollenlb.durable.commands import Proposal
from pollenlb.durable.configuration_commands import (
    ChangeConfiguration,
    ConfigurationChanged,
    ConfigurationConflict,
)
from pollenlb.durable.deduplication import MAX_COMMAND_COUNT, CommandResultTable
from pollenlb.durable.job_commands import (
    BatchNotReady,
    BatchSealed,
    CreateJob,
    JobSettings,
    PullBatch,
    SetTrainerVersion,
    SubmitStep,
)
from pollenlb.durable.key_commands import (
    Claimant,
    ClaimKey,
    KeyClaimed,
    KeyHeld,
    KeyState,
    LoseClaimants,
    SettleKey,
)
from pollenlb.durable.keys import KEY_LIFETIME_MS, MAX_TOTAL_ANSWER_BYTES
from pollenlb.durable.state_machine import ControlStateMachine, encode_proposal

CLAIMANTS = [Claimant(f"entry-{number}", f"boot-{number}") for number in range(3)]
JOB = JobSettings("job", "model", 2, 2, 1, 10)


class AppliedLog:
    """State machine to which commands are applied at consecutive log indexes."""

    def __init__(self) -> None:
        self.machine = ControlStateMachine()
        self.index = 0

    def apply(self, command, command_id=None, at_ms=1):
        """Apply a command and return its result."""
        self.index += 1
        payload = encode_proposal(Proposal(command_id, at_ms, command))
        return self.machine.apply(self.index, payload)

    def restart(self) -> None:
        """Continue with a new state machine, restored from a snapshot."""
        state = self.machine.snapshot()
        self.machine = ControlStateMachine()
        self.machine.restore(state)


def _change_share(value: int, based_on: int) -> ChangeConfiguration:
    changes = {"services.s.kind": "plain", "services.s.long_share": value / 100}
    return ChangeConfiguration(changes, based_on, "ana")


def test_of_two_changes_based_on_one_revision_the_second_conflicts():
    log = AppliedLog()
    assert log.apply(_change_share(1, 0), "a") == ConfigurationChanged(1)
    conflict = log.apply(_change_share(2, 0), "b")
    assert isinstance(conflict, ConfigurationConflict)
    assert conflict.winner.changes == _change_share(1, 0).changes


def test_a_resend_gets_the_first_result_after_a_later_command_and_a_snapshot():
    log = AppliedLog()
    first = log.apply(_change_share(1, 0), "a")
    log.apply(_change_share(2, 1), "b")
    log.restart()
    assert log.apply(_change_share(1, 0), "a") == first
    assert log.machine.state.configuration.revision == 2


def test_a_full_command_table_evicts_only_the_oldest_results():
    table = CommandResultTable()
    for number in range(MAX_COMMAND_COUNT + 5):
        table.store(f"c{number}", Refused(""))
    assert table.find("c4") is None
    assert table.find("c5") is not None


def test_a_key_is_granted_once_and_freed_only_when_nothing_was_sent():
    log = AppliedLog()
    first, second, _ = CLAIMANTS
    assert log.apply(ClaimKey("k", "f", first)) == KeyClaimed()
    assert isinstance(log.apply(ClaimKey("k", "f", second)), KeyHeld)
    assert isinstance(log.apply(ClaimKey("k", "other", second)), Refused)
    assert isinstance(log.apply(SettleKey("k", second, None)), Refused)
    log.apply(SettleKey("k", first, None))
    assert log.apply(ClaimKey("k", "f", second)) == KeyClaimed()
    log.apply(LoseClaimants([second.boot]))
    held = log.apply(ClaimKey("k", "f", first))
    assert held.record.state is KeyState.UNKNOWN
    log.apply(SettleKey("k", second, KeyState.RAN, b"answer"))
    assert log.apply(ClaimKey("k", "f", first)).record.state is KeyState.RAN
    assert log.apply(ClaimKey("k", "f", first)).record.answer == b"answer"
    later = log.apply(ClaimKey("k2", "f", first), at_ms=2 + KEY_LIFETIME_MS)
    assert later == KeyClaimed()
    assert list(log.machine.state.keys.records) == ["k2"]


def test_the_oldest_answers_are_evicted_but_their_keys_stay_settled():
    log = AppliedLog()
    owner = CLAIMANTS[0]
    for number in range(3):
        log.apply(ClaimKey(f"k{number}", "f", owner))
        answer = bytes(MAX_TOTAL_ANSWER_BYTES // 2)
        log.apply(SettleKey(f"k{number}", owner, KeyState.RAN, answer))
    log.restart()
    first, *others = (log.apply(ClaimKey(f"k{n}", "f", owner)).record for n in range(3))
    assert (first.state, first.answer) == (KeyState.RAN, None)
    assert all(record.answer is not None for record in others)


class CommandRules(RuleBasedStateMachine):
    """Operators that submit concurrent changes and resend them after any delay."""

    sent = Bundle("sent")

    @initialize()
    def start(self) -> None:
        self.log = AppliedLog()
        self.first_answers: dict = {}
        self.accepted: list = []

    @rule(target=sent, behind=st.integers(0, 2), value=st.integers(0, 100))
    def send(self, behind: int, value: int):
        command_id = f"c{len(self.first_answers)}"
        revision = self.log.machine.state.configuration.revision
        command = _change_share(value, max(0, revision - behind))
        answer = self.log.apply(command, command_id)
        self.first_answers[command_id] = answer
        if isinstance(answer, ConfigurationChanged):
            assert command.based_on == revision
            self.accepted.append(value)
        return command_id, command

    @rule(earlier=sent)
    def resend(self, earlier) -> None:
        command_id, command = earlier
        assert self.log.apply(command, command_id) == self.first_answers[command_id]

    @rule()
    def restart(self) -> None:
        self.log.restart()

    @invariant()
    def each_accepted_change_is_applied_once(self) -> None:
        if not hasattr(self, "log"):
            return
        table = self.log.machine.state.configuration
        assert table.revision == len(self.accepted)
        if self.accepted:
            share = table.document["services"]["s"]["long_share"]
            assert share == self.accepted[-1] / 100


TestCommandRules = CommandRules.TestCase


def _log_with_sealed_batch() -> AppliedLog:
    """Return a state machine with a job whose batch 1 is sealed at version 0."""
    log = AppliedLog()
    log.apply(CreateJob(JOB))
    log.apply(SubmitStep("job", 0, ["a", "b"], "boot"))
    (batch_job,) = log.machine.state.batch_jobs.batch_jobs.values()
    results = [
        ItemResult.completed(item.item, b"text", [0]) for item in batch_job.spec.items
    ]
    log.apply(CommitItems(batch_job.spec.batch_job, results))
    assert isinstance(log.apply(PullBatch("job", 1)), BatchSealed)
    return log


def test_an_acknowledged_batch_stays_delivered_when_its_samples_become_stale():
    log = _log_with_sealed_batch()
    log.apply(SetTrainerVersion("job", 2))
    assert not isinstance(log.apply(PullBatch("job", 2)), Refused)
    job = log.machine.state.ledger.jobs["job"]
    assert (job.acknowledged, job.delivered, job.wasted) == (1, 4, 0)


def test_a_stale_batch_that_is_requested_again_is_discarded():
    log = _log_with_sealed_batch()
    log.apply(SetTrainerVersion("job", 2))
    assert log.apply(PullBatch("job", 1)) == BatchNotReady(0, 2)
    job = log.machine.state.ledger.jobs["job"]
    assert (job.acknowledged, job.wasted) == (0, 4)


class LedgerRules(RuleBasedStateMachine):
    """A trainer that counts each sample once, despite late and repeated commands."""

    samples = Bundle("samples")

    @initialize()
    def create(self) -> None:
        self.log = AppliedLog()
        self.log.apply(CreateJob(JOB))
        self.version = 0
        self.step = 0
        self.content_count = 0
        self.counted: set = set()
        self.previous = None
        self.next_batch = 1

    @rule(groups=st.integers(1, 4))
    def submit(self, groups: int) -> None:
        prompts = [f"prompt {number}" for number in range(groups)]
        assert self.log.apply(SubmitStep("job", self.step, prompts, "boot")) == Done()
        repeated = self.log.apply(SubmitStep("job", self.step, prompts, "boot"))
        assert repeated == Done()
        conflicting = self.log.apply(SubmitStep("job", self.step, ["other"], "boot"))
        assert isinstance(conflicting, Refused)
        self.step += 1

    @rule(target=samples, number=st.integers(0, 30), staleness=st.integers(0, 2))
    def generate(self, number: int, staleness: int):
        """Generate two samples of an open step; they are committed later."""
        batch_jobs = list(self._batch_jobs().values())
        if not batch_jobs:
            return None
        batch_job = batch_jobs[number % len(batch_jobs)]
        first = number % len(batch_job.spec.items)
        results = []
        for item in batch_job.spec.items[first : first + 2]:
            self.content_count += 1
            version = max(0, self.version - staleness)
            content = b"text %d" % self.content_count
            results.append(ItemResult.completed(item.item, content, [version]))
        return CommitItems(batch_job.spec.batch_job, results)

    def _batch_jobs(self) -> dict:
        return self.log.machine.state.batch_jobs.batch_jobs

    @rule(commit=samples)
    def commit(self, commit: CommitItems | None) -> None:
        """Commit samples, also late or again; the first result of an item stays."""
        if commit is None:
            return
        before = self._results(commit)
        committed = self.log.apply(commit)
        if commit.batch_job not in self._batch_jobs():
            assert isinstance(committed, Refused)
            return
        after = self._results(commit)
        assert committed.entered == len(after) - len(before)
        for item, result in before.items():
            assert after[item] == result
        for item in after.keys() - before.keys():
            assert self.version - min(after[item].versions) <= JOB.staleness_bound

    def _results(self, commit: CommitItems) -> dict:
        batch_job = self._batch_jobs().get(commit.batch_job)
        results = batch_job.results if batch_job is not None else []
        return {result.item: result for result in results}

    @rule()
    def raise_version(self) -> None:
        self.version += 1
        self.log.apply(SetTrainerVersion("job", self.version))
        for batch_job in self._batch_jobs().values():
            min_version = self.version - JOB.staleness_bound
            assert batch_job.spec.least_version == max(0, min_version)
            assert batch_job.listed == {result.item for result in batch_job.results}

    @rule(is_answer_lost=st.booleans())
    def pull(self, is_answer_lost: bool) -> None:
        """Pull a batch; when the answer is lost, the same batch is requested again."""
        result = self.log.apply(PullBatch("job", self.next_batch))
        # A batch that the trainer counted stays acknowledged, also when its samples
        # have become stale.
        assert not isinstance(result, Refused)
        if not isinstance(result, BatchSealed):
            return
        for sample in result.samples:
            assert self.version - min(sample.result.versions) <= JOB.staleness_bound
            assert sample.result.content
        repeated = self.log.apply(PullBatch("job", self.next_batch))
        assert repeated.batch == result.batch and repeated.samples == result.samples
        if self.previous is not None and self.previous.batch.seal == result.batch.seal:
            assert self.previous.samples == result.samples
        self.previous = result
        if is_answer_lost:
            return
        step = result.batch.step
        slots = {(step, sample.group, sample.position) for sample in result.samples}
        assert len(slots) == len(result.samples)
        assert not slots & self.counted
        self.counted |= slots
        self.next_batch += 1

    @rule()
    def restart(self) -> None:
        self.log.restart()

    @invariant()
    def every_step_is_open_or_counted(self) -> None:
        if not hasattr(self, "log"):
            return
        job = self.log.machine.state.ledger.jobs["job"]
        for number in range(self.step):
            if number not in job.steps:
                assert any(slot[0] == number for slot in self.counted)
        open_batch_jobs = {step.batch_job for step in job.steps.values()}
        assert open_batch_jobs == set(self._batch_jobs())


TestLedgerRules = LedgerRules.TestCase
