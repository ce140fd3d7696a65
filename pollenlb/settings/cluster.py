"""The replicated configuration: services and routes, set by operators."""

from __future__ import annotations

import fnmatch

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

    drained: Option[list] = ListOf(Text(), default=[])
    """Backend servers, by name, that get no new work."""


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

    timeout_s = Number(0.1, 86_400, 30.0)
    """Seconds until the deadline of requests that name none."""

    retry_share = Number(0, 1, 0.1)
    """Retries and hedges allowed for each request, as a share."""

    def matches(self, host: str, path: str, method: str) -> bool:
        """Tell whether a request belongs to this route."""
        if method not in self.methods:
            return False
        if not fnmatch.fnmatch(host.partition(":")[0], self.host):
            return False
        prefix = self.path_prefix.rstrip("/")
        return path == prefix or path.startswith(prefix + "/") or not prefix


class ClusterSettings(Settings):
    """The configuration that all entries have in force."""

    services = TableOf(ServiceSettings, default={})
    """Services by name."""

    routes = TableOf(RouteSettings, default={})
    """Routes by name; the longest path prefix wins."""

    def further_problems(self) -> list[Problem]:
        """Check that every route leads to a service."""
        return [
            Problem(
                f"routes.{name}.service",
                f"{route.service!r} is not a service; "
                f"known are {', '.join(self.services) or 'none'}",
            )
            for name, route in self.routes.items()
            if route.service not in self.services
        ]

    def route_for(self, host: str, path: str, method: str) -> RouteSettings | None:
        """Return the route of a request, or None."""
        matching = [
            route for route in self.routes.values() if route.matches(host, path, method)
        ]
        if not matching:
            return None
        return max(matching, key=lambda each: (len(each.path_prefix), each.host != "*"))
