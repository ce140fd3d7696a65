"""State machine behind the replicated log: applies committed commands to the tables."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator
from functools import singledispatch
from typing import Any

import msgspec

from ..ids import BatchJobId, FormatVersion, InstanceName, LogIndex
from .batch_job_commands import (
    AssignBatchJobs,
    CommitItems,
    EndBatchJob,
    ItemsCommitted,
    SaveOutputs,
    SubmitBatchJob,
)
from .batch_jobs import BatchJob, BatchJobTable
from .command_base import Done
from .commands import AnyResult, Proposal
from .configuration import ConfigurationTable
from .configuration_commands import (
    AbandonLoad,
    AnnounceServer,
    AssignEngines,
    ChangeConfiguration,
    ConfigurationConflict,
    ForgetServer,
    NoteModelVersion,
    NoteOrder,
    ReleaseVersion,
    ReplaceConfiguration,
    RetireInstance,
    WithdrawServer,
)
from .crash_commands import EndTrial, Pardon, ReportCrash, StartTrial
from .deduplication import CommandResultTable
from .directory import Directory
from .duties import DutyTable
from .duty_commands import (
    CloseUsage,
    EndReplicaOrder,
    OpenUsage,
    OrderReplicas,
    RecordUsage,
    SealUsage,
    SkipUsage,
    TakeDuties,
)
from .format_commands import AdoptFormat
from .job_commands import CreateJob, PullBatch, SetTrainerVersion, SubmitStep
from .key_commands import ClaimKey, LoseClaimants, SettleKey
from .keys import KeyTable
from .ledger import Ledger
from .quarantine import Quarantine


class State(msgspec.Struct):
    """The replicated state: everything that must survive the loss of any process.

    Attributes
    ----------
    configuration : ConfigurationTable
        Cluster configuration and its revisions.
    directory : Directory
        Announced backend servers, released weight versions and orders.
    keys : KeyTable
        Keys of requests that must run at most once.
    ledger : Ledger
        Rollout jobs.
    quarantine : Quarantine
        Requests that are suspected to crash backend servers.
    batch_jobs : BatchJobTable
        Batch jobs and their results.
    retiring : set of InstanceName
        Control instances that an operator has retired.
    commands : CommandResultTable
        Results of recent commands, for deduplication.
    duties : DutyTable
        Calls to the infrastructure that one control instance makes.
    format : FormatVersion
        Format that determines the effect of further commands.
    """

    configuration: ConfigurationTable = msgspec.field(
        default_factory=ConfigurationTable
    )
    directory: Directory = msgspec.field(default_factory=Directory)
    keys: KeyTable = msgspec.field(default_factory=KeyTable)
    ledger: Ledger = msgspec.field(default_factory=Ledger)
    quarantine: Quarantine = msgspec.field(default_factory=Quarantine)
    batch_jobs: BatchJobTable = msgspec.field(default_factory=BatchJobTable)
    retiring: set[InstanceName] = set()
    commands: CommandResultTable = msgspec.field(default_factory=CommandResultTable)
    duties: DutyTable = msgspec.field(default_factory=DutyTable)
    format: FormatVersion = FormatVersion(0)


class LogPosition(msgspec.Struct, frozen=True):
    """Log index of a command and the time at which it was proposed.

    Attributes
    ----------
    index : LogIndex
        Index of the command's log entry.
    at_ms : int
        Wall time of the leader, milliseconds since the epoch.
    """

    index: LogIndex
    at_ms: int


_encode = msgspec.msgpack.Encoder().encode
_decode_proposal = msgspec.msgpack.Decoder(Proposal).decode
_decode_state = msgspec.msgpack.Decoder(State).decode
_decode_head = msgspec.msgpack.Decoder(tuple[dict[str, int], bytes]).decode
_decode_batch_job = msgspec.msgpack.Decoder(tuple[BatchJobId, BatchJob]).decode


class ControlStateMachine:
    """Applies the commands of the replicated log to the state, in log order.

    Satisfies ``pollenlb.durable.replica.StateMachine``.
    """

    def __init__(self) -> None:
        self._state = State()
        self._table_versions: dict[str, int] = {}

    @property
    def state(self) -> State:
        """State after the last applied command."""
        return self._state

    def table_version(self, table: str) -> int:
        """Return the log index of the last command that may have changed a table.

        Parameters
        ----------
        table : str
            "configuration", "directory", "ledger", "quarantine" or "loads"; only
            the tables that entry processes hold a view of have a version. 0
            before the first such command.
        """
        return self._table_versions.get(table, 0)

    def changes_views(self, command: Any) -> bool:
        """Return whether a command may change a table that entry processes view."""
        return bool(self._changed_tables(command))

    def apply(self, index: LogIndex, payload: bytes) -> AnyResult:
        """Apply one committed command and return its result.

        A command whose id was applied before changes nothing and gets the result
        of the first time.

        Parameters
        ----------
        index : LogIndex
            Index of the command's log entry.
        payload : bytes
            Encoded ``Proposal``.
        """
        proposal = _decode_proposal(payload)
        first_result = self._state.commands.find(proposal.command_id)
        if first_result is not None:
            return first_result
        position = LogPosition(index, proposal.at_ms)
        result = apply_command(proposal.command, self._state, position)
        self._state.commands.store(proposal.command_id, result)
        for table in self._changed_tables(proposal.command):
            self._table_versions[table] = index
        return result

    def snapshot(self) -> Iterable[bytes]:
        """Return the complete state at the time of the call, in encoded pieces.

        The first piece has all tables but the batch jobs. Each batch job is a piece
        that is encoded when it is taken: together they are nearly all of the state.
        """
        table = self._state.batch_jobs
        rest = msgspec.structs.replace(
            self._state, batch_jobs=BatchJobTable(changed_at=table.changed_at)
        )
        first = _encode((self._table_versions, _encode(rest)))
        batch_jobs = [(name, job.capture()) for name, job in table.batch_jobs.items()]
        return itertools.chain([first], _encode_each(batch_jobs))

    def restore(self, pieces: Iterable[bytes]) -> None:
        """Replace the complete state by that of a snapshot.

        Parameters
        ----------
        pieces : iterable of bytes
            What ``snapshot`` returned; in earlier releases a single piece.
        """
        # What is replaced is not needed any more, and as large as the new state.
        self._state = State()
        remaining = iter(pieces)
        self._table_versions, encoded = _decode_head(next(remaining))
        self._state = _decode_state(encoded)
        batch_jobs = self._state.batch_jobs.batch_jobs
        for piece in remaining:
            name, batch_job = _decode_batch_job(piece)
            batch_jobs[name] = batch_job

    def _changed_tables(self, command: Any) -> tuple[str, ...]:
        """Return the tables with a view that a command may change."""
        if isinstance(command, CommitItems):
            batch_job = self._state.batch_jobs.batch_jobs.get(command.batch_job)
            is_step = batch_job is not None and batch_job.spec.sample is not None
            return ("ledger",) if is_step else ()
        if isinstance(command, NoteOrder):
            return ("loads",) if command.model else ()
        return _CHANGED_TABLES.get(type(command), ())


def _encode_each(batch_jobs: list[tuple[BatchJobId, BatchJob]]) -> Iterator[bytes]:
    for batch_job in batch_jobs:
        yield _encode(batch_job)


def encode_proposal(proposal: Proposal) -> bytes:
    """Return a proposed command in the form that it has in the replicated log."""
    return _encode(proposal)


@singledispatch
def apply_command(command: Any, state: State, position: LogPosition) -> AnyResult:
    """Change the state by one command and return the command's result.

    Parameters
    ----------
    command : Command
        The command; its type selects the implementation.
    state : State
        Changed in place.
    position : LogPosition
        Log index and wall time of the command.

    Raises
    ------
    TypeError
        When no implementation is registered for the type of the command.
    """
    raise TypeError(f"cannot apply command of unknown type {type(command).__name__}")


@apply_command.register
def _(command: ChangeConfiguration, state: State, position: LogPosition) -> AnyResult:
    return state.configuration.change(command, position.at_ms)


@apply_command.register
def _(command: ReplaceConfiguration, state: State, position: LogPosition) -> AnyResult:
    return state.configuration.replace(command)


@apply_command.register
def _(command: WithdrawServer, state: State, position: LogPosition) -> AnyResult:
    return state.directory.withdraw(command)


@apply_command.register
def _(command: NoteModelVersion, state: State, position: LogPosition) -> AnyResult:
    return state.directory.record_version(command)


@apply_command.register
def _(command: NoteOrder, state: State, position: LogPosition) -> AnyResult:
    return state.directory.record_order(command, position.at_ms)


@apply_command.register
def _(command: AbandonLoad, state: State, position: LogPosition) -> AnyResult:
    return state.directory.abandon_load(command)


@apply_command.register
def _(command: AssignEngines, state: State, position: LogPosition) -> AnyResult:
    return state.directory.assign_engines(command)


@apply_command.register
def _(command: RetireInstance, state: State, position: LogPosition) -> AnyResult:
    state.retiring.add(command.instance)
    return Done()


@apply_command.register
def _(command: SubmitBatchJob, state: State, position: LogPosition) -> AnyResult:
    current = state.configuration.revision
    is_known = command.spec.batch_job in state.batch_jobs.batch_jobs
    if not is_known and 0 <= command.revision < current:
        return ConfigurationConflict(current, None)
    return state.batch_jobs.submit(
        command, position.index, position.at_ms, state.format
    )


@apply_command.register
def _(command: CommitItems, state: State, position: LogPosition) -> AnyResult:
    result = state.batch_jobs.commit(command, position.index, state.format)
    if isinstance(result, ItemsCommitted):
        sample = state.batch_jobs.batch_jobs[command.batch_job].spec.sample
        if sample is not None:
            state.ledger.record_commit(sample.job, result)
    return result


@apply_command.register
def _(command: SaveOutputs, state: State, position: LogPosition) -> AnyResult:
    return state.batch_jobs.save_outputs(command)


@apply_command.register
def _(command: EndBatchJob, state: State, position: LogPosition) -> AnyResult:
    return state.batch_jobs.end(command, position.index)


@apply_command.register
def _(command: AssignBatchJobs, state: State, position: LogPosition) -> AnyResult:
    return state.batch_jobs.assign(command, position.index)


@apply_command.register
def _(command: AnnounceServer, state: State, position: LogPosition) -> AnyResult:
    return state.directory.announce(command)


@apply_command.register
def _(command: ForgetServer, state: State, position: LogPosition) -> AnyResult:
    return state.directory.forget(command)


@apply_command.register
def _(command: ReleaseVersion, state: State, position: LogPosition) -> AnyResult:
    return state.directory.release(command)


@apply_command.register
def _(command: ClaimKey, state: State, position: LogPosition) -> AnyResult:
    return state.keys.claim(command, position.at_ms)


@apply_command.register
def _(command: SettleKey, state: State, position: LogPosition) -> AnyResult:
    return state.keys.settle(command)


@apply_command.register
def _(command: CreateJob, state: State, position: LogPosition) -> AnyResult:
    return state.ledger.create(command)


@apply_command.register
def _(command: SetTrainerVersion, state: State, position: LogPosition) -> AnyResult:
    return state.ledger.set_trainer_version(command, state.batch_jobs, position.index)


@apply_command.register
def _(command: SubmitStep, state: State, position: LogPosition) -> AnyResult:
    return state.ledger.submit(
        command, state.batch_jobs, position.index, position.at_ms, state.format
    )


@apply_command.register
def _(command: PullBatch, state: State, position: LogPosition) -> AnyResult:
    return state.ledger.pull(command, state.batch_jobs, position.index)


@apply_command.register
def _(command: LoseClaimants, state: State, position: LogPosition) -> AnyResult:
    boots = set(command.boots)
    state.keys.mark_claims_unknown(boots)
    state.quarantine.abandon_trials(boots)
    return Done()


@apply_command.register
def _(command: ReportCrash, state: State, position: LogPosition) -> AnyResult:
    return state.quarantine.report_crash(command, position.at_ms)


@apply_command.register
def _(command: StartTrial, state: State, position: LogPosition) -> AnyResult:
    return state.quarantine.start_trial(command)


@apply_command.register
def _(command: EndTrial, state: State, position: LogPosition) -> AnyResult:
    return state.quarantine.end_trial(command)


@apply_command.register
def _(command: Pardon, state: State, position: LogPosition) -> AnyResult:
    return state.quarantine.pardon(command)


@apply_command.register
def _(command: TakeDuties, state: State, position: LogPosition) -> AnyResult:
    return state.duties.take(command)


@apply_command.register
def _(command: OpenUsage, state: State, position: LogPosition) -> AnyResult:
    return state.duties.open(command)


@apply_command.register
def _(command: RecordUsage, state: State, position: LogPosition) -> AnyResult:
    return state.duties.record(command)


@apply_command.register
def _(command: SealUsage, state: State, position: LogPosition) -> AnyResult:
    return state.duties.seal(command)


@apply_command.register
def _(command: SkipUsage, state: State, position: LogPosition) -> AnyResult:
    return state.duties.skip(command)


@apply_command.register
def _(command: CloseUsage, state: State, position: LogPosition) -> AnyResult:
    return state.duties.close(command)


@apply_command.register
def _(command: OrderReplicas, state: State, position: LogPosition) -> AnyResult:
    return state.duties.order_replicas(command, position.at_ms)


@apply_command.register
def _(command: EndReplicaOrder, state: State, position: LogPosition) -> AnyResult:
    return state.duties.end_replica_order(command)


@apply_command.register
def _(command: AdoptFormat, state: State, position: LogPosition) -> AnyResult:
    state.format = max(state.format, command.format)
    return Done()


# Tables that each type of command may change, of those that entry processes hold a
# view of. ``CommitItems`` and ``NoteOrder`` are missing, since theirs depend on more
# than the type.
_CHANGED_TABLES: dict[type, tuple[str, ...]] = {
    ChangeConfiguration: ("configuration",),
    ReplaceConfiguration: ("configuration",),
    AnnounceServer: ("directory",),
    WithdrawServer: ("directory",),
    NoteModelVersion: ("directory",),
    ForgetServer: ("directory",),
    AbandonLoad: ("loads",),
    AssignEngines: ("loads",),
    ReleaseVersion: ("directory",),
    CreateJob: ("ledger",),
    SetTrainerVersion: ("ledger",),
    SubmitStep: ("ledger",),
    PullBatch: ("ledger",),
    ReportCrash: ("quarantine",),
    EndTrial: ("quarantine",),
    Pardon: ("quarantine",),
}
