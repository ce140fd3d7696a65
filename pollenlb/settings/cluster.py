"""The replicated configuration: services and routes, set by operators."""

from __future__ import annotations

import fnmatch
from functools import cached_property

from .options import (
    Choice,
    Flag,
    Integer,
    ListOf,
    Name,
    Number,
    Option,
    PathPrefix,
    Problem,
    Settings,
    TableOf,
    Text,
    Weights,
)

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
CLASSES = ("interactive", "short", "long")


class ServiceSettings(Settings):
    """A service: a set of backend servers that do the same work."""

    kind: Option[str] = Choice("engine", "plain")
    """Model engines speak completions; plain services are passed through."""

    checks_fencing = Flag(False)
    """Whether its backend servers refuse an order with an old fencing number."""

    long_share = Number(0, 1, 0.875)
    """Greatest share of a backend server's slots that long work may take."""

    max_swaps = Integer(1, 1000, 1)
    """Backend servers of the service that change weights at the same time."""

    swap_share = Number(0, 1, 0.0)
    """Share of them that may, where that is more than ``max_swaps``."""

    drained: Option[list] = ListOf(Text(), default=[])
    """Backend servers, by name, that get no new work."""

    health_path: Option[str] = PathPrefix("/healthz")
    """Path that tells whether a backend server is well, where it has one."""

    models: Option[list] = ListOf(Text(), default=[])
    """Models that its engines can load; without any, one named as the service."""

    max_connections = Integer(1, 1_000_000, 100_000)
    """Connections that a backend server accepts from all instances together."""


class RouteSettings(Settings):
    """Which requests go to a service, and how."""

    service: Option[str] = Name()
    """The service that answers."""

    path_prefix: Option[str] = PathPrefix("/")
    """Requests whose path starts with this."""

    host: Option[str] = Text("*")
    """Requests whose host matches; ``*`` matches any text."""

    methods: Option[list] = ListOf(Choice(*METHODS), default=list(METHODS))
    """Requests with these methods."""

    request_class: Option[str] = Choice(*CLASSES, default="interactive")
    """Class of requests that name none."""

    repeatable = Flag(False)
    """Whether requests that do not say so may be run more than once."""

    timeout_s = Number(0.001, 86_400, 30.0)
    """Seconds until the deadline of requests that name none."""

    retry_share = Number(0, 1, 0.1)
    """Retries and hedges allowed for each request, as a share."""

    weights: Option[dict] = Weights({})
    """Services by name that share the requests, in place of ``service``."""

    max_attempts = Integer(1, 1000, 4)
    """Backend servers to which one request may be sent."""

    target_latency_s = Number(0, 86_400, 0.0)
    """Seconds within which an answer is wanted; 0 when nothing is promised."""

    priority = Integer(0, 1000, 5)
    """Rank among the routes; lower numbers go first."""

    streaming = Flag(False)
    """Whether answers are streams of numbered events."""

    resumable = Flag(False)
    """Whether a broken stream may go on at another backend server."""

    batch_jobs = Flag(False)
    """Whether the route takes batch jobs in place of single requests."""

    due_s = Number(0, 86_400, 0.0)
    """Seconds after which the results of a batch job are wanted."""

    give_up_s = Number(0, 604_800, 600.0)
    """Seconds after which an item of a batch job may be given up."""

    single_version = Flag(False)
    """Whether one weight version must generate all of an item."""

    @property
    def services(self) -> dict[str, float]:
        """Weight by service that may answer."""
        shares = {name: each for name, each in self.weights.items() if each > 0}
        return shares or {self.service: 1.0}

    def matches(self, path: str, method: str) -> bool:
        """Tell whether a request to this route's host belongs to it.

        A prefix that ends with a slash takes only what lies below it.
        """
        if method not in self.methods:
            return False
        if self.path_prefix.endswith("/"):
            return path.startswith(self.path_prefix)
        return path == self.path_prefix or path.startswith(self.path_prefix + "/")


class ClusterSettings(Settings):
    """The configuration that all entries have in force."""

    services = TableOf(ServiceSettings, default={})
    """Services by name."""

    routes = TableOf(RouteSettings, default={})
    """Routes by name; the longest path prefix wins."""

    def further_problems(self) -> list[Problem]:
        """Check that every route leads to a service."""
        known = ", ".join(self.services) or "none"
        return [
            Problem(
                f"routes.{name}.service",
                f"{service!r} is not a service; known are {known}",
            )
            for name, route in self.routes.items()
            for service in (route.service, *route.weights)
            if service not in self.services
        ]

    def route_for(self, host: str, path: str, method: str) -> RouteSettings | None:
        """Return the route of a request, or None."""
        host = host.partition(":")[0]
        matching = [
            route for route in self._routes_of(host) if route.matches(path, method)
        ]
        if not matching:
            return None
        return max(matching, key=lambda each: (len(each.path_prefix), each.host != "*"))

    @cached_property
    def _by_host(self) -> dict[str, list[RouteSettings]]:
        found: dict[str, list[RouteSettings]] = {}
        for route in self.routes.values():
            found.setdefault(route.host, []).append(route)
        return found

    @cached_property
    def _patterns(self) -> list[str]:
        return [host for host in self._by_host if set(host) & set("*?[")]

    def _routes_of(self, host: str) -> list[RouteSettings]:
        found = list(self._by_host.get(host, ()))
        for pattern in self._patterns:
            if pattern != host and fnmatch.fnmatch(host, pattern):
                found.extend(self._by_host[pattern])
        return found
