"""Limits on the requests a second that backend servers take from all entries.

Every entry that knows of a limit may use a share of it. One part of the limit is
divided equally among all entries, so that an entry without contact to the leader can
still use its share. The leader grants the other part to the entries that have
requests for the server.
"""

from __future__ import annotations

import asyncio
import heapq
import math
import random
from collections.abc import Iterable, Mapping

from ..clock import Deadline, now, remaining_time_s
from ..ids import BackendServerName

# Shares of a limit, as ratios that add up to 1: the part that is divided equally and
# the part that the leader grants.
EQUAL_RATIO = 0.1
GRANTED_RATIO = 0.9
# Below this limit no answer would show for a long time that the limit has ended.
_MIN_LIMIT_PER_S = 0.1
# A share that is not used for this long is lost. Kept shares of many entries could
# otherwise be used at the same moment.
_KEPT_S = 0.5
_DEMAND_WINDOW_S = 1.0


class LimitShares:
    """Shares of this entry of the limits of all backend servers.

    Attributes
    ----------
    changed : asyncio.Event
        Set when the leader should learn at once that a limit has begun or ended,
        or that this entry has requests for a server with a limit.
    """

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self._entry_count = 1
        self._granted: dict[BackendServerName, float] = {}
        self._granted_until = Deadline(0.0)
        self._reported: set[BackendServerName] = set()

    def grant(
        self,
        granted: Mapping[BackendServerName, float],
        entry_count: int,
        until: Deadline,
    ) -> None:
        """Replace the shares.

        Parameters
        ----------
        granted : mapping
            Requests a second that the leader granted, by backend server.
        entry_count : int
            Number of live entries, this one included.
        until : Deadline
            Deadline of the lease with which they were granted.
        """
        self._granted = dict(granted)
        self._entry_count = max(1, entry_count)
        self._granted_until = until

    def record_report(self, wanted: Iterable[BackendServerName]) -> None:
        """Record for which backend servers the leader is told of a demand now."""
        self._reported = set(wanted)
        self.changed.clear()

    def record_demand(self, server: BackendServerName) -> None:
        """Record that there are requests for a backend server with a limit."""
        if server not in self._reported:
            self.changed.set()

    def granted_per_s(self, server: BackendServerName) -> float:
        """Return the granted share; 0 once the lease has expired."""
        if not remaining_time_s(self._granted_until):
            return 0.0
        return self._granted.get(server, 0.0)

    def share_per_s(self, server: BackendServerName, limit_per_s: float) -> float:
        """Return how many requests a second this entry may send."""
        equal_share_per_s = EQUAL_RATIO * limit_per_s / self._entry_count
        return equal_share_per_s + self.granted_per_s(server)


class RequestLimit:
    """Limit of one backend server, and what this entry has used of its share.

    The limit holds until an answer names none. Answers on different connections
    can overtake each other, so an answer without a limit counts only if its
    request was sent after the last answer that named one had arrived.

    Parameters
    ----------
    server : BackendServerName
        The backend server.
    shares : LimitShares
        This entry's shares.
    rng : random.Random
        Draws when the first request is allowed, which differs between entries.
    """

    def __init__(
        self, server: BackendServerName, shares: LimitShares, rng: random.Random
    ) -> None:
        self._server = server
        self._shares = shares
        self._rng = rng
        self._limit_per_s: float | None = None
        self._observed_at = float("-inf")
        self._allowed = 0.0
        self._allowed_at = 0.0
        self._window_started_at = float("-inf")
        self._requests_in_window = 0
        self._requests_in_last_window = 0
        self._waiting_items = 0
        self._waiting_items_at = float("-inf")

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second from all entries together; None without a limit."""
        return self._limit_per_s

    @property
    def observed_at(self) -> float:
        """When an answer last named the limit or showed that it had ended.

        Monotonic time in seconds; minus infinity before the first limit.
        """
        return self._observed_at

    @property
    def is_known(self) -> bool:
        """Whether there is a limit, or one has ended."""
        return self._observed_at > float("-inf")

    @property
    def share_per_s(self) -> float:
        """Requests a second that this entry may send; infinite without a limit."""
        if self._limit_per_s is None:
            return math.inf
        return self._shares.share_per_s(self._server, self._limit_per_s)

    @property
    def allowed_requests(self) -> float:
        """Number of requests that may be sent now; infinite without a limit."""
        if self._limit_per_s is None:
            return math.inf
        self._accrue()
        return self._allowed

    @property
    def may_send(self) -> bool:
        """Whether a request may be sent now."""
        return self.allowed_requests >= 1

    @property
    def demand(self) -> float:
        """Recent requests and waiting items that the server could have run."""
        self._turn_window()
        demand = self._requests_in_window + self._requests_in_last_window
        if now() < self._waiting_items_at + _DEMAND_WINDOW_S:
            demand += self._waiting_items
        return demand

    def observe(self, limit_per_s: float | None, sent_at: float) -> bool:
        """Record what an answer named, and return whether the limit changed.

        Parameters
        ----------
        limit_per_s : float or None
            Limit in the answer; None if it named none.
        sent_at : float
            Monotonic time in seconds at which its request was sent.
        """
        if limit_per_s is None and (
            self._limit_per_s is None or sent_at <= self._observed_at
        ):
            return False
        self._observed_at = now()
        if (limit_per_s is None) != (self._limit_per_s is None):
            self._shares.changed.set()
        return self._set_limit(limit_per_s)

    def learn(self, limit_per_s: float | None, observed_at: float) -> bool:
        """Apply what another entry observed, and return whether the limit changed.

        Parameters
        ----------
        limit_per_s : float or None
            Limit that the other entry observed; None if it saw the limit end.
        observed_at : float
            Monotonic time in seconds at which it observed this.
        """
        if observed_at <= self._observed_at:
            return False
        self._observed_at = observed_at
        return self._set_limit(limit_per_s)

    def record_demand(self) -> None:
        """Record that a request could run at the server."""
        self._turn_window()
        self._requests_in_window += 1
        self._announce_demand()

    def record_waiting_items(self, count: int) -> None:
        """Record how many items of batch jobs wait that could run at the server."""
        self._waiting_items = count
        self._waiting_items_at = now()
        self._announce_demand()

    def spend(self) -> None:
        """Use the share for one request.

        May be called although ``may_send`` is false, for a check that cannot wait;
        later requests then wait for longer.
        """
        if self._limit_per_s is not None:
            self._accrue()
            self._allowed -= 1

    def _announce_demand(self) -> None:
        if self._limit_per_s is not None:
            self._shares.record_demand(self._server)

    def _set_limit(self, limit_per_s: float | None) -> bool:
        if limit_per_s is not None:
            limit_per_s = max(_MIN_LIMIT_PER_S, limit_per_s)
        if self._limit_per_s is None and limit_per_s is not None:
            self._allowed = self._rng.random()
            self._allowed_at = now()
        elif self._limit_per_s is not None:
            self._accrue()
        is_changed = limit_per_s != self._limit_per_s
        self._limit_per_s = limit_per_s
        return is_changed

    def _accrue(self) -> None:
        share_per_s = self.share_per_s
        checked_at = now()
        self._allowed += share_per_s * (checked_at - self._allowed_at)
        self._allowed_at = checked_at
        lapsed = math.floor(self._allowed - share_per_s * _KEPT_S)
        self._allowed -= max(0, lapsed)

    def _turn_window(self) -> None:
        if now() < self._window_started_at + _DEMAND_WINDOW_S:
            return
        is_recent = now() < self._window_started_at + 2 * _DEMAND_WINDOW_S
        self._requests_in_last_window = self._requests_in_window if is_recent else 0
        self._requests_in_window = 0
        self._window_started_at = now()


def expected_wait_s(limits: Iterable[RequestLimit], waiting: int) -> float:
    """Return the seconds until one more request may be sent to one of the servers.

    The requests that wait already are sent first, each to the first server whose
    limit allows it.

    Parameters
    ----------
    limits : iterable of RequestLimit
        Limits of the servers that could run the request; at least one.
    waiting : int
        Number of requests that already wait for one of them.
    """
    waits_s = []
    for limit in limits:
        allowed, share_per_s = limit.allowed_requests, limit.share_per_s
        if math.isinf(allowed):
            return 0.0
        waits_s += [
            max(0.0, number - allowed) / share_per_s for number in range(1, waiting + 2)
        ]
    return heapq.nsmallest(waiting + 1, waits_s)[-1]
