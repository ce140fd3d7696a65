"""Interface of a replica for its parts: leadership, elections and RPC handlers."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from ..connection.rpc import RpcChannel
from ..events import EventLog
from ..exceptions import DiskFullError
from ..ids import Address, FormatVersion, LogIndex, Term
from ..release import Release
from ..settings.control import ControlSettings
from .membership import MembershipGoal
from .records import JoinRequest, Snapshot
from .storage import Storage


class LeadershipInterface(Protocol):
    """Interface of ``leadership.Leadership``: a term that a replica leads."""

    @property
    def term(self) -> Term:
        """The term that is led."""

    async def add_learner(self, request: JoinRequest) -> None:
        """Add a replica as a learner; see ``leadership.Leadership.add_learner``."""


class ReplicaInterface(Protocol):
    """Interface of ``replica.Replica``: its state and the operations on it.

    The parts of a replica use it, so that they do not import ``replica``.
    """

    @property
    def settings(self) -> ControlSettings:
        """Settings of the instance."""

    @property
    def release(self) -> Release:
        """Release that this replica runs."""

    @property
    def storage(self) -> Storage:
        """Storage of this replica: identity, snapshot and log entries."""

    @property
    def events(self) -> EventLog:
        """Records changes of role, term and membership."""

    @property
    def lock(self) -> asyncio.Lock:
        """Held while the term, the vote or the log entries change."""

    @property
    def term(self) -> Term:
        """Latest term that this replica knows."""

    @property
    def commit_index(self) -> LogIndex:
        """Index of the last log entry that is known to be committed."""

    @property
    def applied_index(self) -> LogIndex:
        """Index of the last log entry that the state machine has applied."""

    @property
    def leadership(self) -> LeadershipInterface | None:
        """The term that this replica leads, or None when it does not lead."""

    @property
    def leader_address(self) -> Address:
        """Address of the leader, or an empty string without contact to one."""

    @property
    def membership_goal(self) -> MembershipGoal:
        """Membership that changes of members work towards."""

    @property
    def format_goal(self) -> FormatVersion:
        """Newest format that the log may use when all members read it."""

    def channel(self, address: Address) -> RpcChannel:
        """Return the channel to the replica at an address; open it on first use."""

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Start a task of the replica; an error in it is passed to ``fail``."""

    def fail(self, error: BaseException | None) -> None:
        """Record a fatal error, after which the process must stop."""

    def record_full_disk(self, error: DiskFullError) -> None:
        """Record as an event that a write found no room."""

    def has_leader_contact(self) -> bool:
        """Return whether a leader was in contact within the election timeout."""

    def postpone_election(self) -> None:
        """Set a new election deadline, one to two election timeouts ahead."""

    def record_leader_contact(self, leader_address: Address) -> None:
        """Record contact with the leader of the current term and postpone elections."""

    def become_leader(self, term: Term, election_started_at: float) -> None:
        """Start the leadership of a term whose votes were requested at a time."""

    def step_down(self, reason: str) -> None:
        """End the leadership if this replica leads; the reason goes to the event."""

    def advance_commit_index(self, index: LogIndex) -> None:
        """Advance the commit index and apply the log entries up to it."""

    async def wait_for_log_room(self) -> None:
        """Return when the log has room for more entries, as far as memory goes."""

    async def adopt_term(self, term: Term) -> None:
        """Adopt a later term without a vote in it; the caller holds the lock."""

    async def observe_term(self, term: Term) -> None:
        """Adopt the term of an answer if it is later; takes the lock."""

    async def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot; the caller holds the lock."""

    async def install_received_snapshot(self, head: Snapshot) -> None:
        """Replace the state by the received file; the caller holds the lock."""
