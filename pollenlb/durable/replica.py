"""One replica of the replicated log."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Collection, Coroutine
from enum import Enum
from typing import Any, Protocol

import msgspec
from result import Err, Ok

from ..clock import Deadline, deadline_in, now, sleep_until
from ..connection.rpc import RpcChannel, RpcServer
from ..events import EventLog
from ..exceptions import NotLeaderError
from ..ids import (
    Address,
    FailureDomain,
    InstanceName,
    LogIndex,
    ReplicaId,
    Term,
    new_id,
)
from ..settings.control import ControlSettings
from .answers import Answers
from .election import hold_election
from .leadership import Leadership
from .membership import MembershipGoal
from .records import (
    JOIN,
    EntryKind,
    JoinAnswer,
    JoinRequest,
    LogEntry,
    Member,
    Snapshot,
)
from .storage import Storage, first_hard_state

_JOIN_TIMEOUT_S = 2.0
_FIRST_WAIT_SHARE = 0.25  # of the election timeout, the least wait after a start


class Role(Enum):
    """What a replica does at present."""

    UNFORMATTED = "unformatted"
    FOLLOWER = "follower"
    LEADER = "leader"


class StateMachine(Protocol):
    """What a user of the log keeps up to date by its entries."""

    def apply(self, index: LogIndex, payload: bytes) -> Any:
        """Carry out one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, state: bytes) -> None:
        """Replace the whole state."""


class Replica:
    """Stores, votes and applies; leads when it is elected.

    Parameters
    ----------
    settings : ControlSettings
        Addresses, timeouts and the snapshot interval.
    storage : Storage
        The replica's own log, already open.
    machine : StateMachine
        Gets every committed command once, in order.
    events : EventLog
        Gets changes of role, term and membership.
    rng : random.Random, optional
        Source of election delays.
    retiring : callable, optional
        Returns the instances that are to be taken away.
    """

    def __init__(
        self,
        settings: ControlSettings,
        storage: Storage,
        machine: StateMachine,
        events: EventLog,
        rng: random.Random | None = None,
        get_retiring_instances: Callable[[], Collection[InstanceName]] = frozenset,
    ) -> None:
        self._retiring = get_retiring_instances
        self._settings = settings
        self._storage = storage
        self._machine = machine
        self._events = events
        self._rng = rng or random.Random()
        self._lock = asyncio.Lock()
        self._leadership: Leadership | None = None
        self._leader_address = Address("")
        self._leader_heard_at = -settings.election_timeout_s
        self._commit_index = LogIndex(0)
        self._applied_index = LogIndex(0)
        self._election_deadline = Deadline(0.0)
        self._channels: dict[Address, RpcChannel] = {}
        self._is_saving_snapshot = False
        self._tasks: set[asyncio.Task] = set()
        self._failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def settings(self) -> ControlSettings:
        """Settings of the instance."""
        return self._settings

    @property
    def storage(self) -> Storage:
        """The replica's own log."""
        return self._storage

    @property
    def events(self) -> EventLog:
        """Where changes of state are written."""
        return self._events

    @property
    def lock(self) -> asyncio.Lock:
        """Held while term, vote or entries change."""
        return self._lock

    @property
    def rng(self) -> random.Random:
        """Source of election delays."""
        return self._rng

    @property
    def role(self) -> Role:
        """What the replica does at present."""
        if not self._storage.is_formatted:
            return Role.UNFORMATTED
        return Role.LEADER if self._leadership else Role.FOLLOWER

    @property
    def term(self) -> Term:
        """Latest term the replica knows."""
        return self._storage.hard_state.term

    @property
    def commit_index(self) -> LogIndex:
        """Index up to which entries are known to be committed."""
        return self._commit_index

    @property
    def leadership(self) -> Leadership | None:
        """The term that this replica leads, or None."""
        return self._leadership

    @property
    def leader_address(self) -> Address:
        """Address of the replica believed to lead, or an empty string."""
        return self._leader_address

    @property
    def is_voter(self) -> bool:
        """Whether this replica's own identity may vote."""
        own = self._storage.hard_state.replica
        return any(
            member.replica == own and member.is_voter
            for member in self._storage.members
        )

    @property
    def membership_goal(self) -> MembershipGoal:
        """What the members of the log should come to."""
        return MembershipGoal(
            voter_count=self._settings.voter_count,
            retiring=frozenset(self._retiring()),
            replace_after_s=self._settings.replace_after_s,
        )

    @property
    def fatal_error(self) -> asyncio.Future[None]:
        """Ends with the error after which the process must stop."""
        return self._failure

    def offer(self, server: RpcServer) -> None:
        """Answer the other replicas' calls on a server."""
        Answers(self).offer(server)

    def start(self) -> None:
        """Restore the state and begin to take part."""
        self._restore()
        self._await_leader()
        self.spawn(self._take_part())

    async def stop(self) -> None:
        """Stop all tasks and close storage and connections."""
        self.step_down("the process stops")
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for channel in self._channels.values():
            await channel.close()
        self._storage.close()

    async def propose(self, payload: bytes) -> Any:
        """Append a command and return its result once it is applied.

        Raises
        ------
        NotLeaderError
            Nothing was appended.
        CommitInDoubtError
            The command was appended and may yet take effect.
        """
        return await self.current_leadership().propose(EntryKind.COMMAND, payload)

    async def confirm_leadership(self) -> None:
        """Return once the applied state holds all that was committed before.

        Raises
        ------
        NotLeaderError
            When this replica cannot reach a quorum as leader.
        """
        await self.current_leadership().confirm()

    def current_leadership(self) -> Leadership:
        """Return the term that this replica leads.

        Raises
        ------
        NotLeaderError
            When it does not lead.
        """
        if self._leadership is None:
            raise NotLeaderError(self._leader_address)
        return self._leadership

    def channel(self, address: Address) -> RpcChannel:
        """Return the connection to another replica."""
        if address not in self._channels:
            self._channels[address] = RpcChannel(address, self._events)
        return self._channels[address]

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Run a task for as long as the replica; its errors end the replica."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def postpone_election(self) -> None:
        """Set a new random election deadline."""
        timeout_s = self._settings.election_timeout_s
        self._election_deadline = deadline_in(timeout_s * self._rng.uniform(1.0, 2.0))

    def _await_leader(self) -> None:
        # A leader that lives is heard within a few heartbeats after a start;
        # after the loss of all replicas no time passes until one stands.
        timeout_s = self._settings.election_timeout_s
        share = self._rng.uniform(_FIRST_WAIT_SHARE, 3 * _FIRST_WAIT_SHARE)
        self._election_deadline = deadline_in(timeout_s * share)

    def is_leader_heard(self) -> bool:
        """Whether a leader was in contact within the election timeout."""
        heard_at = self._leader_heard_at
        if self._leadership is not None:
            heard_at = self._leadership.last_quorum_contact_at
        return now() < heard_at + self._settings.election_timeout_s

    async def adopt_term(self, term: Term) -> None:
        """Move to a later term without a vote; the caller holds the lock."""
        if term <= self.term:
            return
        self.step_down(f"term {term} was seen")
        state = self._storage.hard_state
        later = msgspec.structs.replace(state, term=term, voted_for=None)
        await self._storage.save_hard_state(later)

    def follow(self, leader_address: Address) -> None:
        """Take note of a message from the leader of the present term."""
        if self._leader_address != leader_address:
            self._leader_address = leader_address
            self._events.record(
                "leader.followed", leader=leader_address, term=self.term
            )
        self._leader_heard_at = now()
        self.postpone_election()

    async def receive_snapshot(self, snapshot: Snapshot) -> None:
        """Put a snapshot in place of the state; the caller holds the lock."""
        if snapshot.index <= self._commit_index:
            return
        await self._storage.save_snapshot(snapshot)
        self._restore()
        self._events.record("snapshot.received", index=snapshot.index)

    async def observe_term(self, term: Term) -> None:
        """Move to a later term that an answer told of."""
        if term > self.term:
            async with self._lock:
                await self.adopt_term(term)

    def lead(self, term: Term, asked_at: float) -> None:
        """Start to lead a term whose votes were asked for at a time."""
        self._leader_address = Address(self._settings.listen)
        self._leadership = Leadership(self, term, asked_at)
        self._events.record("leader.elected", term=term)
        self._leadership.start()

    def step_down(self, reason: str) -> None:
        """Stop leading, if this replica leads."""
        if self._leadership is None:
            return
        leadership = self._leadership
        self._leadership = None
        self._leader_address = Address("")
        self._events.record("leader.ended", term=leadership.term, reason=reason)
        leadership.end()
        self.postpone_election()

    def commit_through(self, index: LogIndex) -> None:
        """Apply the entries up to a committed index."""
        self._commit_index = max(self._commit_index, index)
        while self._applied_index < self._commit_index:
            following = LogIndex(self._applied_index + 1)
            entry = self._storage.entries_from(following, 1)[0]
            self._apply(entry)
        covered = self._applied_index - self._storage.snapshot.index
        is_long = covered >= self._settings.snapshot_every
        is_large = self._storage.log_bytes > self._settings.snapshot_bytes
        if covered and (is_long or is_large) and not self._is_saving_snapshot:
            self._start_snapshot()

    def _restore(self) -> None:
        snapshot = self._storage.snapshot
        if snapshot.index:
            self._machine.restore(snapshot.state)
        self._commit_index = snapshot.index
        self._applied_index = snapshot.index

    def _apply(self, entry: LogEntry) -> None:
        result = None
        if entry.kind is EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.payload)
        self._applied_index = entry.index
        if self._leadership is not None:
            self._leadership.resolve(entry, result)

    def _start_snapshot(self) -> None:
        self._is_saving_snapshot = True
        index = self._applied_index
        term = self._storage.term_at(index)
        assert term is not None
        members = self._storage.members_at(index)
        snapshot = Snapshot(term, index, members, self._machine.snapshot())
        self.spawn(self._save_snapshot(snapshot))

    async def _save_snapshot(self, snapshot: Snapshot) -> None:
        try:
            async with self._lock:
                await self._storage.save_snapshot(snapshot)
        finally:
            self._is_saving_snapshot = False

    async def _take_part(self) -> None:
        if not self._storage.is_formatted:
            await self._join()
        self._events.record(
            "replica.started",
            replica=self._storage.hard_state.replica,
            term=self.term,
            last_index=self._storage.last_index,
        )
        while True:
            await sleep_until(self._election_deadline)
            if now() < self._election_deadline:
                continue
            self.postpone_election()
            if self._leadership is None and self.is_voter:
                await hold_election(self)

    async def _join(self) -> None:
        request = JoinRequest(
            ReplicaId(new_id(self._settings.name)),
            InstanceName(self._settings.name),
            Address(self._settings.listen),
            FailureDomain(self._settings.failure_domain),
        )
        self._events.record("replica.joins", replica=request.replica)
        asked: deque[Address] = deque(self._settings.seed_addresses)
        while True:
            address = asked.popleft()
            answer = await self._ask_to_join(address, request)
            if answer is not None and answer.cluster is not None:
                state = first_hard_state(request.replica, answer.cluster)
                await self._storage.format(state, [])
                return
            if answer is not None and answer.leader not in ("", address):
                asked.appendleft(answer.leader)
            if not asked:
                asked.extend(self._settings.seed_addresses)
                await sleep_until(deadline_in(self._settings.election_timeout_s / 2))

    async def _ask_to_join(
        self, address: Address, request: JoinRequest
    ) -> JoinAnswer | None:
        if address == self._settings.listen:
            return None
        match await self.channel(address).call(JOIN, request, _JOIN_TIMEOUT_S):
            case Ok(answer):
                return answer
            case Err(_):
                return None
        return None

    def _task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.fail(task.exception())

    def fail(self, error: BaseException | None) -> None:
        """End the replica with an error after which the process must stop."""
        if self._failure.done() or error is None:
            return
        self._events.record("replica.failed", reason=str(error))
        self._failure.set_exception(error)


def first_entries(members: list[Member]) -> list[LogEntry]:
    """Return the log of a replica of a new cluster."""
    payload = msgspec.msgpack.encode(members)
    return [LogEntry(Term(0), LogIndex(1), EntryKind.MEMBERS, payload)]
