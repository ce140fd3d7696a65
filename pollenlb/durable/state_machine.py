"""The replicated state, changed by the commands of the log."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

import msgspec

from ..ids import InstanceName, LogIndex
from .batch_job_commands import (
    AssignBatchJobs,
    CommitItems,
    EndBatchJob,
    ItemsCommitted,
    SubmitBatchJob,
)
from .batch_jobs import BatchJobTable
from .command_base import Done
from .commands import AnyResult, Proposal
from .configuration import ConfigurationTable
from .configuration_commands import (
    AnnounceServer,
    ChangeConfiguration,
    ForgetServer,
    NoteModelVersion,
    NoteOrder,
    ReleaseVersion,
    ReplaceConfiguration,
    RetireInstance,
    WithdrawServer,
)
from .crash_commands import EndTrial, Pardon, ReportCrash, StartTrial
from .deduplication import CommandTable
from .directory import Directory
from .job_commands import CreateJob, PullBatch, SetTrainerVersion, SubmitStep
from .key_commands import ClaimKey, LoseClaimants, SettleKey
from .keys import KeyTable
from .ledger import Ledger
from .quarantine import Quarantine


class State(msgspec.Struct):
    """All that outlives every process."""

    configuration: ConfigurationTable = msgspec.field(
        default_factory=ConfigurationTable
    )
    directory: Directory = msgspec.field(default_factory=Directory)
    keys: KeyTable = msgspec.field(default_factory=KeyTable)
    ledger: Ledger = msgspec.field(default_factory=Ledger)
    quarantine: Quarantine = msgspec.field(default_factory=Quarantine)
    batch_jobs: BatchJobTable = msgspec.field(default_factory=BatchJobTable)
    retiring: set[InstanceName] = set()
    commands: CommandTable = msgspec.field(default_factory=CommandTable)


class Position(msgspec.Struct, frozen=True):
    """Where and when a command stands in the log.

    Attributes
    ----------
    at_ms : int
        Wall time of the leader, milliseconds since the epoch.
    """

    index: LogIndex
    at_ms: int


_encode = msgspec.msgpack.Encoder().encode
_decode_proposal = msgspec.msgpack.Decoder(Proposal).decode
_decode_state = msgspec.msgpack.Decoder(State).decode


class ControlStateMachine:
    """Applies the commands of the log to the state.

    Satisfies ``pollenlb.durable.replica.StateMachine``.
    """

    def __init__(self) -> None:
        self._state = State()
        self._versions: dict[str, int] = {}

    @property
    def state(self) -> State:
        """The state after the last applied command."""
        return self._state

    def table_version(self, table: str) -> int:
        """Return the log index of the last command that touched a table."""
        return self._versions.get(table, 0)

    def changes_views(self, command: Any) -> bool:
        """Whether a command changes a table that entries keep a view of."""
        return bool(self._touched(command))

    def apply(self, index: LogIndex, payload: bytes) -> AnyResult:
        """Carry out one committed command."""
        proposal = _decode_proposal(payload)
        first = self._state.commands.find(proposal.command_id)
        if first is not None:
            return first
        position = Position(index, proposal.at_ms)
        result = apply_command(proposal.command, self._state, position)
        self._state.commands.remember(proposal.command_id, result)
        for table in self._touched(proposal.command):
            self._versions[table] = index
        return result

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return _encode((self._versions, _encode(self._state)))

    def restore(self, state: bytes) -> None:
        """Replace the whole state."""
        versions, encoded = msgspec.msgpack.decode(
            state, type=tuple[dict[str, int], bytes]
        )
        self._versions = versions
        self._state = _decode_state(encoded)

    def _touched(self, command: Any) -> tuple[str, ...]:
        if isinstance(command, CommitItems):
            batch_job = self._state.batch_jobs.batch_jobs.get(command.batch_job)
            is_step = batch_job is not None and batch_job.spec.sample is not None
            return ("ledger",) if is_step else ()
        return _TOUCHED.get(type(command), ())


def encode_proposal(proposal: Proposal) -> bytes:
    """Return a command in the form it has in the log."""
    return _encode(proposal)


@singledispatch
def apply_command(command: Any, state: State, position: Position) -> AnyResult:
    """Change the state by one command.

    Parameters
    ----------
    command : Command
        What to do.
    state : State
        Changed in place.
    position : Position
        Where the command stands in the log.
    """
    raise TypeError(f"unknown command {type(command).__name__}")


@apply_command.register
def _(command: ChangeConfiguration, state: State, position: Position) -> AnyResult:
    return state.configuration.change(command, position.at_ms)


@apply_command.register
def _(command: ReplaceConfiguration, state: State, position: Position) -> AnyResult:
    return state.configuration.replace(command)


@apply_command.register
def _(command: WithdrawServer, state: State, position: Position) -> AnyResult:
    return state.directory.withdraw(command)


@apply_command.register
def _(command: NoteModelVersion, state: State, position: Position) -> AnyResult:
    return state.directory.note_version(command)


@apply_command.register
def _(command: NoteOrder, state: State, position: Position) -> AnyResult:
    return state.directory.note_order(command, position.at_ms)


@apply_command.register
def _(command: RetireInstance, state: State, position: Position) -> AnyResult:
    state.retiring.add(command.instance)
    return Done()


@apply_command.register
def _(command: SubmitBatchJob, state: State, position: Position) -> AnyResult:
    return state.batch_jobs.submit(command, position.index, position.at_ms)


@apply_command.register
def _(command: CommitItems, state: State, position: Position) -> AnyResult:
    result = state.batch_jobs.commit(command, position.index)
    if isinstance(result, ItemsCommitted):
        sample = state.batch_jobs.batch_jobs[command.batch_job].spec.sample
        if sample is not None:
            state.ledger.note_commit(sample.job, result)
    return result


@apply_command.register
def _(command: EndBatchJob, state: State, position: Position) -> AnyResult:
    return state.batch_jobs.end(command, position.index)


@apply_command.register
def _(command: AssignBatchJobs, state: State, position: Position) -> AnyResult:
    return state.batch_jobs.assign(command, position.index)


@apply_command.register
def _(command: AnnounceServer, state: State, position: Position) -> AnyResult:
    return state.directory.announce(command)


@apply_command.register
def _(command: ForgetServer, state: State, position: Position) -> AnyResult:
    return state.directory.forget(command)


@apply_command.register
def _(command: ReleaseVersion, state: State, position: Position) -> AnyResult:
    return state.directory.release(command)


@apply_command.register
def _(command: ClaimKey, state: State, position: Position) -> AnyResult:
    return state.keys.claim(command, position.at_ms)


@apply_command.register
def _(command: SettleKey, state: State, position: Position) -> AnyResult:
    return state.keys.settle(command)


@apply_command.register
def _(command: CreateJob, state: State, position: Position) -> AnyResult:
    return state.ledger.create(command)


@apply_command.register
def _(command: SetTrainerVersion, state: State, position: Position) -> AnyResult:
    return state.ledger.set_trainer_version(command, state.batch_jobs, position.index)


@apply_command.register
def _(command: SubmitStep, state: State, position: Position) -> AnyResult:
    return state.ledger.submit(
        command, state.batch_jobs, position.index, position.at_ms
    )


@apply_command.register
def _(command: PullBatch, state: State, position: Position) -> AnyResult:
    return state.ledger.pull(command, state.batch_jobs, position.index)


@apply_command.register
def _(command: LoseClaimants, state: State, position: Position) -> AnyResult:
    boots = set(command.boots)
    state.keys.lose_claimants(boots)
    state.quarantine.lose_claimants(boots)
    return Done()


@apply_command.register
def _(command: ReportCrash, state: State, position: Position) -> AnyResult:
    return state.quarantine.report(command, position.at_ms)


@apply_command.register
def _(command: StartTrial, state: State, position: Position) -> AnyResult:
    return state.quarantine.start_trial(command)


@apply_command.register
def _(command: EndTrial, state: State, position: Position) -> AnyResult:
    return state.quarantine.end_trial(command)


@apply_command.register
def _(command: Pardon, state: State, position: Position) -> AnyResult:
    return state.quarantine.pardon(command)


_TOUCHED: dict[type, tuple[str, ...]] = {
    ChangeConfiguration: ("configuration",),
    ReplaceConfiguration: ("configuration",),
    AnnounceServer: ("directory",),
    WithdrawServer: ("directory",),
    NoteModelVersion: ("directory",),
    ForgetServer: ("directory",),
    ReleaseVersion: ("directory",),
    CreateJob: ("ledger",),
    SetTrainerVersion: ("ledger",),
    SubmitStep: ("ledger",),
    PullBatch: ("ledger",),
    ReportCrash: ("quarantine",),
    EndTrial: ("quarantine",),
    Pardon: ("quarantine",),
}
