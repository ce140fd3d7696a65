"""What a leader knows of one other replica, and the task that feeds it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from result import Err, Ok

from ..clock import deadline_in, now, sleep_until
from ..ids import Address, LogIndex, Term
from .records import (
    APPEND,
    SNAPSHOT,
    AppendAnswer,
    AppendRequest,
    Member,
    SnapshotRequest,
)
from .replica_parts import ReplicaParts

_ENTRIES_PER_MESSAGE = 256
_SNAPSHOT_TIMEOUT_S = 30.0


class Follower:
    """Sends entries, snapshots and heartbeats to one replica during a term.

    Parameters
    ----------
    replica : ReplicaParts
        The replica that leads.
    term : Term
        The term that it leads.
    member : Member
        The replica that follows.
    on_answer : callable
        Called after each answer of the term.
    """

    def __init__(
        self,
        replica: ReplicaParts,
        term: Term,
        member: Member,
        on_answer: Callable[[], Awaitable[None]],
    ) -> None:
        self._replica = replica
        self._term = term
        self._on_answer = on_answer
        self._next_index = LogIndex(replica.storage.last_index + 1)
        self._match_index = LogIndex(0)
        self._followed_since = now()
        self._answered_at = float("-inf")
        self._named = member
        self.member = member
        self.wake = asyncio.Event()
        self.task: asyncio.Task | None = None

    @property
    def match_index(self) -> LogIndex:
        """Index up to which its synced log is known to match."""
        return self._match_index

    @property
    def answered_at(self) -> float:
        """When the latest message that it answered was sent, in seconds."""
        return self._answered_at

    @property
    def silent_s(self) -> float:
        """Seconds since it answered, or since it is followed up."""
        return now() - max(self._answered_at, self._followed_since)

    @property
    def named(self) -> Member:
        """The member with the instance and failure domain that it last told."""
        return msgspec.structs.replace(
            self.member,
            instance=self._named.instance,
            failure_domain=self._named.failure_domain,
        )

    def end(self) -> None:
        """Cancel the task, unless it is the one that runs."""
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()

    async def run(self) -> None:
        """Feed the replica for as long as the term."""
        heartbeat_s = self._replica.settings.heartbeat_s
        while self._is_term_led():
            self.wake.clear()
            if await self._send_next():
                is_behind = self._next_index <= self._replica.storage.last_index
                if not is_behind and not self.wake.is_set():
                    await self._wait_for_wake(heartbeat_s)
            else:
                await sleep_until(deadline_in(heartbeat_s))

    def _is_term_led(self) -> bool:
        leadership = self._replica.leadership
        return leadership is not None and leadership.term == self._term

    async def _send_next(self) -> bool:
        sent_at = now()
        if self._next_index <= self._replica.storage.snapshot.index:
            request: Any = self._snapshot_request()
            method: Any = SNAPSHOT
            timeout_s = _SNAPSHOT_TIMEOUT_S
        else:
            request = self._append_request()
            method = APPEND
            timeout_s = self._replica.settings.election_timeout_s
        channel = self._replica.channel(self.member.address)
        match await channel.call(method, request, timeout_s):
            case Ok(answer):
                return await self._take_answer(answer, sent_at)
            case Err(_):
                return False
        return False

    def _snapshot_request(self) -> SnapshotRequest:
        state = self._replica.storage.hard_state
        return SnapshotRequest(
            cluster=state.cluster,
            sender=state.replica,
            receiver=self.member.replica,
            term=self._term,
            leader_address=Address(self._replica.settings.listen),
            snapshot=self._replica.storage.snapshot,
        )

    def _append_request(self) -> AppendRequest:
        storage = self._replica.storage
        previous = LogIndex(self._next_index - 1)
        previous_term = storage.term_at(previous)
        assert previous_term is not None
        return AppendRequest(
            cluster=storage.hard_state.cluster,
            sender=storage.hard_state.replica,
            receiver=self.member.replica,
            term=self._term,
            previous_term=previous_term,
            previous_index=previous,
            commit_index=self._replica.commit_index,
            leader_address=Address(self._replica.settings.listen),
            entries=storage.entries_from(self._next_index, _ENTRIES_PER_MESSAGE),
        )

    async def _take_answer(self, answer: AppendAnswer, sent_at: float) -> bool:
        if not answer.is_known:
            return False
        if answer.term > self._term:
            await self._replica.observe_term(answer.term)
            return False
        self._answered_at = max(self._answered_at, sent_at)
        self._named = msgspec.structs.replace(
            self.member,
            instance=answer.instance or self.member.instance,
            failure_domain=answer.failure_domain,
        )
        if answer.is_matching:
            matched = max(self._match_index, answer.last_index)
            self._match_index = LogIndex(matched)
            self._next_index = LogIndex(matched + 1)
        else:
            hint = min(answer.last_index + 1, self._next_index)
            self._next_index = LogIndex(max(1, hint))
        await self._on_answer()
        return True

    async def _wait_for_wake(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self.wake.wait()
        except TimeoutError:
            return
