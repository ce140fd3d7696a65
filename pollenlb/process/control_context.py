"""State that the services of a control process share."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field

from ..clock import deadline_in, now, remaining_time_s
from ..durable.batch_job_commands import (
    AssignBatchJobs,
    CommitItems,
    EndBatchJob,
    SubmitBatchJob,
)
from ..durable.commands import AnyCommand, AnyResult, Proposal
from ..durable.format_commands import AdoptFormat
from ..durable.leadership import Leadership
from ..durable.leases import LeaseTable
from ..durable.replica import Replica
from ..durable.state_machine import ControlStateMachine, encode_proposal
from ..events import EventLog
from ..exceptions import NotLeaderError
from ..ids import BackendServerName, BatchJobId, CommandId, Term
from ..settings.control import ControlSettings
from .limit_table import LimitTable
from .usage_collector import UsageCollector

# Versions of what a leader keeps in memory start at a multiple of the term, so that
# those of a new leader are higher than those of earlier ones.
VERSIONS_PER_TERM = 1_000_000

# Share of the election timeout after the last contact with a quorum in which no
# other replica can have been elected; during it the leader may serve reads
# without asking the quorum again.
_READ_LEASE_RATIO = 0.8


class LeaderState:
    """State that a leader keeps in memory for one term only.

    Parameters
    ----------
    settings : ControlSettings
        Length of leases in seconds, and greatest drift of the clocks.
    leadership : Leadership
        Leadership of the term.

    Attributes
    ----------
    leases : LeaseTable
        Leases granted in the term.
    announced_at : dict
        Monotonic time of the last announcement in seconds, by backend server.
    limits : LimitTable
        Limits of backend servers, and the shares of the entries.
    usage : UsageCollector
        Counts of requests that entry processes reported.
    """

    def __init__(self, settings: ControlSettings, leadership: Leadership) -> None:
        self.leadership = leadership
        self.leases = LeaseTable(
            settings.lease_s, settings.clock_drift, leadership.election_started_at
        )
        self.announced_at: dict[BackendServerName, float] = {}
        self.usage = UsageCollector()
        self.limits = LimitTable(
            self.leases.earlier_leases_expire_at, self.term * VERSIONS_PER_TERM
        )

    @property
    def term(self) -> Term:
        """Raft term that is led."""
        return self.leadership.term


@dataclass
class ControlContext:
    """Parts of a control process, passed to its services as one object.

    Attributes
    ----------
    machine : ControlStateMachine
        Replicated state machine.
    replica : Replica
        Replica of the log.
    views_changed : asyncio.Condition
        Notified when state of which entries keep a view has changed.
    """

    settings: ControlSettings
    events: EventLog
    machine: ControlStateMachine
    replica: Replica
    views_changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    _leader_state: LeaderState | None = None
    _result_waiters: dict[BatchJobId, set[asyncio.Future]] = field(
        default_factory=lambda: defaultdict(set)
    )
    _submitted_at: dict[BatchJobId, float] = field(default_factory=dict)

    @property
    def leader_state(self) -> LeaderState:
        """State of the term that this replica leads; new in each term.

        Raises
        ------
        NotLeaderError
            When this replica does not lead.
        """
        leadership = self.replica.current_leadership()
        if (
            self._leader_state is None
            or self._leader_state.leadership is not leadership
        ):
            self._leader_state = LeaderState(self.settings, leadership)
        return self._leader_state

    def record_call(self, server: BackendServerName) -> None:
        """Record a call to a backend server, which counts towards its limit."""
        if self._leader_state is not None:
            self._leader_state.limits.record_call(server)

    def check_read_lease(self) -> None:
        """Return if reads of the local state are linearizable without a quorum.

        That holds as long as the last contact with a quorum is so recent that
        no other replica can have been elected and committed anything.

        Raises
        ------
        NotLeaderError
            When this replica does not lead, has not committed a log entry of its
            term yet, or may have been replaced as leader.
        """
        leadership = self.replica.current_leadership()
        safe_s = _READ_LEASE_RATIO * self.settings.election_timeout_s
        if (
            not leadership.is_ready
            or now() > leadership.last_quorum_contact_at + safe_s
        ):
            raise NotLeaderError(self.replica.leader_address)

    async def execute(
        self, command: AnyCommand, command_id: CommandId | None = None
    ) -> AnyResult:
        """Commit a command to the replicated log and return its result.

        A command with an identifier that was used before is not carried out
        again; the result is that of the first time.

        Raises
        ------
        NotLeaderError
            When this replica does not lead; the command has no effect.
        UnreadableFormatError
            When a member could not read the command; it has no effect.
        CommitInDoubtError
            When it is not known whether the command is committed; it may still
            take effect.
        """
        self.replica.current_leadership().check_readable(command.needed_format)
        await self._adopt_format()
        result = await self._propose(command, command_id)
        if isinstance(command, SubmitBatchJob):
            self._submitted_at.setdefault(command.spec.batch_job, now())
        if isinstance(command, (CommitItems, EndBatchJob)):
            self._wake_result_waiters(command.batch_job)
        if _changes_views(command, self.machine):
            async with self.views_changed:
                self.views_changed.notify_all()
        return result

    async def _adopt_format(self) -> None:
        """Let the command that follows have its effect in the format of the log."""
        newest = self.replica.storage.hard_state.format
        if newest > self.machine.state.format:
            await self._propose(AdoptFormat(newest), None)
            self.events.record("log.format_adopted", format=newest)

    async def _propose(
        self, command: AnyCommand, command_id: CommandId | None
    ) -> AnyResult:
        proposal = Proposal(command_id, time.time_ns() // 1_000_000, command)
        return await self.replica.propose(encode_proposal(proposal))

    async def wait_for_results(self, batch_job: BatchJobId, wait_s: float) -> None:
        """Return when a batch job gets results or ends, or after ``wait_s`` seconds."""
        deadline = deadline_in(wait_s)
        future = asyncio.get_running_loop().create_future()
        self._result_waiters[batch_job].add(future)
        try:
            async with asyncio.timeout(remaining_time_s(deadline)):
                await future
        except TimeoutError:
            return
        finally:
            self._result_waiters[batch_job].discard(future)
            if not self._result_waiters[batch_job]:
                del self._result_waiters[batch_job]

    def batch_job_age_s(self, batch_job: BatchJobId, at_ms: int) -> float:
        """Return the seconds since a batch job was submitted at ``at_ms``.

        The wall clock may jump, so it is used only for a batch job whose
        submission time this process has not recorded, such as one that was
        submitted before it led.
        """
        submitted_at = self._submitted_at.get(batch_job)
        if submitted_at is None:
            wall_s = max(0.0, time.time() - at_ms / 1000)
            submitted_at = self._submitted_at.setdefault(batch_job, now() - wall_s)
        return now() - submitted_at

    def forget_submission_times(self) -> None:
        """Forget the submission times of batch jobs that are no longer stored."""
        stored = self.machine.state.batch_jobs.batch_jobs
        for name in [name for name in self._submitted_at if name not in stored]:
            del self._submitted_at[name]

    def _wake_result_waiters(self, batch_job: BatchJobId) -> None:
        for future in self._result_waiters.get(batch_job, ()):
            if not future.done():
                future.set_result(None)


def _changes_views(command: AnyCommand, machine: ControlStateMachine) -> bool:
    if isinstance(command, CommitItems):
        batch_job = machine.state.batch_jobs.batch_jobs.get(command.batch_job)
        return batch_job is None or not batch_job.is_open
    return isinstance(
        command, (SubmitBatchJob, EndBatchJob, AssignBatchJobs)
    ) or machine.changes_views(command)
