"""Handlers for the calls that a replica gets from other replicas."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from ..connection.rpc import RpcServer
from ..exceptions import DiskFullError, LogError, StorageError
from ..ids import (
    Address,
    ClusterId,
    FailureDomain,
    FormatVersion,
    InstanceName,
    LogIndex,
    ReplicaId,
    Term,
)
from .records import (
    APPEND,
    JOIN,
    SNAPSHOT,
    SNAPSHOT_BLOCK,
    SNAPSHOT_PART,
    VOTE,
    AppendAnswer,
    AppendRequest,
    JoinAnswer,
    JoinRequest,
    LogEntry,
    SnapshotBlockRequest,
    SnapshotPartRequest,
    SnapshotRequest,
    VoteAnswer,
    VoteRequest,
)
from .replica_interface import ReplicaInterface
from .snapshot_transfer import IncomingSnapshot, SnapshotReceiver

Q = TypeVar("Q")
A = TypeVar("A")


class RpcHandlers:
    """Answers calls for votes, log entries, snapshots and membership.

    An error that a handler raises is fatal for the replica, unless its disk is full:
    then the call fails, as if it had been lost, and may succeed later.

    Parameters
    ----------
    replica : ReplicaInterface
        The replica that is called.
    """

    def __init__(self, replica: ReplicaInterface) -> None:
        self._replica = replica
        self._incoming = IncomingSnapshot()
        self._receiver = SnapshotReceiver(replica.storage)
        self._is_unreadable_recorded = False

    def register(self, server: RpcServer) -> None:
        """Register all handlers on a server."""
        server.register(VOTE, self._fail_replica_on_error(self.handle_vote))
        server.register(APPEND, self._fail_replica_on_error(self.handle_append))
        server.register(SNAPSHOT, self._fail_replica_on_error(self.handle_snapshot))
        server.register(
            SNAPSHOT_PART, self._fail_replica_on_error(self.handle_snapshot_part)
        )
        server.register(
            SNAPSHOT_BLOCK, self._fail_replica_on_error(self.handle_snapshot_block)
        )
        server.register(JOIN, self._fail_replica_on_error(self.handle_join))

    async def handle_vote(self, request: VoteRequest) -> VoteAnswer:
        """Vote for a candidate, for at most one in a term.

        The vote is refused while a leader is in contact, so that a replica that
        was disconnected cannot disturb a working leader.
        """
        replica = self._replica
        async with replica.lock:
            if not self._is_addressed(request.cluster, request.receiver):
                return VoteAnswer(Term(0), False)
            is_refused = replica.has_leader_contact() or request.term < replica.term
            if is_refused or not self._is_log_up_to_date(request):
                return VoteAnswer(replica.term, False)
            if request.is_pre_vote:
                return VoteAnswer(replica.term, True)
            await replica.adopt_term(request.term)
            return VoteAnswer(replica.term, await self._grant_vote(request.sender))

    async def handle_append(self, request: AppendRequest) -> AppendAnswer:
        """Append the leader's log entries if the previous one matches.

        Entries that the snapshot here includes are not looked at; the answer names
        the last of them.

        Raises
        ------
        StorageError
            When a committed log entry would be overwritten, or a write fails.
        """
        replica = self._replica
        if self._is_heartbeat_during_log_change(request):
            replica.record_leader_contact(Address(request.leader_address))
            return self._append_answer(True, request.previous_index)
        async with replica.lock:
            if not self._can_read(request):
                return AppendAnswer(Term(0), False, False, LogIndex(0))
            refusal = await self._refuse_or_accept_leader(request)
            if refusal is not None:
                return refusal
            await self._record_format(request.format)
            if self._is_in_snapshot(request.previous_index):
                return self._append_answer(True, replica.storage.snapshot.index)
            previous = replica.storage.term_at(request.previous_index)
            if previous is None or previous != request.previous_term:
                return self._mismatch_answer(request.previous_index)
            await self._append_missing(request.entries)
            match_index = LogIndex(request.previous_index + len(request.entries))
            replica.advance_commit_index(
                LogIndex(min(request.commit_index, match_index))
            )
            return self._append_answer(True, match_index)

    async def handle_snapshot(self, request: SnapshotRequest) -> AppendAnswer:
        """Install a snapshot in place of log entries that the leader has dropped."""
        replica = self._replica
        async with replica.lock:
            refusal = await self._refuse_or_accept_leader(request)
            if refusal is not None:
                return refusal
            await replica.install_snapshot(request.snapshot)
            return self._append_answer(True, request.snapshot.index)

    async def handle_snapshot_part(self, request: SnapshotPartRequest) -> AppendAnswer:
        """Collect the parts of a snapshot, and install it when it is complete."""
        replica = self._replica
        async with replica.lock:
            refusal = await self._refuse_or_accept_leader(request)
            if refusal is not None:
                return refusal
            snapshot = self._incoming.add(request.part)
            if snapshot is None:
                answer = self._append_answer(False, replica.storage.last_index)
                received_bytes = self._incoming.received_bytes
                return msgspec.structs.replace(answer, received_bytes=received_bytes)
            await replica.install_snapshot(snapshot)
            return self._append_answer(True, snapshot.index)

    async def handle_snapshot_block(
        self, request: SnapshotBlockRequest
    ) -> AppendAnswer:
        """Write a block of a snapshot file, and install the file when it is complete.

        A snapshot of what is committed here already is not taken.
        """
        replica = self._replica
        async with replica.lock:
            if not self._can_read(request):
                return AppendAnswer(Term(0), False, False, LogIndex(0))
            refusal = await self._refuse_or_accept_leader(request)
            if refusal is not None:
                return refusal
            await self._record_format(request.format)
            if request.head.index <= replica.commit_index:
                return self._append_answer(True, request.head.index)
            head = await self._receiver.add(request)
            if head is None:
                answer = self._append_answer(False, replica.storage.last_index)
                received_bytes = self._receiver.received_bytes
                return msgspec.structs.replace(answer, received_bytes=received_bytes)
            await replica.install_received_snapshot(head)
            return self._append_answer(True, head.index)

    async def handle_join(self, request: JoinRequest) -> JoinAnswer:
        """Add a replica with an empty data folder as a learner, if this one leads."""
        replica = self._replica
        if replica.leadership is None:
            reason = "this replica does not lead"
            return JoinAnswer(None, replica.leader_address, reason)
        try:
            await replica.leadership.add_learner(request)
        except LogError as error:
            return JoinAnswer(None, replica.leader_address, str(error))
        return JoinAnswer(replica.storage.hard_state.cluster, replica.leader_address)

    def _fail_replica_on_error(
        self, handler: Callable[[Q], Awaitable[A]]
    ) -> Callable[[Q], Awaitable[A]]:
        async def answer(request: Q) -> A:
            try:
                return await handler(request)
            except DiskFullError as error:
                self._replica.record_full_disk(error)
                raise
            except Exception as error:
                self._replica.fail(error)
                raise

        return answer

    def _is_addressed(self, cluster: ClusterId, receiver: ReplicaId) -> bool:
        storage = self._replica.storage
        if not storage.is_formatted:
            return False
        state = storage.hard_state
        return cluster == state.cluster and receiver == state.replica

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:
        storage = self._replica.storage
        own_position = (storage.last_term, storage.last_index)
        return (request.last_term, request.last_index) >= own_position

    async def _grant_vote(self, candidate: ReplicaId) -> bool:
        state = self._replica.storage.hard_state
        if state.voted_for not in (None, candidate):
            return False
        new_state = msgspec.structs.replace(state, voted_for=candidate)
        await self._replica.storage.save_hard_state(new_state)
        self._replica.postpone_election()
        return True

    async def _refuse_or_accept_leader(
        self,
        request: (
            AppendRequest | SnapshotRequest | SnapshotPartRequest | SnapshotBlockRequest
        ),
    ) -> AppendAnswer | None:
        replica = self._replica
        if not self._is_addressed(request.cluster, request.receiver):
            return AppendAnswer(Term(0), False, False, LogIndex(0))
        if request.term < replica.term:
            return self._append_answer(False, replica.storage.last_index)
        await replica.adopt_term(request.term)
        replica.record_leader_contact(Address(request.leader_address))
        return None

    def _is_heartbeat_during_log_change(self, request: AppendRequest) -> bool:
        """Return whether a heartbeat can be answered without waiting for the disk.

        Whoever holds the lock is writing the log and does not vote, and a candidate
        that waits for the lock is then told of the contact with the leader. A disk
        that has not finished a write for an election timeout is of no use to the
        leader, so its replica stays silent.
        """
        replica = self._replica
        storage = replica.storage
        if request.entries or not storage.is_changing_log:
            return False
        return (
            self._is_addressed(request.cluster, request.receiver)
            and request.term == replica.term
            and request.format <= storage.hard_state.format
            and storage.oldest_write_age_s <= replica.settings.election_timeout_s
            and storage.term_at(request.previous_index) == request.previous_term
        )

    def _can_read(self, request: AppendRequest | SnapshotBlockRequest) -> bool:
        """Return whether this release reads the format of the leader's log.

        A replica that does not is of no use to a majority, so it gives no answer of its
        own, and the leader takes it for silent.
        """
        replica = self._replica
        can_read = request.format <= replica.release.reads
        if not can_read and not self._is_unreadable_recorded:
            replica.events.record(
                "log.unreadable",
                leader=request.leader_address,
                format=request.format,
                release=str(replica.release),
            )
        self._is_unreadable_recorded = not can_read
        return can_read

    async def _record_format(self, format_: FormatVersion) -> None:
        """Record in the data folder that it may hold a format from now on."""
        state = self._replica.storage.hard_state
        if format_ > state.format:
            new_state = msgspec.structs.replace(state, format=format_)
            await self._replica.storage.save_hard_state(new_state)

    def _is_in_snapshot(self, index: LogIndex) -> bool:
        """Return whether a log entry is before the last one of the snapshot.

        The log of every leader has all entries that a snapshot includes.
        """
        return index < self._replica.storage.snapshot.index

    def _mismatch_answer(self, previous_index: LogIndex) -> AppendAnswer:
        storage = self._replica.storage
        last_index = min(previous_index - 1, storage.last_index)
        last_index = max(last_index, storage.snapshot.index)
        return self._append_answer(False, LogIndex(last_index))

    def _append_answer(self, is_matching: bool, last_index: LogIndex) -> AppendAnswer:
        settings = self._replica.settings
        return AppendAnswer(
            self._replica.term,
            True,
            is_matching,
            last_index,
            InstanceName(settings.name),
            FailureDomain(settings.failure_domain),
            release=self._replica.release,
        )

    async def _append_missing(self, entries: list[LogEntry]) -> None:
        storage = self._replica.storage
        position = 0
        while position < len(entries):
            entry = entries[position]
            if storage.term_at(entry.index) != entry.term:
                break
            position += 1
        missing = entries[position:]
        if not missing:
            return
        if missing[0].index <= self._replica.commit_index:
            raise StorageError(
                f"append would overwrite the committed log entry {missing[0].index}"
            )
        await storage.truncate_from(missing[0].index)
        await storage.append(missing)
