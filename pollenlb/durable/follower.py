"""Replication from a leader to one other replica."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from result import Err, Ok

from ..clock import deadline_in, now, sleep_until
from ..ids import Address, LogIndex, Term
from ..release import UNREPORTED, Release
from .records import (
    APPEND,
    SNAPSHOT_BLOCK,
    AppendAnswer,
    AppendRequest,
    Member,
    SnapshotBlockRequest,
)
from .replica_interface import ReplicaInterface
from .snapshot_transfer import SnapshotSender

_MAX_ENTRIES_PER_MESSAGE = 256
_MAX_ENTRY_BYTES_PER_MESSAGE = 4 * 1024 * 1024
# Installing the last part of a large snapshot takes seconds.
_SNAPSHOT_TIMEOUT_S = 30.0


class Follower:
    """Replication state of one follower, and the task that replicates to it.

    Sends log entries, snapshots and heartbeats during one term. Members that are
    learners are followers, too.

    Parameters
    ----------
    replica : ReplicaInterface
        The replica that leads.
    term : Term
        The term that it leads.
    member : Member
        The replica that follows.
    on_answer : callable
        Awaited after each answer that was given in this term.

    Attributes
    ----------
    member : Member
        The replica that follows, as the member list has it at present.
    wake : asyncio.Event
        Set to send the next message without waiting for the heartbeat.
    task : asyncio.Task or None
        The task of ``run``.
    """

    def __init__(
        self,
        replica: ReplicaInterface,
        term: Term,
        member: Member,
        on_answer: Callable[[], Awaitable[None]],
    ) -> None:
        self._replica = replica
        self._term = term
        self._on_answer = on_answer
        self._next_index = LogIndex(replica.storage.last_index + 1)
        self._match_index = LogIndex(0)
        self._created_at = now()
        self._last_contact_at = float("-inf")
        self._progress_at = self._created_at
        self._is_stall_recorded = False
        self._reported_member = member
        self._release = UNREPORTED
        self._sender: SnapshotSender | None = None
        self._pending_since: float | None = None
        self.member = member
        self.wake = asyncio.Event()
        self.task: asyncio.Task | None = None

    @property
    def match_index(self) -> LogIndex:
        """Index of the last log entry that the follower is known to have synced."""
        return self._match_index

    @property
    def last_contact_at(self) -> float:
        """Monotonic time at which the latest answered message was sent, in seconds.

        Negative infinity before the first answer.
        """
        return self._last_contact_at

    @property
    def since_last_contact_s(self) -> float:
        """Seconds since the last contact, or since the start of the replication."""
        return now() - max(self._last_contact_at, self._created_at)

    @property
    def since_progress_s(self) -> float:
        """Seconds since the follower stored something new or lacked nothing."""
        return now() - self._progress_at

    @property
    def release(self) -> Release:
        """Release that the follower last reported in this term."""
        return self._release

    @property
    def reported_member(self) -> Member:
        """The member with the instance and failure domain that it last reported."""
        return msgspec.structs.replace(
            self.member,
            instance=self._reported_member.instance,
            failure_domain=self._reported_member.failure_domain,
        )

    def end(self) -> None:
        """Cancel the task, unless it is the one that calls this."""
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()

    def record_stall(self, after_s: float) -> None:
        """Record as an event, once for each time, that the follower makes no progress.

        Parameters
        ----------
        after_s : float
            Seconds without progress from which on it is recorded.
        """
        is_stalled = self.since_progress_s > after_s
        if is_stalled and not self._is_stall_recorded:
            self._replica.events.record(
                "follower.stalled",
                follower=self.member.replica,
                next_index=self._next_index,
                commit_index=self._replica.commit_index,
                since_contact_s=round(self.since_last_contact_s, 3),
            )
        self._is_stall_recorded = is_stalled

    async def run(self) -> None:
        """Replicate to the follower until the leadership of the term ends.

        Sends a heartbeat when no log entry is due; a failed call is retried after
        a heartbeat interval.
        """
        heartbeat_s = self._replica.settings.heartbeat_s
        heartbeats = self._replica.spawn(self._send_heartbeats())
        try:
            while self._is_term_current():
                self.wake.clear()
                if await self._send_next():
                    is_behind = self._next_index <= self._replica.storage.last_index
                    if not is_behind and not self.wake.is_set():
                        await self._wait_for_wake(heartbeat_s)
                else:
                    await sleep_until(deadline_in(heartbeat_s))
        finally:
            heartbeats.cancel()
            self._close_sender()

    async def _send_heartbeats(self) -> None:
        """Send heartbeats while the follower has not answered another message.

        It may wait for its disk, for instance to replace its log by a snapshot, which
        all followers do at about the same time.
        """
        heartbeat_s = self._replica.settings.heartbeat_s
        while self._is_term_current():
            await sleep_until(deadline_in(heartbeat_s))
            since = self._pending_since
            if since is not None and now() >= since + heartbeat_s:
                await self._send_heartbeat()

    async def _send_heartbeat(self) -> None:
        request = self._append_request(self._match_index, max_entry_count=0)
        if request is None:
            return
        sent_at = now()
        channel = self._replica.channel(self.member.address)
        timeout_s = self._replica.settings.election_timeout_s
        match await channel.call(APPEND, request, timeout_s):
            case Ok(answer):
                if answer.is_known and answer.term == self._term:
                    self._record_contact(answer, sent_at)
                    await self._on_answer()
            case Err(_):
                return

    def _is_term_current(self) -> bool:
        leadership = self._replica.leadership
        return leadership is not None and leadership.term == self._term

    async def _send_next(self) -> bool:
        sent_at = now()
        if self._next_index <= self._replica.storage.snapshot.index:
            request: Any = self._snapshot_block_request()
            method: Any = SNAPSHOT_BLOCK
            timeout_s = _SNAPSHOT_TIMEOUT_S
        else:
            request = self._append_request(
                LogIndex(self._next_index - 1), _MAX_ENTRIES_PER_MESSAGE
            )
            assert request is not None
            method = APPEND
            timeout_s = self._replica.settings.election_timeout_s
        channel = self._replica.channel(self.member.address)
        self._pending_since = sent_at
        try:
            result = await channel.call(method, request, timeout_s)
        finally:
            self._pending_since = None
        match result:
            case Ok(answer):
                return await self._process_answer(answer, sent_at)
            case Err(_):
                return False
        return False

    def _snapshot_block_request(self) -> SnapshotBlockRequest:
        state = self._replica.storage.hard_state
        if self._sender is None:
            self._sender = SnapshotSender(self._replica.storage)
        block = self._sender.next_block()
        return SnapshotBlockRequest(
            cluster=state.cluster,
            sender=state.replica,
            receiver=self.member.replica,
            term=self._term,
            leader_address=Address(self._replica.settings.listen),
            head=self._sender.head,
            offset=block.offset,
            total_bytes=self._sender.total_bytes,
            data=block.data,
            format=state.format,
        )

    def _close_sender(self) -> None:
        if self._sender is not None:
            self._sender.close()
            self._sender = None

    def _append_request(
        self, previous_index: LogIndex, max_entry_count: int
    ) -> AppendRequest | None:
        """Return the message with entries after one; None if its term is not known."""
        storage = self._replica.storage
        previous_term = storage.term_at(previous_index)
        if previous_term is None:
            return None
        return AppendRequest(
            cluster=storage.hard_state.cluster,
            sender=storage.hard_state.replica,
            receiver=self.member.replica,
            term=self._term,
            previous_term=previous_term,
            previous_index=previous_index,
            commit_index=self._replica.commit_index,
            leader_address=Address(self._replica.settings.listen),
            entries=storage.entries_from(
                LogIndex(previous_index + 1),
                max_entry_count,
                _MAX_ENTRY_BYTES_PER_MESSAGE,
            ),
            format=storage.hard_state.format,
        )

    async def _process_answer(self, answer: AppendAnswer, sent_at: float) -> bool:
        if not answer.is_known:
            return False
        if answer.term > self._term:
            await self._replica.observe_term(answer.term)
            return False
        self._record_contact(answer, sent_at)
        is_repeated = False
        if answer.received_bytes is not None and self._sender is not None:
            if self._sender.record_received(answer.received_bytes):
                self._progress_at = now()
            is_repeated = not answer.received_bytes
        elif answer.is_matching:
            self._close_sender()
            self._record_match(answer.last_index)
        else:
            retry_index = self._retry_index(answer)
            is_repeated = retry_index == self._next_index
            self._next_index = retry_index
        await self._on_answer()
        return not is_repeated

    def _record_contact(self, answer: AppendAnswer, sent_at: float) -> None:
        self._last_contact_at = max(self._last_contact_at, sent_at)
        self._release = answer.release
        self._reported_member = msgspec.structs.replace(
            self.member,
            instance=answer.instance or self.member.instance,
            failure_domain=answer.failure_domain,
        )

    def _record_match(self, last_index: LogIndex) -> None:
        last_index = min(last_index, self._replica.storage.last_index)
        is_newer = last_index > self._match_index
        if is_newer or last_index >= self._replica.commit_index:
            self._progress_at = now()
        self._match_index = LogIndex(max(self._match_index, last_index))
        self._next_index = LogIndex(self._match_index + 1)

    def _retry_index(self, answer: AppendAnswer) -> LogIndex:
        last_index = answer.last_index
        if last_index >= self._next_index:
            # A follower of an earlier release answers so when its snapshot is ahead.
            last_index = min(last_index, self._replica.storage.last_index)
            return LogIndex(last_index + 1)
        return LogIndex(max(1, last_index + 1))

    async def _wait_for_wake(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self.wake.wait()
        except TimeoutError:
            return
