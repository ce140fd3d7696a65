"""Budget of retries and hedges."""

from __future__ import annotations

_MOST_TOKENS = 10.0


class RetryBudget:
    """Allows a share of a service's requests to be sent a second time.

    Each request adds a share of a token, each retry takes a whole one, so
    that retries cannot multiply the load of a service that fails.
    """

    def __init__(self) -> None:
        self._tokens = _MOST_TOKENS

    @property
    def tokens(self) -> float:
        """Retries that are allowed at present."""
        return self._tokens

    def add_request(self, share: float) -> None:
        """Count a request that allows a share of a retry."""
        self._tokens = min(_MOST_TOKENS, self._tokens + share)

    def exhaust(self) -> None:
        """Allow no retry until requests have added to the budget."""
        self._tokens = 0.0

    def try_spend(self) -> bool:
        """Take a token for a retry, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
