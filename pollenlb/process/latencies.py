"""Recent latencies of a service, for the delay of hedges."""

from __future__ import annotations

from collections import deque

_MOST_VALUES = 256
_LEAST_VALUES = 20
_REFRESH_EVERY = 16


class RecentLatencies:
    """A quantile over the latest whole answers of a service.

    Parameters
    ----------
    quantile : float
        Which quantile, between 0 and 1.
    """

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._values: deque[float] = deque(maxlen=_MOST_VALUES)
        self._added = 0
        self._value_s: float | None = None

    @property
    def quantile_s(self) -> float | None:
        """The quantile in seconds, or None with too few answers."""
        return self._value_s

    def add(self, latency_s: float) -> None:
        """Take note of the latency of a whole answer."""
        self._values.append(latency_s)
        self._added += 1
        is_enough = len(self._values) >= _LEAST_VALUES
        if is_enough and (self._value_s is None or self._added % _REFRESH_EVERY == 0):
            ordered = sorted(self._values)
            self._value_s = ordered[int(self._quantile * (len(ordered) - 1))]
