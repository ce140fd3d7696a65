"""Counters and latency histograms of an entry."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from ..connection.pool import OpeningReason
from ..ids import WorkspaceName
from ..release import THIS_RELEASE
from .workspace_labels import WorkspaceLabels

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2

_MICROSECONDS_PER_SECOND = 1_000_000


class Metrics:
    """Counters and latency histograms of an entry process.

    The counters are served in the Prometheus text format, the histograms in the
    exchange format of HdrHistogram.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.requests = self._counter(
            "requests",
            "Requests by service, class and outcome",
            "service class outcome",
        )
        self.attempts = self._counter(
            "attempts", "Attempts by service and result", "service result"
        )
        self.retries = self._counter("retries", "Second attempts", "service")
        self.hedges = self._counter("hedges", "Hedged attempts", "service")
        self.samples = self._counter("samples", "Samples by job and fate", "job fate")
        self.items = self._counter(
            "items", "Runs of items of batch jobs by end", "service end"
        )
        self.refused_items = self._counter(
            "refused_items",
            "Runs of items that an engine refused, by whether a load was known",
            "service load",
        )
        self.reward_calls = self._counter(
            "reward_calls", "Attempts of reward calls by service and end", "service end"
        )
        self.unknown_fields = self._counter(
            "unknown_fields", "Batch jobs with a field that has no effect", "field"
        )
        self.refused_keys = self._counter(
            "refused_keys", "Requests without a known key of a workspace", "reason"
        )
        self.usage = self._counter(
            "usage",
            "Requests of workspaces counted for usage reports, by what was done",
            "action",
        )
        self.opened_connections = self._counter(
            "opened_connections",
            "New connections to backend servers by service and reason; checks of "
            "servers have no service",
            "service reason",
        )
        self.reused_connections = self._counter(
            "reused_connections",
            "Requests to backend servers on an idle connection by service",
            "service",
        )
        self.domain_attempts = self._counter(
            "domain_attempts",
            "Attempts by service and whether they left the failure domain",
            "service path",
        )
        self.domain_bytes = self._counter(
            "domain_bytes",
            "Bytes of the bodies of requests and complete answers by service and "
            "whether they crossed the border of the failure domain",
            "service path",
        )
        self._workspace_requests = self._counter(
            "workspace_requests",
            "Requests by workspace and outcome",
            "workspace outcome",
        )
        self._workspace_turns = self._counter(
            "workspace_turns",
            "Requests sent within or beyond a workspace's share, or refused",
            "workspace turn",
        )
        self._workspace_labels = WorkspaceLabels()
        self.closed_connections = self._counter(
            "closed_connections", "Connections closed at a limit", "reason"
        )
        self.relayed = self._counter(
            "relayed", "Requests sent to another entry by result", "result"
        )
        self.in_flight = Gauge(
            "pollenlb_in_flight", "Requests in flight", registry=self._registry
        )
        Gauge(
            "pollenlb_release",
            "Release that the process runs",
            ["version"],
            registry=self._registry,
        ).labels(THIS_RELEASE.version).set(1)
        self._latencies: dict[str, HdrHistogram] = {}

    @property
    def latencies(self) -> dict[str, HdrHistogram]:
        """Latency histograms in microseconds, by ``service/class``."""
        return self._latencies

    def record_connection(self, service: str, reason: OpeningReason | None) -> None:
        """Count the connection of a request to a backend server.

        Parameters
        ----------
        service : str
            Service of the request; empty for a check of a server.
        reason : OpeningReason or None
            Why it was opened; None for a reused one.
        """
        if reason is None:
            self.reused_connections.labels(service).inc()
        else:
            self.opened_connections.labels(service, reason.value).inc()

    def record_latency(self, name: str, seconds: float) -> None:
        """Add one latency in seconds to a histogram.

        Values outside the range of the histogram are clamped to it.

        Parameters
        ----------
        name : str
            Key of the histogram, ``service/class``.
        seconds : float
            Latency of a request.
        """
        histogram = self._latencies.get(name)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._latencies[name] = histogram
        value_us = int(seconds * _MICROSECONDS_PER_SECOND)
        histogram.record_value(max(MIN_LATENCY_US, min(value_us, MAX_LATENCY_US)))

    def record_workspace_request(
        self, workspace: WorkspaceName | None, outcome: str
    ) -> None:
        """Count a request of a workspace by its outcome."""
        label = self._workspace_labels.label(workspace)
        self._workspace_requests.labels(label, outcome).inc()

    def record_turn(self, workspace: WorkspaceName | None, turn: str) -> None:
        """Count a turn of a workspace.

        Parameters
        ----------
        workspace : WorkspaceName or None
            The workspace; None for a caller without one.
        turn : str
            ``share`` or ``lent`` for a request that was sent, else ``refused``.
        """
        label = self._workspace_labels.label(workspace)
        self._workspace_turns.labels(label, turn).inc()

    def encoded_latencies(self) -> dict[str, str]:
        """Return the histograms in the HdrHistogram exchange format, by name."""
        return {
            name: histogram.encode().decode()
            for name, histogram in self._latencies.items()
        }

    def exposition(self) -> bytes:
        """Return all counters in the Prometheus text format."""
        return generate_latest(self._registry)

    def _counter(self, name: str, text: str, labels: str) -> Counter:
        return Counter(
            f"pollenlb_{name}", text, labels.split(), registry=self._registry
        )
