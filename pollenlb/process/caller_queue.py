"""Callers' requests of one service that wait at this entry for their turn.

Used where callers need keys of workspaces. What waits here and not inside a server can
still be served in the order of priority and share, and be refused early.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..clock import Deadline, now
from ..ids import Fingerprint
from ..scheduling.fair_queue import FairQueue, Flow
from ..scheduling.fair_share import FairShares

# A caller waits at most this part of its target latency before a refusal. It then has
# most of the time left for another entry or a later attempt.
_WAIT_RATIO = 0.25
# Longest wait on a route without a target latency.
_MAX_WAIT_S = 1.0
_CHECK_INTERVAL_S = 0.01
# A request that got a turn counts as in flight at a server within this time.
_START_S = 0.005
# Waiting requests of one service; more would not be served within their waits.
_MAX_WAITING = 1000
# A refusal is remembered for this long after the caller may come back.
_KEPT_S = 5.0
_MAX_REMEMBERED = 10_000


class TurnRefusedError(Exception):
    """A request is not expected to be sent within the time that it may wait.

    Parameters
    ----------
    retry_after_s : float
        Seconds after which its turn is expected.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("the servers are busy and the workspace's share is used up")
        self.retry_after_s = retry_after_s


@dataclass(eq=False)
class QueuedRequest:
    """A caller's request, as far as its turn depends on it.

    Attributes
    ----------
    flow : Flow
        Workspace and priority.
    waits_until : Deadline
        When it is refused if it has not been sent.
    fingerprint : Fingerprint
        Recognizes the request when its caller comes back after a refusal.
    has_turn : bool
        Whether it may be sent to a server.
    is_within_share : bool
        Whether that is within the workspace's share.
    """

    flow: Flow
    waits_until: Deadline
    fingerprint: Fingerprint
    has_turn: bool = False
    is_within_share: bool = False
    is_known: bool = field(default=False, repr=False)
    is_returning: bool = field(default=False, repr=False)
    done: asyncio.Future[None] | None = field(default=None, repr=False)


def wait_deadline(
    received_at: float, target_latency_s: float, deadline: Deadline
) -> Deadline:
    """Return until when a caller's request may wait before it is refused.

    Parameters
    ----------
    received_at : float
        Monotonic time in seconds at which it arrived.
    target_latency_s : float
        Seconds within which a response is wanted; 0 for no target.
    deadline : Deadline
        Deadline of the request.
    """
    if target_latency_s:
        wait_s = _WAIT_RATIO * target_latency_s
    else:
        wait_s = min(_MAX_WAIT_S, _WAIT_RATIO * max(0.0, deadline - received_at))
    return Deadline(min(deadline, received_at + wait_s))


class CallerQueue:
    """Turns of callers' requests of one service.

    Parameters
    ----------
    rng : random.Random
        Spreads the times at which refused callers come back.
    count_room : callable
        Returns how many requests this entry may send to servers now.
    count_admitting : callable
        Returns how many servers would take one more request into their queues. A
        request that may be sent goes there rather than being refused.
    """

    def __init__(
        self,
        rng: random.Random,
        count_room: Callable[[], int],
        count_admitting: Callable[[], int],
    ) -> None:
        self._count_room = count_room
        self._count_admitting = count_admitting
        self._shares = FairShares(rng)
        self._queue: FairQueue[QueuedRequest] = FairQueue()
        self._refused: dict[Fingerprint, Deadline] = {}
        self._check: asyncio.TimerHandle | None = None
        self._waiting: set[QueuedRequest] = set()
        self._served_at = 0.0
        self._starting = 0

    def __len__(self) -> int:
        return len(self._queue)

    async def wait_for_turn(self, request: QueuedRequest) -> None:
        """Return once a request may be sent to a server.

        Raises
        ------
        TurnRefusedError
            When it is not expected to be sent in time; at once if this is known.
        """
        is_new, request.is_known = not request.is_known, True
        if is_new:
            request.is_returning = self._refused.pop(request.fingerprint, 0.0) > now()
            self._shares.record_arrival(request.flow, now())
        request.done = asyncio.get_running_loop().create_future()
        self._queue.add(request, request.flow, request.is_returning)
        self._waiting.add(request)
        try:
            has_room = self._serve()
            if is_new and not has_room:
                self._shares.record_no_room(now())
            if len(self._queue) > _MAX_WAITING and not request.done.done():
                self._refuse(request)
            await request.done
        finally:
            self._queue.remove(request, request.flow)
            self._waiting.discard(request)

    def record_answer(self, in_flight_per_slot: float, slots: int) -> None:
        """Record the load that a server reported in an answer.

        Parameters
        ----------
        in_flight_per_slot : float
            Requests that it runs and queues, per slot.
        slots : int
            Requests that it runs concurrently.
        """
        self._shares.record_load(in_flight_per_slot * slots, slots, now())

    def record_full_server(self, request: QueuedRequest) -> None:
        """Record that a server refused a request without running it.

        The request loses its turn; if it is within its share, it has the next one.
        """
        self._shares.record_full_server(now())
        if request.has_turn:
            request.has_turn = False
            flow, is_within_share = request.flow, request.is_within_share
            self._shares.record_not_served(flow, is_within_share, now())

    def retry_after_s(self, request: QueuedRequest) -> float:
        """Return when a refused caller may come back, and remember it until then."""
        at = now()
        retry_after_s = self._shares.retry_after_s(request.flow, at)
        if len(self._refused) >= _MAX_REMEMBERED:
            del self._refused[next(iter(self._refused))]
        until = Deadline(at + retry_after_s + _KEPT_S)
        self._refused[request.fingerprint] = until
        return retry_after_s

    def _serve(self) -> bool:
        """Give turns to waiting requests, and refuse those that cannot have one.

        Returns
        -------
        bool
            Whether any server had room.
        """
        at = now()
        room = max(0, self._count_room() - self._starting)
        waited_s = at - self._served_at if self._check is not None else 0.0
        served = 0
        while served < room:
            request = self._take(at)
            if request is None:
                break
            self._give_turn(request, at)
            served += 1
        if waited_s:
            self._shares.record_queue(waited_s, served, at)
        self._served_at = at
        self._refuse_late(at)
        self._refuse_hopeless(served < room, at)
        self._schedule_check()
        return room > 0

    def _refuse_late(self, at: float) -> None:
        for request in [each for each in self._waiting if each.waits_until <= at]:
            self._send_or_refuse(request, at)

    def _refuse_hopeless(self, has_room: bool, at: float) -> None:
        """Refuse the last requests of flows that wait longer than they may."""
        for flow in self._queue.flows:
            while (request := self._queue.last_of(flow)) is not None:
                ahead = self._queue.ahead_of(flow) - 1
                wait_s = self._shares.expected_wait_s(flow, ahead, has_room, at)
                if at + wait_s <= request.waits_until:
                    break
                self._send_or_refuse(request, at)

    def _send_or_refuse(self, request: QueuedRequest, at: float) -> None:
        """Let servers queue what is served up to a request, or refuse it."""
        while request in self._waiting and self._count_admitting() > self._starting:
            first = self._take(at)
            if first is None:
                break
            self._give_turn(first, at)
        if request in self._waiting:
            self._refuse(request)

    def _take(self, at: float) -> QueuedRequest | None:
        return self._queue.take(
            lambda flow, is_returning: self._shares.may_send(flow, at, is_returning)
        )

    def _give_turn(self, request: QueuedRequest, at: float) -> None:
        flow, is_returning = request.flow, request.is_returning
        request.is_within_share = self._shares.record_sent(flow, at, is_returning)
        request.has_turn = True
        self._starting += 1
        asyncio.get_running_loop().call_later(_START_S, self._on_started)
        self._waiting.discard(request)
        if request.done is not None and not request.done.done():
            request.done.set_result(None)

    def _refuse(self, request: QueuedRequest) -> None:
        self._queue.remove(request, request.flow)
        self._waiting.discard(request)
        if request.done is not None and not request.done.done():
            request.done.set_exception(TurnRefusedError(self.retry_after_s(request)))

    def _schedule_check(self) -> None:
        if self._check is not None:
            self._check.cancel()
            self._check = None
        if self._waiting:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(_CHECK_INTERVAL_S, self._check_now)

    def _on_started(self) -> None:
        self._starting -= 1

    def _check_now(self) -> None:
        self._serve()
