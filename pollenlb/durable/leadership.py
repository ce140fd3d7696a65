"""What a leader does during its term."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err, Ok

from ..exceptions import CommitInDoubtError, LogError, NotLeaderError
from ..ids import Address, LogIndex, ReplicaId, Term
from ..process.clock import deadline_in, now, remaining, sleep_until
from .records import (
    APPEND,
    SNAPSHOT,
    AppendAnswer,
    AppendRequest,
    EntryKind,
    JoinRequest,
    LogEntry,
    Member,
    SnapshotRequest,
    encode_members,
)

if TYPE_CHECKING:
    from .replica import Replica

_ENTRIES_PER_MESSAGE = 256
_SNAPSHOT_TIMEOUT_S = 30.0


class Progress:
    """How far one other replica's log is known to match.

    Parameters
    ----------
    member : Member
        The replica.
    next_index : LogIndex
        First index to send.
    """

    def __init__(self, member: Member, next_index: LogIndex) -> None:
        self.member = member
        self.next_index = next_index
        self.match_index = LogIndex(0)
        self.answered_at = float("-inf")
        self.wake = asyncio.Event()
        self.task: asyncio.Task | None = None


class Leadership:
    """One term as leader: writes entries, replicates and commits them.

    Parameters
    ----------
    replica : Replica
        The replica that leads.
    term : Term
        The term that it won.
    asked_at : float
        Monotonic time at which the votes were asked for, in seconds.
    """

    def __init__(self, replica: Replica, term: Term, asked_at: float) -> None:
        self._replica = replica
        self._term = term
        self._started_at = asked_at
        self._is_ended = False
        self._peers: dict[ReplicaId, Progress] = {}
        self._queue: deque[tuple[EntryKind, bytes, asyncio.Future]] = deque()
        self._queued = asyncio.Event()
        self._pending: dict[LogIndex, asyncio.Future] = {}
        self._contacted = asyncio.Condition()
        self._ready = asyncio.Event()
        self._members_index = LogIndex(0)
        self._tasks: list[asyncio.Task] = []

    @property
    def term(self) -> Term:
        """The term that is led."""
        return self._term

    @property
    def started_at(self) -> float:
        """Monotonic time at which the votes were asked for, in seconds."""
        return self._started_at

    @property
    def is_ready(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._ready.is_set()

    @property
    def quorum_contact_at(self) -> float:
        """Latest time at which a majority is known to have followed this leader."""
        own = self._replica.storage.hard_state.replica
        times = [
            now() if member.replica == own else self._answered_at(member.replica)
            for member in self._voters()
        ]
        times.sort(reverse=True)
        majority = len(times) // 2 + 1
        return max(times[majority - 1], self._started_at)

    def start(self) -> None:
        """Start the tasks of the term; the caller holds the replica's lock."""
        self._refresh_peers()
        self._replica.spawn(self._open_term())
        for work in (self._write(), self._watch_quorum(), self._promote_learners()):
            self._tasks.append(self._replica.spawn(work))

    def end(self) -> None:
        """Cancel the tasks and give up what is not committed."""
        self._is_ended = True
        current = asyncio.current_task()
        for progress in self._peers.values():
            if progress.task is not None and progress.task is not current:
                progress.task.cancel()
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
        for member in members:
            if member.instance == request.instance and self._is_answering(member):
                raise LogError(f"{member.replica} of this instance still answers")
        kept = [each for each in members if each.instance != request.instance]
        learner = Member(request.replica, request.instance, request.address, False)
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
        progress = self._peers.get(replica)
        return progress.answered_at if progress else float("-inf")

    def _is_answering(self, member: Member) -> bool:
        patience_s = 2 * self._replica.settings.election_timeout_s
        if member.replica == self._replica.storage.hard_state.replica:
            return True
        last = max(self._answered_at(member.replica), self._started_at)
        return now() < last + patience_s

    def _is_confirmed(self, asked_at: float, commit_index: LogIndex) -> bool:
        is_followed = self._is_sole_voter() or self.quorum_contact_at > asked_at
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
            if removed.task is not None:
                removed.task.cancel()
        for replica, member in others.items():
            if replica in self._peers:
                self._peers[replica].member = member
                continue
            progress = Progress(member, LogIndex(storage.last_index + 1))
            self._peers[replica] = progress
            progress.task = self._replica.spawn(self._replicate(progress))

    def _wake_peers(self) -> None:
        for progress in self._peers.values():
            progress.wake.set()

    async def _replicate(self, progress: Progress) -> None:
        heartbeat_s = self._replica.settings.heartbeat_s
        while not self._is_ended:
            progress.wake.clear()
            if await self._send_next(progress):
                behind = progress.next_index <= self._replica.storage.last_index
                if behind or progress.wake.is_set():
                    continue
                await _wait_event(progress.wake, heartbeat_s)
            else:
                await sleep_until(deadline_in(heartbeat_s))

    async def _send_next(self, progress: Progress) -> bool:
        sent_at = now()
        snapshot = self._replica.storage.snapshot
        if progress.next_index <= snapshot.index:
            request: Any = self._snapshot_request(progress)
            method: Any = SNAPSHOT
            timeout_s = _SNAPSHOT_TIMEOUT_S
        else:
            request = self._append_request(progress)
            method = APPEND
            timeout_s = self._replica.settings.election_timeout_s
        channel = self._replica.channel(progress.member.address)
        match await channel.call(method, request, timeout_s):
            case Ok(answer):
                return await self._take_answer(progress, answer, sent_at)
            case Err(_):
                return False
        return False

    def _snapshot_request(self, progress: Progress) -> SnapshotRequest:
        state = self._replica.storage.hard_state
        return SnapshotRequest(
            cluster=state.cluster,
            sender=state.replica,
            receiver=progress.member.replica,
            term=self._term,
            leader_address=Address(self._replica.settings.listen),
            snapshot=self._replica.storage.snapshot,
        )

    def _append_request(self, progress: Progress) -> AppendRequest:
        storage = self._replica.storage
        previous = LogIndex(progress.next_index - 1)
        previous_term = storage.term_at(previous)
        assert previous_term is not None
        return AppendRequest(
            cluster=storage.hard_state.cluster,
            sender=storage.hard_state.replica,
            receiver=progress.member.replica,
            term=self._term,
            previous_term=previous_term,
            previous_index=previous,
            commit_index=self._replica.commit_index,
            leader_address=Address(self._replica.settings.listen),
            entries=storage.entries_from(progress.next_index, _ENTRIES_PER_MESSAGE),
        )

    async def _take_answer(
        self, progress: Progress, answer: AppendAnswer, sent_at: float
    ) -> bool:
        if not answer.is_known:
            return False
        if answer.term > self._term:
            await self._replica.observe_term(answer.term)
            return False
        progress.answered_at = max(progress.answered_at, sent_at)
        if answer.is_matching:
            progress.match_index = LogIndex(
                max(progress.match_index, answer.last_index)
            )
            progress.next_index = LogIndex(progress.match_index + 1)
            self._advance_commit()
        else:
            hint = answer.last_index + 1
            progress.next_index = LogIndex(max(1, min(hint, progress.next_index)))
        async with self._contacted:
            self._contacted.notify_all()
        return True

    def _advance_commit(self) -> None:
        if self._is_ended:
            return
        storage = self._replica.storage
        own = storage.hard_state.replica
        matches = []
        for member in self._voters():
            if member.replica == own:
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
            if now() > self.quorum_contact_at + settings.election_timeout_s:
                self._replica.step_down("no contact with a quorum")
                return

    async def _promote_learners(self) -> None:
        while not self._is_ended:
            await sleep_until(deadline_in(self._replica.settings.heartbeat_s))
            learner = self._caught_up_learner()
            if learner is None:
                continue
            promoted = msgspec.structs.replace(learner, is_voter=True)
            members = self._replica.storage.members
            try:
                await self.change_members(
                    [promoted if each == learner else each for each in members]
                )
            except LogError:
                continue

    def _caught_up_learner(self) -> Member | None:
        last_index = self._replica.storage.last_index
        for progress in self._peers.values():
            if progress.member.is_voter or not self._is_answering(progress.member):
                continue
            if progress.match_index == last_index:
                return progress.member
        return None


def _set_exception(future: asyncio.Future, error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
        # Retrieved here so that a proposer that gave up leaves no warning.
        future.exception()


async def _wait_event(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
