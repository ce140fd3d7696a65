"""Load and speed of a backend server, as one entry sees them."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager

from ..clock import now

_LATENCY_WEIGHT = 0.2
_RACE_WEIGHT = 1.0
_FORGET_S = 4.0
_PIECE_WEIGHT = 0.25
_SLOWNESS_VALID_S = 0.3  # it changes several times a second
_REPORT_VALID_S = 1.0


class ServerLoad:
    """What an entry knows of a backend server's load and speed.

    The entry's own requests are known at once, those of other entries only
    from reports that come late, with answers and probes.

    Parameters
    ----------
    slots : int
        Requests that the backend server runs at the same time.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._started: dict[int, float] = {}
        self._next_ticket = 0
        self._long = 0
        self._reported = 0
        self._reported_at = float("-inf")
        self._own_at_report = 0
        self._piece_s = 0.0
        self._slowness = 0.0
        self._slowness_at = float("-inf")
        self._latency_s = 0.0
        self._latency_at = 0.0

    @property
    def slots(self) -> int:
        """Requests that the backend server runs at the same time."""
        return self._slots

    @property
    def in_flight(self) -> int:
        """Requests of this entry that the backend server has."""
        return len(self._started)

    @property
    def long_in_flight(self) -> int:
        """Long requests of this entry that the backend server has."""
        return self._long

    @property
    def per_slot(self) -> float:
        """Estimated requests of all entries for each slot."""
        own_since = self.in_flight - self._own_at_report
        estimate = max(self.in_flight, self._reported + own_since)
        return estimate / self._slots

    @property
    def expected_in_flight(self) -> int:
        """Requests of all entries that the backend server is likely to have."""
        if now() > self._reported_at + _REPORT_VALID_S:
            return self.in_flight
        others = max(0, self._reported - self._own_at_report)
        return self.in_flight + others

    @property
    def reported_slowness(self) -> float:
        """How many times longer than usual work takes, by a fresh report; or 0."""
        is_fresh = now() < self._slowness_at + _SLOWNESS_VALID_S
        return self._slowness if is_fresh else 0.0

    @property
    def event_interval_s(self) -> float:
        """Smoothed time between events of a stream, in seconds; 0 without any."""
        return self._piece_s

    @property
    def latency_s(self) -> float:
        """Smoothed latency of whole answers, in seconds; 0 without any."""
        return self._latency_s

    @property
    def oldest_s(self) -> float:
        """Age of the oldest request in flight, in seconds."""
        if not self._started:
            return 0.0
        return now() - next(iter(self._started.values()))

    def expected_s(self, typical_s: float) -> float:
        """Return the latency to expect, in seconds.

        What was seen long ago counts less, so that a server that was slow is
        tried again.

        Parameters
        ----------
        typical_s : float
            Latency of the service's backend servers in general.
        """
        if not self._latency_s:
            return typical_s
        weight = math.exp(-(now() - self._latency_at) / _FORGET_S)
        return typical_s + weight * (self._latency_s - typical_s)

    @contextmanager
    def running(self, is_long: bool) -> Iterator[None]:
        """Count a request as in flight."""
        ticket = self._next_ticket
        self._next_ticket += 1
        self._started[ticket] = now()
        self._long += is_long
        try:
            yield
        finally:
            del self._started[ticket]
            self._long -= is_long

    def note_latency(self, latency_s: float) -> None:
        """Take note of the latency of a whole answer."""
        if not self._latency_s:
            self._latency_s = latency_s
        self._latency_s += _LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._latency_at = now()

    def note_lost_race(self, waited_s: float) -> None:
        """Take note of a request that was given up for a faster server's answer.

        Parameters
        ----------
        waited_s : float
            Time without an answer, a lower bound of the latency.
        """
        known_s = self._latency_s or waited_s
        self._latency_s = max(known_s, known_s + _RACE_WEIGHT * (waited_s - known_s))
        self._latency_at = now()

    def record_event_interval(self, seconds: float) -> None:
        """Take note of the time between two events of a stream."""
        if not self._piece_s:
            self._piece_s = seconds
        self._piece_s += _PIECE_WEIGHT * (seconds - self._piece_s)

    def note_slowness(self, slowness: float) -> None:
        """Take note of how many times longer than usual work takes there."""
        self._slowness = slowness
        self._slowness_at = now()

    def note_report(self, in_flight: int) -> None:
        """Take note of the requests that the backend server says it has."""
        self._reported = in_flight
        self._reported_at = now()
        self._own_at_report = self.in_flight
