"""Leader side of the replicated log during one term."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from msgspec.structs import replace

from ..clock import deadline_in, now, remaining_time_s, sleep_until
from ..exceptions import (
    CommitInDoubtError,
    DiskFullError,
    LogError,
    NotLeaderError,
    UnreadableFormatError,
)
from ..ids import (
    FailureDomain,
    FormatVersion,
    InstanceName,
    LogIndex,
    ReplicaId,
    Term,
)
from ..release import UNREPORTED, Release
from .follower import Follower
from .membership import MemberHealth, next_members
from .records import EntryKind, JoinRequest, LogEntry, Member, encode_members
from .replica_interface import ReplicaInterface

# Longest wait for a snapshot while the log has no room: another replica may have a
# faster disk.
_MAX_SNAPSHOT_WAIT_S = 10.0


class Leadership:
    """One term as leader: appends, replicates and commits log entries.

    Parameters
    ----------
    replica : ReplicaInterface
        The replica that leads.
    term : Term
        The term that it won.
    election_started_at : float
        Monotonic time in seconds just before the votes of the term were
        requested.
    """

    def __init__(
        self, replica: ReplicaInterface, term: Term, election_started_at: float
    ) -> None:
        self._replica = replica
        self._term = term
        self._election_started_at = election_started_at
        self._is_ended = False
        self._followers: dict[ReplicaId, Follower] = {}
        self._queue: deque[tuple[EntryKind, bytes, asyncio.Future]] = deque()
        self._queue_filled = asyncio.Event()
        self._pending: dict[LogIndex, asyncio.Future] = {}
        self._follower_answered = asyncio.Condition()
        self._ready = asyncio.Event()
        self._latest_members_index = LogIndex(0)
        self._tasks: list[asyncio.Task] = []
        self._own_id = replica.storage.hard_state.replica

    @property
    def term(self) -> Term:
        """The term that this replica leads."""
        return self._term

    @property
    def election_started_at(self) -> float:
        """Monotonic time just before the votes were requested, in seconds."""
        return self._election_started_at

    @property
    def is_ready(self) -> bool:
        """Whether a log entry of this term has been committed."""
        return self._ready.is_set()

    @property
    def last_quorum_contact_at(self) -> float:
        """Latest time at which a majority is known to have followed this leader.

        Monotonic, in seconds. A follower counts with the time at which the latest
        message that it answered was sent. Never earlier than the election.
        """
        contact_times = [
            (
                now()
                if member.replica == self._own_id
                else self._last_contact_at(member.replica)
            )
            for member in self._voters()
        ]
        contact_times.sort(reverse=True)
        majority = len(contact_times) // 2 + 1
        return max(contact_times[majority - 1], self._election_started_at)

    @property
    def releases(self) -> dict[ReplicaId, Release]:
        """Release of each member, as it reported it in this term."""
        releases = {self._own_id: self._replica.release}
        for member in self._replica.storage.members:
            if member.replica != self._own_id:
                follower = self._followers.get(member.replica)
                release = follower.release if follower is not None else UNREPORTED
                releases[member.replica] = release
        return releases

    def check_readable(self, needed: FormatVersion) -> None:
        """Return if all members have said that they read a format.

        Raises
        ------
        UnreadableFormatError
            When one of them has not, or the log does not use the format yet.
        """
        if needed <= self._replica.storage.hard_state.format:
            return
        others = [
            f"{replica} runs {release}"
            for replica, release in self.releases.items()
            if release.reads < needed
        ]
        raise UnreadableFormatError(
            f"{self._replica.release} would write format {needed}, which not all "
            f"members read: {', '.join(others) or 'it is not in use yet'}"
        )

    def start(self) -> None:
        """Start the tasks of the term; the caller holds the lock of the replica."""
        self._update_followers()
        self._replica.spawn(self._append_no_op())
        for coroutine in (
            self._append_queued(),
            self._check_quorum(),
            self._maintain_members(),
        ):
            self._tasks.append(self._replica.spawn(coroutine))

    def end(self) -> None:
        """Cancel the tasks and fail all proposals that are not committed.

        Queued proposals fail with ``NotLeaderError``, appended ones with
        ``CommitInDoubtError``.
        """
        self._is_ended = True
        current_task = asyncio.current_task()
        for follower in self._followers.values():
            follower.end()
        for task in self._tasks:
            if task is not current_task:
                task.cancel()
        for _, _, future in self._queue:
            _set_exception(future, NotLeaderError())
        for future in self._pending.values():
            _set_exception(
                future,
                CommitInDoubtError(
                    f"leadership of term {self._term} ended before the "
                    "log entry was committed"
                ),
            )
        self._queue.clear()
        self._pending.clear()

    async def propose(self, kind: EntryKind, payload: bytes) -> Any:
        """Append a log entry and return the result of applying it.

        Returns
        -------
        object
            What the state machine returned for a command; None for other kinds.

        Raises
        ------
        NotLeaderError
            When the leadership ended before the log entry was appended.
        CommitInDoubtError
            When the leadership ended after the log entry was appended; it may
            still be committed.
        """
        if self._is_ended:
            raise NotLeaderError()
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._queue.append((kind, payload, future))
        self._queue_filled.set()
        return await asyncio.shield(future)

    async def confirm(self) -> None:
        """Return once a majority has followed this leader after the call.

        This makes a read linearizable: no later leader existed at the call.

        Raises
        ------
        NotLeaderError
            When the leadership ends first, or is not confirmed within the
            election timeout.
        """
        called_at = now()
        commit_index = self._replica.commit_index
        self._wake_followers()
        deadline = deadline_in(self._replica.settings.election_timeout_s)
        while not self._is_confirmed(called_at, commit_index):
            if self._is_ended or not remaining_time_s(deadline):
                raise NotLeaderError(self._replica.leader_address)
            await self._wait_for_answer(remaining_time_s(deadline))
        if self._is_ended:
            raise NotLeaderError(self._replica.leader_address)

    def complete_proposal(self, entry: LogEntry, result: Any) -> None:
        """Return the result of an applied log entry to its proposer, if any."""
        future = self._pending.pop(entry.index, None)
        if future is not None and not future.done():
            future.set_result(result)
        if entry.term == self._term:
            self._ready.set()

    async def add_learner(self, request: JoinRequest) -> None:
        """Add a replica as a learner in place of the old identity of its instance.

        Returns at once when the replica is a member already.

        Raises
        ------
        LogError
            When the instance is being retired, when the old identity still
            responds at another address, or when the members cannot change now.
        """
        members = self._replica.storage.members
        if any(member.replica == request.replica for member in members):
            return
        log_format = self._replica.storage.hard_state.format
        if request.release.reads < log_format:
            raise LogError(
                f"replica {request.replica} cannot join: the log is of format "
                f"{log_format} since {self._replica.release}, and it runs "
                f"{request.release}"
            )
        if request.instance in self._replica.membership_goal.retiring_instances:
            raise LogError(
                f"instance {request.instance} cannot join: it is being retired"
            )
        replaced = [member for member in members if _is_replaced_by(member, request)]
        for member in replaced:
            is_other_address = member.address != request.address
            if is_other_address and self._is_responsive(member):
                raise LogError(
                    f"replica {request.replica} cannot join: replica {member.replica} "
                    f"of its instance still responds at {member.address}"
                )
        retained = [member for member in members if member not in replaced]
        learner = Member(
            request.replica,
            request.instance,
            request.address,
            False,
            request.failure_domain,
        )
        await self.change_members([*retained, learner])

    async def change_members(self, members: list[Member]) -> None:
        """Commit a new member list that differs by at most one voter.

        Raises
        ------
        LogError
            When this leader has not committed an entry of its term yet, when the
            previous change is not committed yet, or when more than one voter
            changes or none remains.
        NotLeaderError, CommitInDoubtError
            As for ``propose``.
        """
        if not self.is_ready:
            raise LogError(
                f"members cannot change: no log entry of term {self._term} "
                "is committed yet"
            )
        if self._latest_members_index > self._replica.commit_index:
            raise LogError(
                "members cannot change: the change at log index "
                f"{self._latest_members_index} is not committed yet"
            )
        before = {member.replica for member in self._voters()}
        after = {member.replica for member in members if member.is_voter}
        if len(before ^ after) > 1 or not after:
            raise LogError(
                "members cannot change: a change must add or remove at most one voter "
                "and leave at least one"
            )
        self._latest_members_index = LogIndex(self._replica.storage.last_index + 1)
        self._replica.events.record(
            "members.change",
            members=[member.replica for member in members],
            voters=[member.replica for member in members if member.is_voter],
        )
        await self.propose(EntryKind.MEMBERS, encode_members(members))

    def _voters(self) -> list[Member]:
        return [member for member in self._replica.storage.members if member.is_voter]

    def _last_contact_at(self, replica: ReplicaId) -> float:
        follower = self._followers.get(replica)
        return follower.last_contact_at if follower else float("-inf")

    def _is_responsive(self, member: Member) -> bool:
        contact_timeout_s = 2 * self._replica.settings.election_timeout_s
        if member.replica == self._own_id:
            return True
        contact_at = max(
            self._last_contact_at(member.replica), self._election_started_at
        )
        return now() < contact_at + contact_timeout_s

    def _is_confirmed(self, called_at: float, commit_index: LogIndex) -> bool:
        has_quorum = self._is_sole_voter() or self.last_quorum_contact_at > called_at
        is_applied = self._replica.applied_index >= commit_index
        return has_quorum and self.is_ready and is_applied

    def _is_sole_voter(self) -> bool:
        return len(self._voters()) == 1

    async def _append_no_op(self) -> None:
        try:
            await self.propose(EntryKind.NO_OP, b"")
        except LogError:
            return

    async def _append_queued(self) -> None:
        while True:
            await self._queue_filled.wait()
            self._queue_filled.clear()
            if not await self._has_log_room():
                return
            async with self._replica.lock:
                if self._is_ended:
                    return
                try:
                    await self._append_batch()
                except DiskFullError as error:
                    self._replica.step_down(str(error))
                    return
            self._wake_followers()
            self._advance_commit_index()

    async def _has_log_room(self) -> bool:
        """Wait until the log has room; if that takes too long, step down.

        The first entry of the term is not kept waiting: nothing can be read before it.
        """
        if not self.is_ready:
            return True
        try:
            async with asyncio.timeout(_MAX_SNAPSHOT_WAIT_S):
                await self._replica.wait_for_log_room()
        except TimeoutError:
            self._replica.step_down(
                f"no snapshot was stored for {_MAX_SNAPSHOT_WAIT_S:g} s, and the log "
                f"has {self._replica.storage.log_bytes} bytes"
            )
            return False
        return True

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
                self._latest_members_index = index
        try:
            await storage.append(entries)
        except DiskFullError:
            for entry in entries:
                _set_exception(self._pending.pop(entry.index), NotLeaderError())
            raise
        if any(entry.kind is EntryKind.MEMBERS for entry in entries):
            self._update_followers()

    def _update_followers(self) -> None:
        storage = self._replica.storage
        others = {
            member.replica: member
            for member in storage.members
            if member.replica != storage.hard_state.replica
        }
        for replica in [known for known in self._followers if known not in others]:
            removed = self._followers.pop(replica)
            removed.end()
        for replica, member in others.items():
            if replica in self._followers:
                self._followers[replica].member = member
                continue
            follower = Follower(
                self._replica, self._term, member, self._on_follower_answer
            )
            self._followers[replica] = follower
            follower.task = self._replica.spawn(follower.run())

    def _wake_followers(self) -> None:
        for follower in self._followers.values():
            follower.wake.set()

    async def _on_follower_answer(self) -> None:
        self._advance_commit_index()
        async with self._follower_answered:
            self._follower_answered.notify_all()

    def _advance_commit_index(self) -> None:
        if self._is_ended:
            return
        storage = self._replica.storage
        match_indexes = []
        for member in self._voters():
            if member.replica == self._own_id:
                match_indexes.append(storage.last_index)
            else:
                follower = self._followers.get(member.replica)
                match_indexes.append(follower.match_index if follower else LogIndex(0))
        match_indexes.sort(reverse=True)
        index = match_indexes[len(match_indexes) // 2]
        if index <= self._replica.commit_index:
            return
        if storage.term_at(index) == self._term:
            self._replica.advance_commit_index(index)

    async def _wait_for_answer(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                async with self._follower_answered:
                    await self._follower_answered.wait()
        except TimeoutError:
            return

    async def _check_quorum(self) -> None:
        settings = self._replica.settings
        while not self._is_ended:
            await sleep_until(deadline_in(settings.heartbeat_s))
            # Not with the maintenance of members, which waits for each change.
            for follower in self._followers.values():
                follower.record_stall(self._replica.membership_goal.replace_after_s)
            if self._is_sole_voter():
                continue
            if self._replica.storage.oldest_write_age_s > settings.election_timeout_s:
                self._replica.step_down(
                    f"no disk write completed for {settings.election_timeout_s:g} s"
                )
                return
            if now() > self.last_quorum_contact_at + settings.election_timeout_s:
                self._replica.step_down(
                    f"no contact with a quorum for {settings.election_timeout_s:g} s"
                )
                return

    async def _maintain_members(self) -> None:
        while not self._is_ended:
            await sleep_until(deadline_in(self._replica.settings.heartbeat_s))
            await self._raise_format()
            if not self.is_ready:
                continue
            members = next_members(
                self.member_health(), self._own_id, self._replica.membership_goal
            )
            if members is None:
                continue
            try:
                await self.change_members(members)
            except LogError as error:
                self._replica.events.record("members.unchanged", reason=str(error))
                continue
            if not any(
                member.replica == self._own_id and member.is_voter for member in members
            ):
                self._replica.step_down("this replica is no longer a voter")

    async def _raise_format(self) -> None:
        """Let the log use the newest format that all members read, up to the goal."""
        storage = self._replica.storage
        if self._readable_format() <= storage.hard_state.format:
            return
        async with self._replica.lock:
            # A member may have joined while another task held the lock.
            readable = self._readable_format()
            if self._is_ended or readable <= storage.hard_state.format:
                return
            new_state = replace(storage.hard_state, format=readable)
            try:
                await storage.save_hard_state(new_state)
            except DiskFullError as error:
                self._replica.record_full_disk(error)
                return
        self._replica.events.record("log.format", format=readable)

    def _readable_format(self) -> FormatVersion:
        reads = [release.reads for release in self.releases.values()]
        return min(self._replica.format_goal, *reads)

    def member_health(self) -> list[MemberHealth]:
        """Return the health of each member, as this leader observes it.

        Raises
        ------
        LogError
            When this replica is not a member.
        """
        settings = self._replica.settings
        own = replace(
            self._own_member(),
            instance=InstanceName(settings.name),
            failure_domain=FailureDomain(settings.failure_domain),
        )
        members_health = []
        for member in self._replica.storage.members:
            follower = self._followers.get(member.replica)
            if member.replica == self._own_id:
                members_health.append(MemberHealth(member, 0.0, True, own))
            elif follower is not None:
                members_health.append(self._health_of(follower))
            else:
                # The member list has just changed; replication starts in a moment.
                members_health.append(MemberHealth(member, 0.0, False, member))
        return members_health

    def _health_of(self, follower: Follower) -> MemberHealth:
        is_caught_up = follower.match_index >= self._replica.commit_index
        return MemberHealth(
            follower.member,
            follower.since_last_contact_s,
            is_caught_up,
            follower.reported_member,
            follower.since_progress_s,
        )

    def _own_member(self) -> Member:
        for member in self._replica.storage.members:
            if member.replica == self._own_id:
                return member
        raise LogError(f"replica {self._own_id} leads but is not in the member list")


def _is_replaced_by(member: Member, request: JoinRequest) -> bool:
    # A replica that joins from the address of a member has taken its place
    # and runs without that member's data folder.
    return request.instance == member.instance or request.address == member.address


def _set_exception(future: asyncio.Future, error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
        # Retrieves the exception: asyncio would otherwise log it as never
        # retrieved when the proposer has been cancelled.
        future.exception()
