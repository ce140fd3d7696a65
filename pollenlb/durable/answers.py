"""What a replica answers to the other replicas."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from ..connection.rpc import RpcServer
from ..exceptions import LogError, StorageError
from ..ids import (
    Address,
    ClusterId,
    FailureDomain,
    InstanceName,
    LogIndex,
    ReplicaId,
    Term,
)
from .records import (
    APPEND,
    JOIN,
    SNAPSHOT,
    VOTE,
    AppendAnswer,
    AppendRequest,
    JoinAnswer,
    JoinRequest,
    LogEntry,
    SnapshotRequest,
    VoteAnswer,
    VoteRequest,
)
from .replica_parts import ReplicaParts

Q = TypeVar("Q")
A = TypeVar("A")


class Answers:
    """Answers requests for votes, entries, snapshots and membership.

    Parameters
    ----------
    replica : ReplicaParts
        The replica that is asked.
    """

    def __init__(self, replica: ReplicaParts) -> None:
        self._replica = replica

    def offer(self, server: RpcServer) -> None:
        """Answer the calls on a server."""
        server.offer(VOTE, self._ending_on_error(self.answer_vote))
        server.offer(APPEND, self._ending_on_error(self.answer_append))
        server.offer(SNAPSHOT, self._ending_on_error(self.answer_snapshot))
        server.offer(JOIN, self._ending_on_error(self.answer_join))

    async def answer_vote(self, request: VoteRequest) -> VoteAnswer:
        """Vote for a candidate, at most for one in a term."""
        replica = self._replica
        async with replica.lock:
            if not self._is_addressed(request.cluster, request.receiver):
                return VoteAnswer(Term(0), False)
            is_refused = replica.is_leader_heard() or request.term < replica.term
            if is_refused or not self._is_up_to_date(request):
                return VoteAnswer(replica.term, False)
            if request.is_pre_vote:
                return VoteAnswer(replica.term, True)
            await replica.adopt_term(request.term)
            return VoteAnswer(replica.term, await self._vote_for(request.sender))

    async def answer_append(self, request: AppendRequest) -> AppendAnswer:
        """Store entries that follow on what the log holds."""
        replica = self._replica
        async with replica.lock:
            refusal = await self._refuse_or_follow(request)
            if refusal is not None:
                return refusal
            previous = replica.storage.term_at(request.previous_index)
            if previous is None or previous != request.previous_term:
                return self._mismatch(request.previous_index)
            await self._store(request.entries)
            matched = LogIndex(request.previous_index + len(request.entries))
            replica.commit_through(LogIndex(min(request.commit_index, matched)))
            return self._appended(True, matched)

    async def answer_snapshot(self, request: SnapshotRequest) -> AppendAnswer:
        """Take a snapshot in place of entries that the leader no longer has."""
        replica = self._replica
        async with replica.lock:
            refusal = await self._refuse_or_follow(request)
            if refusal is not None:
                return refusal
            await replica.receive_snapshot(request.snapshot)
            return self._appended(True, request.snapshot.index)

    async def answer_join(self, request: JoinRequest) -> JoinAnswer:
        """Make a replica without a disk a learner, if this one leads."""
        replica = self._replica
        if replica.leadership is None:
            reason = "this replica does not lead"
            return JoinAnswer(None, replica.leader_address, reason)
        try:
            await replica.leadership.admit(request)
        except LogError as error:
            return JoinAnswer(None, replica.leader_address, str(error))
        return JoinAnswer(replica.storage.hard_state.cluster, replica.leader_address)

    def _ending_on_error(
        self, handler: Callable[[Q], Awaitable[A]]
    ) -> Callable[[Q], Awaitable[A]]:
        async def answer(request: Q) -> A:
            try:
                return await handler(request)
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

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        storage = self._replica.storage
        own = (storage.last_term, storage.last_index)
        return (request.last_term, request.last_index) >= own

    async def _vote_for(self, candidate: ReplicaId) -> bool:
        state = self._replica.storage.hard_state
        if state.voted_for not in (None, candidate):
            return False
        voted = msgspec.structs.replace(state, voted_for=candidate)
        await self._replica.storage.save_hard_state(voted)
        self._replica.postpone_election()
        return True

    async def _refuse_or_follow(
        self, request: AppendRequest | SnapshotRequest
    ) -> AppendAnswer | None:
        replica = self._replica
        if not self._is_addressed(request.cluster, request.receiver):
            return AppendAnswer(Term(0), False, False, LogIndex(0))
        if request.term < replica.term:
            return self._appended(False, replica.storage.last_index)
        await replica.adopt_term(request.term)
        replica.follow(Address(request.leader_address))
        return None

    def _mismatch(self, previous_index: LogIndex) -> AppendAnswer:
        storage = self._replica.storage
        hint = min(previous_index - 1, storage.last_index)
        hint = max(hint, storage.snapshot.index)
        return self._appended(False, LogIndex(hint))

    def _appended(self, is_matching: bool, last_index: LogIndex) -> AppendAnswer:
        settings = self._replica.settings
        return AppendAnswer(
            self._replica.term,
            True,
            is_matching,
            last_index,
            InstanceName(settings.name),
            FailureDomain(settings.failure_domain),
        )

    async def _store(self, entries: list[LogEntry]) -> None:
        storage = self._replica.storage
        position = 0
        while position < len(entries):
            entry = entries[position]
            if storage.term_at(entry.index) != entry.term:
                break
            position += 1
        new = entries[position:]
        if not new:
            return
        if new[0].index <= self._replica.commit_index:
            raise StorageError(f"committed entry {new[0].index} would be overwritten")
        await storage.truncate_from(new[0].index)
        await storage.append(new)
