"""What a leader does during its term."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from msgspec.structs import replace

from ..clock import deadline_in, now, remaining, sleep_until
from ..exceptions import CommitInDoubtError, LogError, NotLeaderError
from ..ids import FailureDomain, InstanceName, LogIndex, ReplicaId, Term
from .follower import Follower
from .membership import MemberHealth, next_members
from .records import EntryKind, JoinRequest, LogEntry, Member, encode_members
from .replica_parts import ReplicaParts


class Leadership:
    """One term as leader: writes entries, replicates and commits them.

    Parameters
    ----------
    replica : ReplicaParts
        The replica that leads.
    term : Term
        The term that it won.
    asked_at : float
        Monotonic time at which the votes were asked for, in seconds.
    """

    def __init__(self, replica: ReplicaParts, term: Term, asked_at: float) -> None:
        self._replica = replica
        self._term = term
        self._started_at = asked_at
        self._is_ended = False
        self._peers: dict[ReplicaId, Follower] = {}
        self._queue: deque[tuple[EntryKind, bytes, asyncio.Future]] = deque()
        self._queued = asyncio.Event()
        self._pending: dict[LogIndex, asyncio.Future] = {}
        self._contacted = asyncio.Condition()
        self._ready = asyncio.Event()
        self._members_index = LogIndex(0)
        self._tasks: list[asyncio.Task] = []
        self._own = replica.storage.hard_state.replica

    @property
    def term(self) -> Term:
        """The term that is led."""
        return self._term

    @property
    def election_started_at(self) -> float:
        """Monotonic time at which the votes were asked for, in seconds."""
        return self._started_at

    @property
    def is_ready(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._ready.is_set()

    @property
    def last_quorum_contact_at(self) -> float:
        """Latest time at which a majority is known to have followed this leader."""
        times = [
            now() if member.replica == self._own else self._answered_at(member.replica)
            for member in self._voters()
        ]
        times.sort(reverse=True)
        majority = len(times) // 2 + 1
        return max(times[majority - 1], self._started_at)

    def start(self) -> None:
        """Start the tasks of the term; the caller holds the replica's lock."""
        self._refresh_peers()
        self._replica.spawn(self._open_term())
        for work in (self._write(), self._watch_quorum(), self._keep_members()):
            self._tasks.append(self._replica.spawn(work))

    def end(self) -> None:
        """Cancel the tasks and give up what is not committed."""
        self._is_ended = True
        current = asyncio.current_task()
        for follower in self._peers.values():
            follower.end()
        for task in self._tasks:
            if task is not current:
                task.cancel()
        for _, _, future in self._queue:
            _set_exception(future, NotLeaderError())
        for future in self._pending.values():
            _set_exception(future, CommitInDoubtError("leadership ended meanwhile"))
        self._queue.clear()
        self._pending.clear()

    async def propose(self, kind: EntryKind, payload: bytes) -> Any:
        """Append an entry and return the result of applying it.

        Raises
        ------
        NotLeaderError
            Nothing was appended.
        CommitInDoubtError
            The entry was appended and may yet be committed.
        """
        if self._is_ended:
            raise NotLeaderError()
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._queue.append((kind, payload, future))
        self._queued.set()
        return await asyncio.shield(future)

    async def confirm(self) -> None:
        """Return once a majority has followed this leader after the call.

        Raises
        ------
        NotLeaderError
            When leadership ends before.
        """
        asked_at = now()
        commit_index = self._replica.commit_index
        self._wake_peers()
        deadline = deadline_in(self._replica.settings.election_timeout_s)
        while not self._is_confirmed(asked_at, commit_index):
            if self._is_ended or not remaining(deadline):
                raise NotLeaderError(self._replica.leader_address)
            await self._wait_for_contact(remaining(deadline))
        if self._is_ended:
            raise NotLeaderError(self._replica.leader_address)

    def resolve(self, entry: LogEntry, result: Any) -> None:
        """Hand the result of an applied entry to its proposer."""
        future = self._pending.pop(entry.index, None)
        if future is not None and not future.done():
            future.set_result(result)
        if entry.term == self._term:
            self._ready.set()

    async def admit(self, request: JoinRequest) -> None:
        """Make a replica a learner in place of its instance's old identity.

        Raises
        ------
        LogError
            When the old identity still answers or no change is possible now.
        """
        members = self._replica.storage.members
        if any(member.replica == request.replica for member in members):
            return
        if request.instance in self._replica.membership_goal.retiring:
            raise LogError(f"{request.instance} is being taken away")
        replaced = [each for each in members if _is_replaced_by(each, request)]
        for member in replaced:
            is_other_place = member.address != request.address
            if is_other_place and self._is_answering(member):
                raise LogError(f"{member.replica} of this instance still answers")
        kept = [each for each in members if each not in replaced]
        learner = Member(
            request.replica,
            request.instance,
            request.address,
            False,
            request.failure_domain,
        )
        await self.change_members([*kept, learner])

    async def change_members(self, members: list[Member]) -> None:
        """Commit a new list of members that differs by one voter at most.

        Raises
        ------
        LogError
            When another change is under way or two voters differ.
        """
        if not self.is_ready:
            raise LogError("the leader has not committed an entry of its term yet")
        if self._members_index > self._replica.commit_index:
            raise LogError("another change of members is under way")
        before = {each.replica for each in self._voters()}
        after = {each.replica for each in members if each.is_voter}
        if len(before ^ after) > 1 or not after:
            raise LogError("members change by one voter at a time")
        self._members_index = LogIndex(self._replica.storage.last_index + 1)
        self._replica.events.record(
            "members.change", members=[each.replica for each in members]
        )
        await self.propose(EntryKind.MEMBERS, encode_members(members))

    def _voters(self) -> list[Member]:
        return [each for each in self._replica.storage.members if each.is_voter]

    def _answered_at(self, replica: ReplicaId) -> float:
        follower = self._peers.get(replica)
        return follower.answered_at if follower else float("-inf")

    def _is_answering(self, member: Member) -> bool:
        patience_s = 2 * self._replica.settings.election_timeout_s
        if member.replica == self._own:
            return True
        last = max(self._answered_at(member.replica), self._started_at)
        return now() < last + patience_s

    def _is_confirmed(self, asked_at: float, commit_index: LogIndex) -> bool:
        is_followed = self._is_sole_voter() or self.last_quorum_contact_at > asked_at
        return is_followed and self.is_ready

    def _is_sole_voter(self) -> bool:
        return len(self._voters()) == 1

    async def _open_term(self) -> None:
        try:
            await self.propose(EntryKind.NO_OP, b"")
        except LogError:
            return

    async def _write(self) -> None:
        while True:
            await self._queued.wait()
            self._queued.clear()
            async with self._replica.lock:
                if self._is_ended:
                    return
                await self._append_batch()
            self._wake_peers()
            self._advance_commit()

    async def _append_batch(self) -> None:
        storage = self._replica.storage
        entries = []
        index = storage.last_index
        while self._queue:
            kind, payload, future = self._queue.popleft()
            index = LogIndex(index + 1)
            entries.append(LogEntry(self._term, index, kind, payload))
            self._pending[index] = future
            if kind is EntryKind.MEMBERS:
                self._members_index = index
        await storage.append(entries)
        if any(entry.kind is EntryKind.MEMBERS for entry in entries):
            self._refresh_peers()

    def _refresh_peers(self) -> None:
        storage = self._replica.storage
        others = {
            member.replica: member
            for member in storage.members
            if member.replica != storage.hard_state.replica
        }
        for replica in [each for each in self._peers if each not in others]:
            removed = self._peers.pop(replica)
            removed.end()
        for replica, member in others.items():
            if replica in self._peers:
                self._peers[replica].member = member
                continue
            follower = Follower(self._replica, self._term, member, self._note_answer)
            self._peers[replica] = follower
            follower.task = self._replica.spawn(follower.run())

    def _wake_peers(self) -> None:
        for follower in self._peers.values():
            follower.wake.set()

    async def _note_answer(self) -> None:
        self._advance_commit()
        async with self._contacted:
            self._contacted.notify_all()

    def _advance_commit(self) -> None:
        if self._is_ended:
            return
        storage = self._replica.storage
        matches = []
        for member in self._voters():
            if member.replica == self._own:
                matches.append(storage.last_index)
            else:
                peer = self._peers.get(member.replica)
                matches.append(peer.match_index if peer else LogIndex(0))
        matches.sort(reverse=True)
        index = matches[len(matches) // 2]
        if index <= self._replica.commit_index:
            return
        if storage.term_at(index) == self._term:
            self._replica.commit_through(index)

    async def _wait_for_contact(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                async with self._contacted:
                    await self._contacted.wait()
        except TimeoutError:
            return

    async def _watch_quorum(self) -> None:
        settings = self._replica.settings
        while not self._is_ended:
            await sleep_until(deadline_in(settings.heartbeat_s))
            if self._is_sole_voter():
                continue
            if self._replica.storage.unanswered_s > settings.election_timeout_s:
                self._replica.step_down("its disk does not answer")
                return
            if now() > self.last_quorum_contact_at + settings.election_timeout_s:
                self._replica.step_down("no contact with a quorum")
                return

    async def _keep_members(self) -> None:
        while not self._is_ended:
            await sleep_until(deadline_in(self._replica.settings.heartbeat_s))
            if not self.is_ready:
                continue
            members = next_members(
                self.member_health(), self._own, self._replica.membership_goal
            )
            if members is None:
                continue
            try:
                await self.change_members(members)
            except LogError as error:
                self._replica.events.record("members.unchanged", reason=str(error))
                continue
            if not any(each.replica == self._own and each.is_voter for each in members):
                self._replica.step_down("this replica no longer votes")

    def member_health(self) -> list[MemberHealth]:
        """Return what this leader sees of each member."""
        settings = self._replica.settings
        own = replace(
            self._own_member(),
            instance=InstanceName(settings.name),
            failure_domain=FailureDomain(settings.failure_domain),
        )
        found = []
        for member in self._replica.storage.members:
            follower = self._peers.get(member.replica)
            if member.replica == self._own:
                found.append(MemberHealth(member, 0.0, True, own))
            elif follower is not None:
                found.append(self._health_of(follower))
            else:
                raise AssertionError(f"{member.replica} is not followed up")
        return found

    def _health_of(self, follower: Follower) -> MemberHealth:
        is_caught_up = follower.match_index >= self._replica.commit_index
        return MemberHealth(
            follower.member, follower.silent_s, is_caught_up, follower.named
        )

    def _own_member(self) -> Member:
        for member in self._replica.storage.members:
            if member.replica == self._own:
                return member
        raise LogError("the leader is not a member")


def _is_replaced_by(member: Member, request: JoinRequest) -> bool:
    # Whoever joins from a member's address runs there without its disk.
    return request.instance == member.instance or request.address == member.address


def _set_exception(future: asyncio.Future, error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
        # Retrieved here so that a proposer that gave up leaves no warning.
        future.exception()
