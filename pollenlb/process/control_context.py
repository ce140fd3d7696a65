"""What the services of a control process share."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field

from ..clock import deadline_in, now, remaining
from ..durable.batch_job_commands import (
    AssignBatchJobs,
    CommitItems,
    EndBatchJob,
    SubmitBatchJob,
)
from ..durable.commands import AnyCommand, AnyResult, Proposal
from ..durable.leadership import Leadership
from ..durable.leases import LeaseTable
from ..durable.replica import Replica
from ..durable.state_machine import ControlStateMachine, encode_proposal
from ..events import EventLog
from ..exceptions import NotLeaderError
from ..ids import BackendServerName, BatchJobId, CommandId, Term
from ..settings.control import ControlSettings

# Share of the election timeout in which no other replica can have been elected.
_SAFE_SHARE = 0.8


class LeaderState:
    """What a leader keeps in memory for one term.

    Parameters
    ----------
    settings : ControlSettings
        Length of leases and their drift.
    leadership : Leadership
        The term.
    """

    def __init__(self, settings: ControlSettings, leadership: Leadership) -> None:
        self.leadership = leadership
        self.leases = LeaseTable(
            settings.lease_s, settings.clock_drift, leadership.election_started_at
        )
        self.announced_at: dict[BackendServerName, float] = {}

    @property
    def term(self) -> Term:
        """The term."""
        return self.leadership.term


@dataclass
class ControlContext:
    """Parts of a control process, passed whole to its services.

    Attributes
    ----------
    views_changed : asyncio.Condition
        Notified when something that entries keep a view of has changed.
    """

    settings: ControlSettings
    events: EventLog
    machine: ControlStateMachine
    replica: Replica
    views_changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    _duties: LeaderState | None = None
    _readers: dict[BatchJobId, set[asyncio.Future]] = field(
        default_factory=lambda: defaultdict(set)
    )
    _handed_in_at: dict[BatchJobId, float] = field(default_factory=dict)

    @property
    def leader_state(self) -> LeaderState:
        """What is kept for the term that this replica leads.

        Raises
        ------
        NotLeaderError
            When it does not lead.
        """
        leadership = self.replica.current_leadership()
        if self._duties is None or self._duties.leadership is not leadership:
            self._duties = LeaderState(self.settings, leadership)
        return self._duties

    def check_read_lease(self) -> None:
        """Return if no other replica can have committed anything here unknown.

        Raises
        ------
        NotLeaderError
            When this replica does not lead, or may not lead any more.
        """
        leadership = self.replica.current_leadership()
        safe_s = _SAFE_SHARE * self.settings.election_timeout_s
        if (
            not leadership.is_ready
            or now() > leadership.last_quorum_contact_at + safe_s
        ):
            raise NotLeaderError(self.replica.leader_address)

    async def execute(
        self, command: AnyCommand, command_id: CommandId | None = None
    ) -> AnyResult:
        """Carry out a command through the log.

        Raises
        ------
        NotLeaderError
            Nothing was done.
        CommitInDoubtError
            The command may take effect yet.
        """
        proposal = Proposal(command_id, time.time_ns() // 1_000_000, command)
        result = await self.replica.propose(encode_proposal(proposal))
        if isinstance(command, SubmitBatchJob):
            self._handed_in_at.setdefault(command.spec.batch_job, now())
        if isinstance(command, (CommitItems, EndBatchJob)):
            self._wake_readers(command.batch_job)
        if _changes_views(command, self.machine):
            async with self.views_changed:
                self.views_changed.notify_all()
        return result

    async def wait_for_results(self, batch_job: BatchJobId, wait_s: float) -> None:
        """Return when results of a batch job were entered, or after some time."""
        deadline = deadline_in(wait_s)
        future = asyncio.get_running_loop().create_future()
        self._readers[batch_job].add(future)
        try:
            async with asyncio.timeout(remaining(deadline)):
                await future
        except TimeoutError:
            return
        finally:
            self._readers[batch_job].discard(future)
            if not self._readers[batch_job]:
                del self._readers[batch_job]

    def batch_job_age_s(self, batch_job: BatchJobId, at_ms: int) -> float:
        """Return the seconds since a batch job was handed in.

        The wall clock is asked only for a job that came before this process
        led, since it may jump.
        """
        known = self._handed_in_at.get(batch_job)
        if known is None:
            wall_s = max(0.0, time.time() - at_ms / 1000)
            known = self._handed_in_at.setdefault(batch_job, now() - wall_s)
        return now() - known

    def forget_submission_times(self) -> None:
        """Forget the batch jobs that are no longer kept."""
        kept = self.machine.state.batch_jobs.batch_jobs
        for name in [each for each in self._handed_in_at if each not in kept]:
            del self._handed_in_at[name]

    def _wake_readers(self, batch_job: BatchJobId) -> None:
        for future in self._readers.get(batch_job, ()):
            if not future.done():
                future.set_result(None)


def _changes_views(command: AnyCommand, machine: ControlStateMachine) -> bool:
    if isinstance(command, CommitItems):
        batch_job = machine.state.batch_jobs.batch_jobs.get(command.batch_job)
        return batch_job is None or not batch_job.is_open
    return isinstance(
        command, (SubmitBatchJob, EndBatchJob, AssignBatchJobs)
    ) or machine.changes_views(command)
