"""Load and speed of a backend server, as estimated by one entry process."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager

from ..clock import now

# An EWMA weight is the weight of a new value in a moving average.
_LATENCY_EWMA_WEIGHT = 0.2
_CANCELLED_EWMA_WEIGHT = 1.0
# Time constant with which a measured latency decays to the typical one.
_LATENCY_DECAY_S = 4.0
_EVENT_INTERVAL_EWMA_WEIGHT = 0.25
# Share by which the usual time between events changes with each event. It follows a
# lasting change by a factor of two within 70 events, less than half a second of a full
# engine, and changes by 8 % when all streams of an engine with 8 slots stall once.
_USUAL_INTERVAL_STEP_RATIO = 0.01
# Time constant with which the usual time between events decays to the typical one
# while an engine generates nothing.
_USUAL_INTERVAL_DECAY_S = 30.0
# Slowness changes several times a second, so older reports are not used.
_SLOWNESS_VALID_S = 0.3
_IN_FLIGHT_VALID_S = 1.0


class ServerLoad:
    """Estimated load and speed of one backend server.

    An entry process counts its own requests itself. It learns about the
    requests of other entry processes only from the backend server's reports,
    which arrive with a delay, in answers to requests and probes.

    Parameters
    ----------
    slots : int
        Number of requests that the backend server runs concurrently.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._started_at: dict[int, float] = {}
        self._next_number = 0
        self._long_in_flight = 0
        self._reported_in_flight = 0
        self._reported_at = float("-inf")
        self._own_in_flight_at_report = 0
        self._event_interval_s = 0.0
        self._usual_event_interval_s = 0.0
        self._event_interval_at = 0.0
        self._slowness = 0.0
        self._slowness_at = float("-inf")
        self._latency_s = 0.0
        self._latency_at = 0.0

    @property
    def slots(self) -> int:
        """Number of requests that the backend server runs concurrently."""
        return self._slots

    @property
    def in_flight(self) -> int:
        """Number of this entry's requests in flight at the backend server."""
        return len(self._started_at)

    @property
    def long_in_flight(self) -> int:
        """Number of this entry's long requests in flight at the backend server."""
        return self._long_in_flight

    @property
    def in_flight_per_slot(self) -> float:
        """Estimated requests in flight from all entries, per slot.

        Uses the last report, whatever its age.
        """
        own_since_report = self.in_flight - self._own_in_flight_at_report
        estimate = max(self.in_flight, self._reported_in_flight + own_since_report)
        return estimate / self._slots

    @property
    def expected_in_flight(self) -> int:
        """Estimated number of requests in flight from all entries.

        Without a recent report these are the entry's own requests only.
        """
        if now() > self._reported_at + _IN_FLIGHT_VALID_S:
            return self.in_flight
        others = max(0, self._reported_in_flight - self._own_in_flight_at_report)
        return self.in_flight + others

    @property
    def reported_slowness(self) -> float:
        """Ratio of the current to the usual duration of work, as reported.

        0 without a recent report.
        """
        is_fresh = now() < self._slowness_at + _SLOWNESS_VALID_S
        return self._slowness if is_fresh else 0.0

    @property
    def event_interval_s(self) -> float:
        """Smoothed time between two events of a stream, in seconds.

        0 before the first interval was measured.
        """
        return self._event_interval_s

    def usual_event_interval_s(self, typical_s: float) -> float:
        """Return the median time between two events of a stream, in seconds.

        Unlike ``event_interval_s``, it does not follow short stalls. It decays to
        the typical time while the server generates nothing.

        Parameters
        ----------
        typical_s : float
            Typical time of the service's backend servers, in seconds; 0 when
            unknown.
        """
        usual_s = self._usual_event_interval_s
        if not usual_s or not typical_s:
            return usual_s or typical_s
        passed_s = now() - self._event_interval_at
        weight = math.exp(-passed_s / _USUAL_INTERVAL_DECAY_S)
        return typical_s + weight * (usual_s - typical_s)

    @property
    def latency_s(self) -> float:
        """Smoothed latency of complete answers, in seconds.

        0 before the first answer.
        """
        return self._latency_s

    @property
    def oldest_request_age_s(self) -> float:
        """Age of this entry's oldest request in flight, in seconds.

        0 without a request in flight.
        """
        if not self._started_at:
            return 0.0
        return now() - next(iter(self._started_at.values()))

    def expected_latency_s(self, typical_s: float) -> float:
        """Return the expected latency of the next request, in seconds.

        The measured latency decays exponentially to the typical one, so that
        a server that was slow gets requests again.

        Parameters
        ----------
        typical_s : float
            Typical latency of the service's backend servers, in seconds.
        """
        if not self._latency_s:
            return typical_s
        weight = math.exp(-(now() - self._latency_at) / _LATENCY_DECAY_S)
        return typical_s + weight * (self._latency_s - typical_s)

    @contextmanager
    def track_request(self, is_long: bool) -> Iterator[None]:
        """Count a request as in flight while the context is open.

        Parameters
        ----------
        is_long : bool
            Whether the request also counts as a long one.
        """
        number = self._next_number
        self._next_number += 1
        self._started_at[number] = now()
        self._long_in_flight += is_long
        try:
            yield
        finally:
            del self._started_at[number]
            self._long_in_flight -= is_long

    def record_latency(self, latency_s: float) -> None:
        """Record the latency of a complete answer, in seconds."""
        if not self._latency_s:
            self._latency_s = latency_s
        self._latency_s += _LATENCY_EWMA_WEIGHT * (latency_s - self._latency_s)
        self._latency_at = now()

    def record_cancelled_attempt(self, waited_s: float) -> None:
        """Record a request that was cancelled because another server was faster.

        The estimate can only rise, since the time waited is a lower bound of
        the latency.

        Parameters
        ----------
        waited_s : float
            Time without an answer, in seconds.
        """
        known_s = self._latency_s or waited_s
        self._latency_s = max(
            known_s, known_s + _CANCELLED_EWMA_WEIGHT * (waited_s - known_s)
        )
        self._latency_at = now()

    def record_event_interval(self, seconds: float) -> None:
        """Record the time between two events of a stream, in seconds."""
        if not self._event_interval_s:
            self._event_interval_s = self._usual_event_interval_s = seconds
        is_slower = seconds > self._usual_event_interval_s
        step = 1 + _USUAL_INTERVAL_STEP_RATIO * (1 if is_slower else -1)
        self._usual_event_interval_s *= step
        self._event_interval_at = now()
        self._event_interval_s += _EVENT_INTERVAL_EWMA_WEIGHT * (
            seconds - self._event_interval_s
        )

    def record_slowness(self, slowness: float) -> None:
        """Record a reported ratio of the current to the usual duration of work."""
        self._slowness = slowness
        self._slowness_at = now()

    def record_reported_in_flight(self, in_flight: int) -> None:
        """Record how many requests the backend server reports to run or queue."""
        self._reported_in_flight = in_flight
        self._reported_at = now()
        self._own_in_flight_at_report = self.in_flight
