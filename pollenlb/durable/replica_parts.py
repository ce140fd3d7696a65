"""What the parts of a replica may ask of it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from ..connection.rpc import RpcChannel
from ..events import EventLog
from ..ids import Address, LogIndex, Term
from ..settings.control import ControlSettings
from .membership import MembershipGoal
from .records import JoinRequest, Snapshot
from .storage import Storage


class LedTerm(Protocol):
    """A term that a replica leads."""

    @property
    def term(self) -> Term:
        """The term."""

    async def admit(self, request: JoinRequest) -> None:
        """Let a replica join as a learner."""


class ReplicaParts(Protocol):
    """State of a replica, and what changes it; satisfied by ``replica.Replica``."""

    @property
    def settings(self) -> ControlSettings:
        """Settings of the instance."""

    @property
    def storage(self) -> Storage:
        """The replica's own log."""

    @property
    def events(self) -> EventLog:
        """Where changes of state are written."""

    @property
    def lock(self) -> asyncio.Lock:
        """Held while term, vote or entries change."""

    @property
    def term(self) -> Term:
        """Latest term the replica knows."""

    @property
    def commit_index(self) -> LogIndex:
        """Index up to which entries are known to be committed."""

    @property
    def leadership(self) -> LedTerm | None:
        """The term that this replica leads, or None."""

    @property
    def leader_address(self) -> Address:
        """Address of the replica believed to lead, or an empty string."""

    @property
    def membership_goal(self) -> MembershipGoal:
        """What the members of the log should come to."""

    def channel(self, address: Address) -> RpcChannel:
        """Return the connection to another replica."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Run a task for as long as the replica; its errors end the replica."""

    def fail(self, error: BaseException | None) -> None:
        """End the replica with an error after which the process must stop."""

    def is_leader_heard(self) -> bool:
        """Whether a leader was in contact within the election timeout."""

    def postpone_election(self) -> None:
        """Set a new random election deadline."""

    def follow(self, leader_address: Address) -> None:
        """Take note of a message from the leader of the present term."""

    def lead(self, term: Term, asked_at: float) -> None:
        """Start to lead a term whose votes were asked for at a time."""

    def step_down(self, reason: str) -> None:
        """Stop leading, if this replica leads."""

    def commit_through(self, index: LogIndex) -> None:
        """Apply the entries up to a committed index."""

    async def adopt_term(self, term: Term) -> None:
        """Move to a later term without a vote; the caller holds the lock."""

    async def observe_term(self, term: Term) -> None:
        """Move to a later term that an answer told of."""

    async def receive_snapshot(self, snapshot: Snapshot) -> None:
        """Put a snapshot in place of the state; the caller holds the lock."""
