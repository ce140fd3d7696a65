"""One replica of the replicated log."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine, Iterable
from enum import Enum
from typing import Any, Protocol

import msgspec
from result import Err, Ok

from ..clock import Deadline, deadline_in, now, remaining_time_s, sleep_until
from ..connection.leader_search import LeaderSearch
from ..connection.rpc import RpcChannel, RpcServer
from ..events import EventLog
from ..exceptions import DiskFullError, NotLeaderError
from ..ids import (
    Address,
    FailureDomain,
    FormatVersion,
    InstanceName,
    LogIndex,
    ReplicaId,
    Term,
    new_id,
)
from ..memory import peak_memory_mb
from ..release import THIS_RELEASE, Release
from ..settings.control import ControlSettings
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
from .rpc_handlers import RpcHandlers
from .storage import Storage, first_hard_state
from .uninterrupted import uninterrupted

# Longest slice of log entries that is applied at once, and the pause after it: an
# answer to another replica takes several turns of the event loop.
_APPLY_SLICE_S = 0.004
_JOIN_TIMEOUT_S = 2.0
_JOIN_RETRY_DELAY_S = 0.05
_FULL_DISK_RETRY_S = 1.0
# Size of the log, as a multiple of ``snapshot_bytes``, above which a leader appends
# nothing until the snapshot that is being written is stored: the log is in memory.
_MAX_LOG_RATIO = 2
# Shortest delay of the first election after a start, as a ratio of the election
# timeout; the longest is three times as much.
_MIN_STARTUP_DELAY_RATIO = 0.25


class Role(Enum):
    """Current role of a replica; a candidate counts as a follower.

    Attributes
    ----------
    UNFORMATTED
        The data folder holds no identity yet: the replica has to join a cluster.
    """

    UNFORMATTED = "unformatted"
    FOLLOWER = "follower"
    LEADER = "leader"


class StateMachine(Protocol):
    """State that the committed log entries of a replica are applied to."""

    def apply(self, index: LogIndex, payload: bytes) -> Any:
        """Apply one committed command and return its result.

        Parameters
        ----------
        index : LogIndex
            Index of the log entry.
        payload : bytes
            The command, as it was proposed.
        """

    def snapshot(self) -> Iterable[bytes]:
        """Return the complete state at the time of the call, in serialized pieces.

        The pieces are taken one after the other in another thread, while further
        commands are applied.
        """

    def restore(self, pieces: Iterable[bytes]) -> None:
        """Replace the complete state by one that ``snapshot`` returned."""


class Replica:
    """A Raft replica: stores log entries, votes, applies, and leads when elected.

    Parameters
    ----------
    settings : ControlSettings
        Addresses, timeouts and the snapshot interval.
    storage : Storage
        Storage of the replica, already open.
    machine : StateMachine
        Gets every committed command once, in log order. A restarted replica
        restores its snapshot and applies the commands after it again.
    events : EventLog
        Records changes of role, term and membership.
    rng : random.Random, optional
        Source of random election timeouts.
    get_retiring_instances : callable, optional
        Returns the instances that are being retired.
    release : Release
        Release that the replica reports.
    get_format_goal : callable, optional
        Returns the newest format that the log may use when all members read it; by
        default there is no such limit.
    """

    def __init__(
        self,
        settings: ControlSettings,
        storage: Storage,
        machine: StateMachine,
        events: EventLog,
        rng: random.Random | None = None,
        get_retiring_instances: Callable[[], Collection[InstanceName]] = frozenset,
        release: Release = THIS_RELEASE,
        get_format_goal: Callable[[], FormatVersion] | None = None,
    ) -> None:
        self._release = release
        self._get_format_goal = get_format_goal or (lambda: release.reads)
        self._get_retiring_instances = get_retiring_instances
        self._settings = settings
        self._storage = storage
        self._machine = machine
        self._events = events
        self._rng = rng or random.Random()
        self._lock = asyncio.Lock()
        self._leadership: Leadership | None = None
        self._leader_address = Address("")
        self._last_leader_contact_at = -settings.election_timeout_s
        self._commit_index = LogIndex(0)
        self._applied_index = LogIndex(0)
        self._election_deadline = Deadline(0.0)
        self._channels: dict[Address, RpcChannel] = {}
        self._is_saving_snapshot = False
        self._is_snapshot_expected = False
        self._has_snapshot_failed = False
        self._snapshot_ended = asyncio.Event()
        self._full_disk_recorded_until = Deadline(0.0)
        self._apply_task: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()
        self._fatal_error: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def settings(self) -> ControlSettings:
        """Settings of the instance."""
        return self._settings

    @property
    def release(self) -> Release:
        """Release that this replica runs."""
        return self._release

    @property
    def storage(self) -> Storage:
        """Storage of this replica: identity, snapshot and log entries."""
        return self._storage

    @property
    def events(self) -> EventLog:
        """Records changes of role, term and membership."""
        return self._events

    @property
    def lock(self) -> asyncio.Lock:
        """Held while the term, the vote or the log entries change."""
        return self._lock

    @property
    def rng(self) -> random.Random:
        """Source of random election timeouts."""
        return self._rng

    @property
    def role(self) -> Role:
        """Current role."""
        if not self._storage.is_formatted:
            return Role.UNFORMATTED
        return Role.LEADER if self._leadership else Role.FOLLOWER

    @property
    def term(self) -> Term:
        """Latest term that this replica knows."""
        return self._storage.hard_state.term

    @property
    def commit_index(self) -> LogIndex:
        """Index of the last log entry that is known to be committed."""
        return self._commit_index

    @property
    def applied_index(self) -> LogIndex:
        """Index of the last log entry that the state machine has applied."""
        return self._applied_index

    @property
    def leadership(self) -> Leadership | None:
        """The term that this replica leads, or None when it does not lead."""
        return self._leadership

    @property
    def leader_address(self) -> Address:
        """Address of the leader, or an empty string without contact to one."""
        if self._leadership is None and not self.has_leader_contact():
            return Address("")
        return self._leader_address

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in its own member list."""
        own = self._storage.hard_state.replica
        return any(
            member.replica == own and member.is_voter
            for member in self._storage.members
        )

    @property
    def membership_goal(self) -> MembershipGoal:
        """Membership that changes of members work towards."""
        return MembershipGoal(
            voter_count=self._settings.voter_count,
            retiring_instances=frozenset(self._get_retiring_instances()),
            replace_after_s=self._settings.replace_after_s,
        )

    @property
    def format_goal(self) -> FormatVersion:
        """Newest format that the log may use when all members read it."""
        return self._get_format_goal()

    @property
    def fatal_error(self) -> asyncio.Future[None]:
        """Future that gets the error after which the process must stop."""
        return self._fatal_error

    def offer(self, server: RpcServer) -> None:
        """Register the handlers for calls of other replicas on a server."""
        RpcHandlers(self).register(server)

    def start(self) -> None:
        """Restore the state from the snapshot and start the replica's task."""
        self._restore()
        self._set_startup_election_deadline()
        self.spawn(self._run())

    async def stop(self) -> None:
        """Step down, cancel all tasks and close the connections and the storage."""
        self.step_down("the process stops")
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for channel in self._channels.values():
            await channel.close()
        self._storage.close()

    async def propose(self, payload: bytes) -> Any:
        """Append a command to the replicated log and return its result.

        Parameters
        ----------
        payload : bytes
            The command, as the state machine gets it.

        Returns
        -------
        object
            What the state machine returned for the command.

        Raises
        ------
        NotLeaderError
            When this replica does not lead; the command was not appended.
        CommitInDoubtError
            When the leadership ended after the command was appended; it may
            still be committed.
        """
        return await self.current_leadership().propose(EntryKind.COMMAND, payload)

    async def confirm_leadership(self) -> None:
        """Return once a quorum has confirmed that this replica still leads.

        The applied state then holds everything that was committed before the
        call, so that a read from it is linearizable.

        Raises
        ------
        NotLeaderError
            When this replica does not lead, or no quorum confirms it within the
            election timeout.
        """
        await self.current_leadership().confirm()

    def current_leadership(self) -> Leadership:
        """Return the term that this replica leads.

        Raises
        ------
        NotLeaderError
            When this replica does not lead.
        """
        if self._leadership is None:
            raise NotLeaderError(self.leader_address)
        return self._leadership

    def channel(self, address: Address) -> RpcChannel:
        """Return the channel to the replica at an address; open it on first use."""
        if address not in self._channels:
            self._channels[address] = RpcChannel(address, self._events)
        return self._channels[address]

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Start a task that ``stop`` cancels; an error in it is passed to ``fail``."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def postpone_election(self) -> None:
        """Set a new election deadline, one to two election timeouts ahead."""
        timeout_s = self._settings.election_timeout_s
        self._election_deadline = deadline_in(timeout_s * self._rng.uniform(1.0, 2.0))

    def _set_startup_election_deadline(self) -> None:
        # A running leader makes contact within a few heartbeats after a start. A
        # delay below the election timeout shortens the time without a leader when
        # all replicas have failed and start again.
        timeout_s = self._settings.election_timeout_s
        ratio = self._rng.uniform(
            _MIN_STARTUP_DELAY_RATIO, 3 * _MIN_STARTUP_DELAY_RATIO
        )
        self._election_deadline = deadline_in(timeout_s * ratio)

    def has_leader_contact(self) -> bool:
        """Return whether a leader was in contact within the election timeout.

        A replica that leads counts its own last contact with a quorum.
        """
        contact_at = self._last_leader_contact_at
        if self._leadership is not None:
            contact_at = self._leadership.last_quorum_contact_at
        return now() < contact_at + self._settings.election_timeout_s

    async def wait_for_log_room(self) -> None:
        """Return when the log has room for more entries, as far as memory goes.

        It has none while it is larger than twice ``snapshot_bytes`` and a snapshot is
        being written. A snapshot that finds no room on the disk is not waited for.
        """
        max_bytes = _MAX_LOG_RATIO * self._settings.snapshot_bytes
        while self._is_snapshot_expected and self._storage.log_bytes > max_bytes:
            await self._snapshot_ended.wait()

    async def adopt_term(self, term: Term) -> None:
        """Adopt a later term without a vote in it, and step down.

        The caller holds the lock. A term that is not later has no effect.
        """
        if term <= self.term:
            return
        self.step_down(f"another replica is in the later term {term}")
        state = self._storage.hard_state
        new_state = msgspec.structs.replace(state, term=term, voted_for=None)
        await self._storage.save_hard_state(new_state)

    def record_leader_contact(self, leader_address: Address) -> None:
        """Record contact with the leader of the current term and postpone elections."""
        if self._leader_address != leader_address:
            self._leader_address = leader_address
            self._events.record(
                "leader.followed", leader=leader_address, term=self.term
            )
        self._last_leader_contact_at = now()
        self.postpone_election()

    @uninterrupted
    async def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot from the leader; the caller holds the lock.

        A snapshot that is not ahead of the commit index has no effect.
        """
        if snapshot.index <= self._commit_index:
            return
        await self._storage.save_snapshot(snapshot)
        self._restore()
        self._events.record("snapshot.received", index=snapshot.index)

    @uninterrupted
    async def install_received_snapshot(self, head: Snapshot) -> None:
        """Replace the state by the received file; the caller holds the lock.

        Parameters
        ----------
        head : Snapshot
            The snapshot in the file, without its state; ahead of the commit index.
        """
        await self._storage.adopt_snapshot(head, is_received=True)
        self._restore()
        self._events.record("snapshot.received", index=head.index)

    async def observe_term(self, term: Term) -> None:
        """Adopt the term of an answer if it is later; takes the lock."""
        if term > self.term:
            async with self._lock:
                try:
                    await self.adopt_term(term)
                except DiskFullError as error:
                    self.record_full_disk(error)

    def become_leader(self, term: Term, election_started_at: float) -> None:
        """Start the leadership of a term; the caller holds the lock.

        Parameters
        ----------
        term : Term
            The term that this replica won.
        election_started_at : float
            Monotonic time in seconds just before its votes were requested.
        """
        self._leader_address = Address(self._settings.listen)
        self._leadership = Leadership(self, term, election_started_at)
        self._events.record("leader.elected", term=term)
        self._leadership.start()

    def step_down(self, reason: str) -> None:
        """End the leadership if this replica leads; the reason goes to the event."""
        if self._leadership is None:
            return
        leadership = self._leadership
        self._leadership = None
        self._leader_address = Address("")
        self._events.record("leader.ended", term=leadership.term, reason=reason)
        leadership.end()
        self.postpone_election()

    def advance_commit_index(self, index: LogIndex) -> None:
        """Advance the commit index and apply the log entries up to it.

        After a restart these are all entries since the snapshot. They are applied
        in slices, so that this replica answers the others meanwhile: a leader that
        does not would lose its quorum before it has served anyone.

        Starts a snapshot when the log entries since the last one reach
        ``snapshot_every`` in number or exceed ``snapshot_bytes`` in size.
        """
        self._commit_index = max(self._commit_index, index)
        if self._apply_task is not None:
            return
        self._apply_slice()
        if self._applied_index < self._commit_index:
            self._apply_task = self.spawn(self._apply_rest())
            return
        self._snapshot_if_due()

    async def _apply_rest(self) -> None:
        started_at, first_index = now(), self._applied_index + 1
        try:
            while self._applied_index < self._commit_index:
                await asyncio.sleep(_APPLY_SLICE_S)
                self._apply_slice()
        finally:
            self._apply_task = None
        self._events.record(
            "log.applied",
            entries=self._applied_index - first_index + 1,
            seconds=round(now() - started_at, 3),
        )
        self._snapshot_if_due()

    def _apply_slice(self) -> None:
        """Apply committed log entries for as long as a slice may take."""
        ends_at = deadline_in(_APPLY_SLICE_S)
        while self._applied_index < self._commit_index:
            next_index = LogIndex(self._applied_index + 1)
            self._apply(self._storage.entries_from(next_index, 1)[0])
            if not remaining_time_s(ends_at):
                return

    def _snapshot_if_due(self) -> None:
        entry_count = self._applied_index - self._storage.snapshot.index
        is_long = entry_count >= self._settings.snapshot_every
        is_large = self._storage.log_bytes > self._settings.snapshot_bytes
        if entry_count and (is_long or is_large) and not self._is_saving_snapshot:
            self._start_snapshot()

    def _restore(self) -> None:
        snapshot = self._storage.snapshot
        if snapshot.index:
            started_at = now()
            self._machine.restore(self._storage.snapshot_pieces())
            self._record_snapshot("snapshot.restored", snapshot, started_at)
        self._commit_index = snapshot.index
        self._applied_index = snapshot.index

    def _apply(self, entry: LogEntry) -> None:
        result = None
        if entry.kind is EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.payload)
        self._applied_index = entry.index
        if self._leadership is not None:
            self._leadership.complete_proposal(entry, result)

    def _start_snapshot(self) -> None:
        self._is_saving_snapshot = True
        self._is_snapshot_expected = not self._has_snapshot_failed
        self._snapshot_ended.clear()
        index = self._applied_index
        term = self._storage.term_at(index)
        assert term is not None
        members = self._storage.members_at(index)
        head = Snapshot(term, index, members, b"")
        self.spawn(self._save_snapshot(head, self._machine.snapshot()))

    async def _save_snapshot(self, head: Snapshot, pieces: Iterable[bytes]) -> None:
        started_at = now()
        try:
            await self._storage.write_snapshot(head, pieces)
            async with self._lock:
                await self._storage.adopt_snapshot(head)
            self._record_snapshot("snapshot.saved", head, started_at)
            self._has_snapshot_failed = False
        except DiskFullError as error:
            self.record_full_disk(error)
            self._has_snapshot_failed = True
            self._end_snapshot_wait()
            # A snapshot is due again at once, and would be serialized in vain.
            await sleep_until(deadline_in(_FULL_DISK_RETRY_S))
        finally:
            self._is_saving_snapshot = False
            self._end_snapshot_wait()
        # The log may have grown beyond the limit again, and no entry may follow.
        if self._apply_task is None and not self._has_snapshot_failed:
            self._snapshot_if_due()

    def _end_snapshot_wait(self) -> None:
        self._is_snapshot_expected = False
        self._snapshot_ended.set()

    def _record_snapshot(
        self, kind: str, snapshot: Snapshot, started_at: float
    ) -> None:
        self._events.record(
            kind,
            index=snapshot.index,
            bytes=self._storage.snapshot_path.stat().st_size,
            seconds=round(now() - started_at, 3),
            peak_memory_mb=peak_memory_mb(),
        )

    def record_full_disk(self, error: DiskFullError) -> None:
        """Record as an event that a write found no room, at most once a second."""
        if now() >= self._full_disk_recorded_until:
            self._full_disk_recorded_until = deadline_in(_FULL_DISK_RETRY_S)
            self._events.record("disk.full", reason=str(error))

    async def _run(self) -> None:
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
                try:
                    await hold_election(self)
                except DiskFullError as error:
                    self.record_full_disk(error)

    async def _join(self) -> None:
        request = JoinRequest(
            ReplicaId(new_id(self._settings.name)),
            InstanceName(self._settings.name),
            Address(self._settings.listen),
            FailureDomain(self._settings.failure_domain),
            self._release,
        )
        self._events.record("replica.joins", replica=request.replica)
        search = LeaderSearch(self._settings.seed_addresses)
        while True:
            address = search.preferred
            answer = await self._request_join(address, request)
            if answer is not None and answer.cluster is not None:
                state = first_hard_state(request.replica, answer.cluster)
                try:
                    await self._storage.format(state, [])
                    return
                except DiskFullError as error:
                    self.record_full_disk(error)
                    await sleep_until(deadline_in(_FULL_DISK_RETRY_S))
                    continue
            reported = answer.leader if answer is not None else Address("")
            search.record_failure(address, reported)
            await sleep_until(deadline_in(_JOIN_RETRY_DELAY_S))

    async def _request_join(
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

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.fail(task.exception())

    def fail(self, error: BaseException | None) -> None:
        """Record a fatal error, after which the process must stop.

        Only the first error is recorded; None has no effect.
        """
        if self._fatal_error.done() or error is None:
            return
        self._events.record("replica.failed", reason=str(error))
        self._fatal_error.set_exception(error)


def first_entries(members: list[Member]) -> list[LogEntry]:
    """Return the first log entries of a new cluster: its member list.

    All replicas of the cluster start with the same ones.
    """
    payload = msgspec.msgpack.encode(members)
    return [LogEntry(Term(0), LogIndex(1), EntryKind.MEMBERS, payload)]
