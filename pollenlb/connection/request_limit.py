"""Limit on the requests a second that a backend server takes from all entries."""

from __future__ import annotations

from ..clock import now


class RequestLimit:
    """Limit that a backend server named in its answers, as one entry knows it.

    The limit holds until an answer names none. Answers on different connections
    can overtake each other, so an answer without a limit counts only if its
    request was sent after the last answer that named one had arrived.
    """

    def __init__(self) -> None:
        self._limit_per_s: float | None = None
        self._named_at = float("-inf")

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second from all entries together; None without a limit."""
        return self._limit_per_s

    def observe(self, limit_per_s: float | None, sent_at: float) -> bool:
        """Record what an answer named, and return whether the limit changed.

        Parameters
        ----------
        limit_per_s : float or None
            Limit in the answer; None if it named none.
        sent_at : float
            Monotonic time in seconds at which its request was sent.
        """
        if limit_per_s is None and sent_at <= self._named_at:
            return False
        if limit_per_s is not None:
            self._named_at = now()
        is_changed = limit_per_s != self._limit_per_s
        self._limit_per_s = limit_per_s
        return is_changed
