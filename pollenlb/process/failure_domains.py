"""Failure domains of backend servers: traffic to them, and where requests go."""

from __future__ import annotations

import random
from collections.abc import Sequence

from ..clock import now
from ..connection.backend import BackendServer
from ..ids import FailureDomain, ServiceName
from ..scheduling.domains import DomainChoice, view_domain
from .metrics import Metrics


class FailureDomains:
    """Keeps requests in the failure domain of the entry while its servers suffice.

    Implements ``ServerObserver``.

    Parameters
    ----------
    own : FailureDomain
        Failure domain of the entry.
    metrics : Metrics
        Counts the traffic within the failure domain and to others.
    rng : random.Random
        Draws the requests that leave.
    """

    def __init__(
        self, own: FailureDomain, metrics: Metrics, rng: random.Random
    ) -> None:
        self._own = own
        self._metrics = metrics
        self._rng = rng
        self._choices: dict[ServiceName, DomainChoice] = {}

    def select(
        self, service: ServiceName, servers: Sequence[BackendServer], far_cost_s: float
    ) -> list[BackendServer]:
        """Return the servers of the failure domain that gets the next request.

        Parameters
        ----------
        service : ServiceName
            Service of the request.
        servers : sequence of BackendServer
            Servers that can take it; at least one.
        far_cost_s : float
            Seconds of waiting that another failure domain is worth; 0 selects all.
        """
        if far_cost_s <= 0:
            return list(servers)
        choice = self._choices.setdefault(service, DomainChoice(self._own))
        by_domain: dict[FailureDomain, list[BackendServer]] = {}
        for server in servers:
            domain = server.announcement.failure_domain
            by_domain.setdefault(domain, []).append(server)
        views = [
            view_domain(domain, members, choice.latency_s(domain))
            for domain, members in by_domain.items()
        ]
        return by_domain[choice.choose(views, far_cost_s, now(), self._rng)]

    def record_latency(self, server: BackendServer, seconds: float) -> None:
        """Record the latency of an answer, if it did not wait for other requests."""
        announcement = server.announcement
        choice = self._choices.get(announcement.service)
        if choice is not None and server.load.expected_in_flight <= server.load.slots:
            choice.record_latency(announcement.failure_domain, seconds, now())

    def record_failure(self, server: BackendServer) -> None:
        """Record a failed request."""
        choice = self._choices.get(server.announcement.service)
        if choice is not None:
            choice.record_failure(server.announcement.failure_domain, now())

    def record_traffic(
        self, server: BackendServer, attempts: int, body_bytes: int
    ) -> None:
        """Count attempts, or bytes of the bodies of requests and answers."""
        labels = (server.announcement.service, "far" if server.is_far else "near")
        self._metrics.domain_attempts.labels(*labels).inc(attempts)
        self._metrics.domain_bytes.labels(*labels).inc(body_bytes)
