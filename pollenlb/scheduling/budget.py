"""Budget of retries and hedged requests (a token bucket)."""

from __future__ import annotations

_MAX_TOKEN_COUNT = 10.0


class RetryBudget:
    """Allows a share of a service's requests to be sent a second time.

    Each request adds a fraction of a token and each retry takes one token, so
    that retries cannot multiply the load of a service that fails.
    """

    def __init__(self) -> None:
        self._tokens = _MAX_TOKEN_COUNT

    @property
    def tokens(self) -> float:
        """Number of retries that are allowed at present."""
        return self._tokens

    def add_request(self, retry_share: float) -> None:
        """Add the tokens of one request.

        Parameters
        ----------
        retry_share : float
            Number of retries that each request allows, usually less than 1.
        """
        self._tokens = min(_MAX_TOKEN_COUNT, self._tokens + retry_share)

    def exhaust(self) -> None:
        """Allow no retry until further requests have added tokens."""
        self._tokens = 0.0

    def try_spend(self) -> bool:
        """Take one token for a retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
