"""Recent latencies of a service, from which the hedging delay is computed."""

from __future__ import annotations

from collections import deque

_MAX_LATENCY_COUNT = 256
_MIN_LATENCY_COUNT = 20
# The quantile is computed again once per this many added latencies.
_REFRESH_INTERVAL_COUNT = 16


class RecentLatencies:
    """Quantile of the latencies of a service's latest complete answers.

    Parameters
    ----------
    quantile : float
        Quantile to compute, between 0 and 1.
    """

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._latencies_s: deque[float] = deque(maxlen=_MAX_LATENCY_COUNT)
        self._added_count = 0
        self._quantile_s: float | None = None

    @property
    def quantile_s(self) -> float | None:
        """The quantile in seconds, or None until there are enough answers."""
        return self._quantile_s

    def add(self, latency_s: float) -> None:
        """Add the latency of a complete answer, in seconds."""
        self._latencies_s.append(latency_s)
        self._added_count += 1
        is_enough = len(self._latencies_s) >= _MIN_LATENCY_COUNT
        if is_enough and (
            self._quantile_s is None or self._added_count % _REFRESH_INTERVAL_COUNT == 0
        ):
            ordered = sorted(self._latencies_s)
            self._quantile_s = ordered[int(self._quantile * (len(ordered) - 1))]
