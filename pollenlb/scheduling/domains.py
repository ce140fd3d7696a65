"""Decides when requests leave the failure domain of their entry.

Answers domains whose own servers are too few for a while, where many entries with few
requests each must neither leave all at once nor return together, and slow or failing
links between domains, over which a request takes longer than it would wait at home.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from ..connection.backend import BackendServer
from ..ids import FailureDomain

# Requests that stay at home however long they wait there, so that this entry notices
# when the wait ends.
_MAX_LEAVING_RATIO = 0.9
# The share of requests that leave grows linearly over this range of saved waiting, as
# a multiple of the cost. Without a range, all entries would leave at the same load.
_RAMP_RATIO = 2.0
_MIN_RAMP_S = 0.01
# Time constants with which the share follows its target. Returning takes longer: a
# domain that was too small for a moment often is so again. Leaving with 1 s gave waits
# beyond the range above while a domain had 5/8 of the servers that it needed.
_LEAVE_TIME_CONSTANT_S = 0.5
_RETURN_TIME_CONSTANT_S = 4.0
# A domain gets no request for this long after a failure there, doubled with each
# consecutive one.
_MIN_AVOID_S = 1.0
_MAX_AVOID_S = 30.0
# Weight of a new value in the moving average of a domain's latency.
_LATENCY_EWMA_WEIGHT = 0.1
# Time constant with which a far domain's observed excess is forgotten: without
# requests there, nothing else shows that its link has recovered.
_EXCESS_DECAY_S = 10.0


@dataclass(frozen=True)
class DomainView:
    """What an entry knows of the servers of a service in one failure domain.

    Attributes
    ----------
    domain : FailureDomain
        The failure domain.
    wait_s : float
        Seconds that the next request is expected to wait for other requests there.
    """

    domain: FailureDomain
    wait_s: float


class DomainChoice:
    """Chooses the failure domain for requests of one service at one entry.

    It depends on the entry's own observations only. Times are monotonic, in seconds.

    Parameters
    ----------
    own : FailureDomain
        Failure domain of the entry.
    """

    def __init__(self, own: FailureDomain) -> None:
        self._own = own
        self._leaving_ratio = 0.0
        self._updated_at = -math.inf
        self._latencies_s: dict[FailureDomain, float] = {}
        self._observed_at: dict[FailureDomain, float] = {}
        self._failures: dict[FailureDomain, int] = {}
        self._avoided_until: dict[FailureDomain, float] = {}

    @property
    def leaving_ratio(self) -> float:
        """Smoothed share of the requests that leave the own domain."""
        return self._leaving_ratio

    def latency_s(self, domain: FailureDomain) -> float:
        """Return the observed latency of a domain in seconds; 0 when unknown."""
        return self._latencies_s.get(domain, 0.0)

    def record_latency(
        self, domain: FailureDomain, seconds: float, at_s: float
    ) -> None:
        """Record how long a request at a domain took that did not wait for others."""
        self._observed_at[domain] = at_s
        known_s = self._latencies_s.get(domain, seconds)
        self._latencies_s[domain] = known_s + _LATENCY_EWMA_WEIGHT * (seconds - known_s)
        self._failures.pop(domain, None)
        self._avoided_until.pop(domain, None)

    def record_failure(self, domain: FailureDomain, at_s: float) -> None:
        """Record a request at a domain that was lost or timed out."""
        failures = self._failures.get(domain, 0)
        avoid_s = min(_MAX_AVOID_S, _MIN_AVOID_S * 2 ** min(failures, 16))
        self._failures[domain] = failures + 1
        self._avoided_until[domain] = at_s + avoid_s

    def path_cost_s(
        self, domain: FailureDomain, far_cost_s: float, at_s: float
    ) -> float:
        """Return what a request to another domain costs, in seconds of waiting.

        This is the configured cost, or how much longer requests there were observed
        to take if that is more.

        Parameters
        ----------
        domain : FailureDomain
            The other domain.
        far_cost_s : float
            Configured cost in seconds.
        at_s : float
            Current time.
        """
        near_s = self._latencies_s.get(self._own)
        far_s = self._latencies_s.get(domain)
        if near_s is None or far_s is None:
            return far_cost_s
        age_s = max(0.0, at_s - self._observed_at[domain])
        excess_s = (far_s - near_s) * math.exp(-age_s / _EXCESS_DECAY_S)
        return max(far_cost_s, excess_s)

    def choose(
        self,
        views: Sequence[DomainView],
        far_cost_s: float,
        at_s: float,
        rng: random.Random,
    ) -> FailureDomain:
        """Return the failure domain for the next request.

        Parameters
        ----------
        views : sequence of DomainView
            Domains with a server that can take the request; at least one.
        far_cost_s : float
            Seconds of waiting that a request to another domain is worth.
        at_s : float
            Current time.
        rng : random.Random
            Draws whether this request leaves, and where to.
        """
        own = next((view for view in views if view.domain == self._own), None)
        others = [view for view in views if view.domain != self._own]
        if own is None:
            return self._nearest(others, far_cost_s, at_s)
        gains_s = {
            view.domain: own.wait_s
            - view.wait_s
            - self.path_cost_s(view.domain, far_cost_s, at_s)
            for view in others
            if at_s >= self._avoided_until.get(view.domain, -math.inf)
        }
        worth = {domain: gain_s for domain, gain_s in gains_s.items() if gain_s > 0}
        best_s = max(worth.values(), default=0.0)
        ramp_s = max(_MIN_RAMP_S, _RAMP_RATIO * far_cost_s)
        self._follow(min(_MAX_LEAVING_RATIO, best_s / ramp_s), at_s)
        # A domain that is the worse choice now gets nothing, whatever the share.
        if not worth or rng.random() >= self._leaving_ratio:
            return self._own
        return rng.choices(list(worth), list(worth.values()))[0]

    def _nearest(
        self, views: Sequence[DomainView], far_cost_s: float, at_s: float
    ) -> FailureDomain:
        """Return the best of other domains; those that are avoided come last."""
        return min(
            views,
            key=lambda view: (
                at_s < self._avoided_until.get(view.domain, -math.inf),
                view.wait_s + self.path_cost_s(view.domain, far_cost_s, at_s),
            ),
        ).domain

    def _follow(self, target: float, at_s: float) -> None:
        """Move the share of leaving requests towards a target."""
        is_rising = target > self._leaving_ratio
        constant_s = _LEAVE_TIME_CONSTANT_S if is_rising else _RETURN_TIME_CONSTANT_S
        elapsed_s = max(0.0, at_s - self._updated_at)
        self._updated_at = at_s
        weight = -math.expm1(-elapsed_s / constant_s)
        self._leaving_ratio += weight * (target - self._leaving_ratio)


def view_domain(
    domain: FailureDomain, servers: Sequence[BackendServer], latency_s: float
) -> DomainView:
    """Return the view of a domain whose least loaded server takes the next request.

    Parameters
    ----------
    domain : FailureDomain
        The domain.
    servers : sequence of BackendServer
        Its servers that can take the request; at least one.
    latency_s : float
        Seconds that a request there takes without waiting; 0 when unknown.
    """
    waits_s = [
        expected_wait_s(
            server.load.expected_in_flight,
            server.load.slots,
            latency_s or server.load.latency_s,
            server.load.expected_latency_s(latency_s) - latency_s if latency_s else 0.0,
        )
        for server in servers
    ]
    return DomainView(domain, min(waits_s))


def expected_wait_s(
    in_flight: float, slots: int, duration_s: float, excess_s: float = 0.0
) -> float:
    """Return how long the next request at a server waits for others, in seconds.

    Parameters
    ----------
    in_flight : float
        Requests at the server, from all entries as far as known.
    slots : int
        Requests that it runs concurrently.
    duration_s : float
        Time that a request takes without waiting.
    excess_s : float
        How much longer than that recent answers took.
    """
    queued = max(0.0, in_flight + 1 - slots)
    return max(queued / slots * duration_s, excess_s)
