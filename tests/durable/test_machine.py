"""The replicated tables: commands, configuration, keys and the ledger."""

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
from pollenlb.durable.deduplication import MOST_COMMANDS, CommandTable
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
from pollenlb.durable.keys import KEY_LIFETIME_MS, MOST_ANSWER_BYTES
from pollenlb.durable.state_machine import ControlStateMachine, encode_proposal

CLAIMANTS = [Claimant(f"entry-{each}", f"boot-{each}") for each in range(3)]
JOB = JobSettings("job", "model", 2, 2, 1, 10)


class Log:
    """Applies commands to a machine, one index after the other."""

    def __init__(self) -> None:
        self.machine = ControlStateMachine()
        self.index = 0

    def do(self, command, command_id=None, at_ms=1):
        """Apply a command and return its result."""
        self.index += 1
        payload = encode_proposal(Proposal(command_id, at_ms, command))
        return self.machine.apply(self.index, payload)

    def restart(self) -> None:
        """Go on from a snapshot."""
        state = self.machine.snapshot()
        self.machine = ControlStateMachine()
        self.machine.restore(state)


def _set(value: int, based_on: int) -> ChangeConfiguration:
    changes = {"services.s.kind": "plain", "services.s.long_share": value / 100}
    return ChangeConfiguration(changes, based_on, "ana")


def test_of_two_changes_with_equal_numbers_one_wins():
    log = Log()
    assert log.do(_set(1, 0), "a") == ConfigurationChanged(1)
    conflict = log.do(_set(2, 0), "b")
    assert isinstance(conflict, ConfigurationConflict)
    assert conflict.winner.changes == _set(1, 0).changes


def test_a_resend_gets_the_first_answer_after_others_and_a_snapshot():
    log = Log()
    first = log.do(_set(1, 0), "a")
    log.do(_set(2, 1), "b")
    log.restart()
    assert log.do(_set(1, 0), "a") == first
    assert log.machine.state.configuration.revision == 2


def test_the_command_table_forgets_the_oldest_only():
    table = CommandTable()
    for number in range(MOST_COMMANDS + 5):
        table.remember(f"c{number}", Refused(""))
    assert table.find("c4") is None
    assert table.find("c5") is not None


def test_a_key_is_granted_once_and_freed_only_when_not_sent():
    log = Log()
    first, second, _ = CLAIMANTS
    assert log.do(ClaimKey("k", "f", first)) == KeyClaimed()
    assert isinstance(log.do(ClaimKey("k", "f", second)), KeyHeld)
    assert isinstance(log.do(ClaimKey("k", "other", second)), Refused)
    assert isinstance(log.do(SettleKey("k", second, None)), Refused)
    log.do(SettleKey("k", first, None))
    assert log.do(ClaimKey("k", "f", second)) == KeyClaimed()
    log.do(LoseClaimants([second.boot]))
    held = log.do(ClaimKey("k", "f", first))
    assert held.record.state is KeyState.UNKNOWN
    log.do(SettleKey("k", second, KeyState.RAN, b"answer"))
    assert log.do(ClaimKey("k", "f", first)).record.state is KeyState.RAN
    assert log.do(ClaimKey("k", "f", first)).record.answer == b"answer"
    later = log.do(ClaimKey("k2", "f", first), at_ms=2 + KEY_LIFETIME_MS)
    assert later == KeyClaimed()
    assert list(log.machine.state.keys.records) == ["k2"]


def test_the_oldest_answers_give_way_but_their_requests_are_not_run_again():
    log = Log()
    owner = CLAIMANTS[0]
    for number in range(3):
        log.do(ClaimKey(f"k{number}", "f", owner))
        answer = bytes(MOST_ANSWER_BYTES // 2)
        log.do(SettleKey(f"k{number}", owner, KeyState.RAN, answer))
    log.restart()
    first, *others = (log.do(ClaimKey(f"k{n}", "f", owner)).record for n in range(3))
    assert (first.state, first.answer) == (KeyState.RAN, None)
    assert all(each.answer is not None for each in others)


class CommandRules(RuleBasedStateMachine):
    """Operators that race with changes and resend them after any delay."""

    sent = Bundle("sent")

    @initialize()
    def start(self) -> None:
        self.log = Log()
        self.first_answers: dict = {}
        self.accepted: list = []

    @rule(target=sent, behind=st.integers(0, 2), value=st.integers(0, 100))
    def send(self, behind: int, value: int):
        command_id = f"c{len(self.first_answers)}"
        revision = self.log.machine.state.configuration.revision
        command = _set(value, max(0, revision - behind))
        answer = self.log.do(command, command_id)
        self.first_answers[command_id] = answer
        if isinstance(answer, ConfigurationChanged):
            assert command.based_on == revision
            self.accepted.append(value)
        return command_id, command

    @rule(earlier=sent)
    def resend(self, earlier) -> None:
        command_id, command = earlier
        assert self.log.do(command, command_id) == self.first_answers[command_id]

    @rule()
    def restart(self) -> None:
        self.log.restart()

    @invariant()
    def each_accepted_change_counts_once(self) -> None:
        if not hasattr(self, "log"):
            return
        table = self.log.machine.state.configuration
        assert table.revision == len(self.accepted)
        if self.accepted:
            share = table.document["services"]["s"]["long_share"]
            assert share == self.accepted[-1] / 100


TestCommandRules = CommandRules.TestCase


def _log_with_a_sealed_batch() -> Log:
    """Return a log of a job whose batch 1 of two groups is sealed at version 0."""
    log = Log()
    log.do(CreateJob(JOB))
    log.do(SubmitStep("job", 0, ["a", "b"], "boot"))
    (batch_job,) = log.machine.state.batch_jobs.batch_jobs.values()
    made = [
        ItemResult.completed(item.item, b"text", [0]) for item in batch_job.spec.items
    ]
    log.do(CommitItems(batch_job.spec.batch_job, made))
    assert isinstance(log.do(PullBatch("job", 1)), BatchSealed)
    return log


def test_a_batch_that_was_counted_stays_so_when_its_samples_grow_too_old():
    log = _log_with_a_sealed_batch()
    log.do(SetTrainerVersion("job", 2))
    assert not isinstance(log.do(PullBatch("job", 2)), Refused)
    job = log.machine.state.ledger.jobs["job"]
    assert (job.acknowledged, job.delivered, job.wasted) == (1, 4, 0)


def test_a_batch_that_is_asked_for_again_is_made_anew_when_it_is_too_old():
    log = _log_with_a_sealed_batch()
    log.do(SetTrainerVersion("job", 2))
    assert log.do(PullBatch("job", 1)) == BatchNotReady(0, 2)
    job = log.machine.state.ledger.jobs["job"]
    assert (job.acknowledged, job.wasted) == (0, 4)


class LedgerRules(RuleBasedStateMachine):
    """A trainer that counts each slot once, whatever is late or comes twice."""

    samples = Bundle("samples")

    @initialize()
    def create(self) -> None:
        self.log = Log()
        self.log.do(CreateJob(JOB))
        self.version = 0
        self.step = 0
        self.text = 0
        self.counted: set = set()
        self.held = None
        self.next_batch = 1

    @rule(groups=st.integers(1, 4))
    def submit(self, groups: int) -> None:
        prompts = [f"prompt {each}" for each in range(groups)]
        assert self.log.do(SubmitStep("job", self.step, prompts, "boot")) == Done()
        again = self.log.do(SubmitStep("job", self.step, prompts, "boot"))
        assert again == Done()
        other = self.log.do(SubmitStep("job", self.step, ["other"], "boot"))
        assert isinstance(other, Refused)
        self.step += 1

    @rule(target=samples, number=st.integers(0, 30), old=st.integers(0, 2))
    def generate(self, number: int, old: int):
        """Make two samples of a step that is open now; they are committed later."""
        batch_jobs = list(self._batch_jobs().values())
        if not batch_jobs:
            return None
        batch_job = batch_jobs[number % len(batch_jobs)]
        first = number % len(batch_job.spec.items)
        made = []
        for item in batch_job.spec.items[first : first + 2]:
            self.text += 1
            version = max(0, self.version - old)
            text = b"text %d" % self.text
            made.append(ItemResult.completed(item.item, text, [version]))
        return CommitItems(batch_job.spec.batch_job, made)

    def _batch_jobs(self) -> dict:
        return self.log.machine.state.batch_jobs.batch_jobs

    @rule(commit=samples)
    def commit(self, commit: CommitItems | None) -> None:
        """Commit, also late and again; a filled slot stays as it is."""
        if commit is None:
            return
        before = self._results(commit)
        committed = self.log.do(commit)
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
        return {each.item: each for each in results}

    @rule()
    def raise_version(self) -> None:
        self.version += 1
        self.log.do(SetTrainerVersion("job", self.version))
        for batch_job in self._batch_jobs().values():
            least = self.version - JOB.staleness_bound
            assert batch_job.spec.least_version == max(0, least)
            assert batch_job.listed == {each.item for each in batch_job.results}

    @rule(is_answer_lost=st.booleans())
    def pull(self, is_answer_lost: bool) -> None:
        """Pull a batch; the answer may be lost, then the same is asked again."""
        result = self.log.do(PullBatch("job", self.next_batch))
        # A batch that was counted stays so, also when its samples grow too old.
        assert not isinstance(result, Refused)
        if not isinstance(result, BatchSealed):
            return
        for sample in result.samples:
            assert self.version - min(sample.result.versions) <= JOB.staleness_bound
            assert sample.result.content
        again = self.log.do(PullBatch("job", self.next_batch))
        assert again.batch == result.batch and again.samples == result.samples
        if self.held is not None and self.held.batch.seal == result.batch.seal:
            assert self.held.samples == result.samples
        self.held = result
        if is_answer_lost:
            return
        step = result.batch.step
        slots = {(step, each.group, each.position) for each in result.samples}
        assert len(slots) == len(result.samples)
        assert not slots & self.counted
        self.counted |= slots
        self.next_batch += 1

    @rule()
    def restart(self) -> None:
        self.log.restart()

    @invariant()
    def nothing_is_left_out(self) -> None:
        if not hasattr(self, "log"):
            return
        job = self.log.machine.state.ledger.jobs["job"]
        for number in range(self.step):
            if number not in job.steps:
                assert any(slot[0] == number for slot in self.counted)
        kept = {step.batch_job for step in job.steps.values()}
        assert kept == set(self._batch_jobs())


TestLedgerRules = LedgerRules.TestCase
