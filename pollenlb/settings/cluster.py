"""The replicated configuration: services and routes, changed by operators."""

from __future__ import annotations

import fnmatch
import hashlib
import hmac
from functools import cached_property

from ..ids import WorkspaceName
from .options import (
    Choice,
    Flag,
    Integer,
    ListOf,
    Name,
    Number,
    Option,
    Problem,
    Settings,
    TableOf,
    Text,
    UrlPath,
    Weights,
)

HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
DEFAULT_PRIORITY = 5
REQUEST_CLASSES = ("interactive", "short", "long")


class ServiceSettings(Settings):
    """A service: a set of backend servers that do the same work."""

    kind: Option[str] = Choice("engine", "plain")
    """Engines serve completions; requests to plain services are passed through."""

    checks_fencing = Flag(False)
    """Whether backend servers reject orders with an outdated fencing number."""

    long_share = Number(0, 1, 0.875)
    """Largest share of a backend server's slots that long-running work may take."""

    max_swaps = Integer(1, 1000, 1)
    """Greatest number of backend servers that change weights concurrently."""

    swap_share = Number(0, 1, 0.0)
    """Share that may do so; the larger of this and ``max_swaps`` is the limit."""

    drained: Option[list] = ListOf(Text(), default=[])
    """Names of backend servers that get no new work."""

    health_path: Option[str] = UrlPath("/healthz")
    """Path of the health check of backend servers that have one."""

    models: Option[list] = ListOf(Text(), default=[])
    """Models that its engines can load; if empty, one model with the service's name."""

    far_cost_s = Number(0, 60, 0.0)
    """Seconds of waiting that a request to another failure domain is worth; 0 ignores
    failure domains."""

    max_connections = Integer(1, 1_000_000, 100_000)
    """Connections that a backend server accepts from all instances in total."""

    min_servers = Integer(0, 10_000, 0)
    """Fewest backend servers that may be ordered for a failure domain."""

    max_servers = Integer(0, 10_000, 0)
    """Most backend servers that may be ordered for one; 0: none are ordered."""

    start_s = Number(0, 86_400, 10.0)
    """Seconds from an order until a new backend server serves."""

    reclaimable_price = Number(0, 1_000_000, 1.0)
    """Price of a server that may be reclaimed, relative to others of its domain."""

    domain_prices: Option[dict] = Weights({})
    """Price of a backend server by failure domain; 1 where none is given."""


class RouteSettings(Settings):
    """Which requests go to which service, and how they are handled."""

    service: Option[str] = Name()
    """Name of the service that handles the requests."""

    path_prefix: Option[str] = UrlPath("/")
    """Prefix of the request paths that the route matches."""

    host: Option[str] = Text("*")
    """Pattern of the hosts that the route matches; ``*`` matches any text."""

    methods: Option[list] = ListOf(Choice(*HTTP_METHODS), default=list(HTTP_METHODS))
    """HTTP methods that the route matches."""

    request_class: Option[str] = Choice(*REQUEST_CLASSES, default="interactive")
    """Class of requests that do not name one."""

    repeatable = Flag(False)
    """Whether requests may be executed more than once unless they say otherwise."""

    timeout_s = Number(0.001, 86_400, 30.0)
    """Timeout, in seconds, of requests that do not set one."""

    retry_share = Number(0, 1, 0.1)
    """Retries and hedged requests allowed, as a share of the number of requests."""

    weights: Option[dict] = Weights({})
    """Weights by service name, to split requests; used in place of ``service``."""

    max_attempts = Integer(1, 1000, 4)
    """Greatest number of attempts for one request, hedged requests included."""

    target_latency_s = Number(0, 86_400, 0.0)
    """Seconds within which a response is wanted; 0 for no target."""

    priority = Integer(0, 1000, DEFAULT_PRIORITY)
    """Priority among the routes; lower numbers go first."""

    streaming = Flag(False)
    """Whether responses are streams of numbered events."""

    resumable = Flag(False)
    """Whether a broken stream may be resumed at another backend server."""

    batch_jobs = Flag(False)
    """Whether the route takes batch jobs instead of single requests."""

    due_s = Number(0, 86_400, 0.0)
    """Seconds from submission until the results of a batch job are due."""

    give_up_s = Number(0, 604_800, 600.0)
    """Seconds from submission after which a batch job's item may expire."""

    single_version = Flag(False)
    """Whether a single weight version must generate an item completely."""

    public = Flag(False)
    """Whether requests need no key of a workspace."""

    @property
    def service_weights(self) -> dict[str, float]:
        """Weights above 0 by service name; ``service`` alone if there are none."""
        weights = {name: weight for name, weight in self.weights.items() if weight > 0}
        return weights or {self.service: 1.0}

    def matches(self, path: str, method: str) -> bool:
        """Return whether a request to a host of this route matches the route.

        A prefix that ends with a slash matches only the paths below it.
        """
        if method not in self.methods:
            return False
        if self.path_prefix.endswith("/"):
            return path.startswith(self.path_prefix)
        return path == self.path_prefix or path.startswith(self.path_prefix + "/")


class WorkspaceSettings(Settings):
    """Callers that share keys, a priority and a share of the backend servers."""

    key_digests: Option[list] = ListOf(Text(), default=[])
    """SHA-256 digests of its keys, in hexadecimal form."""

    priority: int | None = Integer(0, 1000, None)  # type: ignore[assignment]
    """Priority of its requests, in place of that of their routes."""

    weight = Number(0.001, 1_000_000, 1.0)
    """Its share of servers that cannot serve all, relative to other workspaces."""


class ClusterSettings(Settings):
    """The configuration that all entries apply."""

    workspaces = TableOf(WorkspaceSettings, default={})
    """Workspaces by name."""

    requires_keys = Flag(False)
    """Whether callers need a key of a workspace, except on public routes."""

    services = TableOf(ServiceSettings, default={})
    """Services by name."""

    routes = TableOf(RouteSettings, default={})
    """Routes by name; the longest path prefix wins."""

    def cross_option_problems(self) -> list[Problem]:
        """Check the services of routes, and that no two workspaces share a key."""
        known = ", ".join(self.services) or "none"
        return self._shared_key_problems() + [
            Problem(
                f"routes.{name}.service",
                f"{service!r} is not a configured service; known services: {known}",
            )
            for name, route in self.routes.items()
            for service in (route.service, *route.weights)
            if service not in self.services
        ]

    def workspace_for(self, key: str) -> WorkspaceName | None:
        """Return the workspace of a key, or None if no workspace has it.

        Keys are compared by their digests, in constant time, so that the time of an
        answer tells nothing about other keys.
        """
        digest = digest_key(key)
        owner = self._workspaces_by_digest.get(digest)
        if owner is None:
            return None
        workspace, known = owner
        return workspace if hmac.compare_digest(known, digest) else None

    def priority_of(self, route: RouteSettings, workspace: WorkspaceName | None) -> int:
        """Return the priority of a workspace's requests on a route."""
        priority = None
        if workspace is not None:
            priority = self.workspaces[workspace].priority
        return route.priority if priority is None else priority

    def _shared_key_problems(self) -> list[Problem]:
        owners: dict[str, str] = {}
        problems = []
        for name, workspace in self.workspaces.items():
            for digest in workspace.key_digests:
                owner = owners.setdefault(digest, name)
                if owner != name:
                    problems.append(
                        Problem(
                            f"workspaces.{name}.key_digests",
                            f"workspaces {owner!r} and {name!r} share a key",
                        )
                    )
        return problems

    @cached_property
    def _workspaces_by_digest(self) -> dict[str, tuple[WorkspaceName, str]]:
        return {
            digest: (WorkspaceName(name), digest)
            for name, workspace in self.workspaces.items()
            for digest in workspace.key_digests
        }

    def route_for(self, host: str, path: str, method: str) -> RouteSettings | None:
        """Return the route of a request, or None if no route matches.

        Of several matching routes the one with the longest path prefix wins,
        then one whose host is not ``*``.
        """
        host = host.partition(":")[0]
        matching = [
            route
            for route in self._routes_for_host(host)
            if route.matches(path, method)
        ]
        if not matching:
            return None
        return max(
            matching, key=lambda route: (len(route.path_prefix), route.host != "*")
        )

    @cached_property
    def _routes_by_host(self) -> dict[str, list[RouteSettings]]:
        routes_by_host: dict[str, list[RouteSettings]] = {}
        for route in self.routes.values():
            routes_by_host.setdefault(route.host, []).append(route)
        return routes_by_host

    @cached_property
    def _host_patterns(self) -> list[str]:
        return [host for host in self._routes_by_host if set(host) & set("*?[")]

    def _routes_for_host(self, host: str) -> list[RouteSettings]:
        routes = list(self._routes_by_host.get(host, ()))
        for pattern in self._host_patterns:
            if pattern != host and fnmatch.fnmatch(host, pattern):
                routes.extend(self._routes_by_host[pattern])
        return routes


def digest_key(key: str) -> str:
    """Return the digest by which a key of a workspace is stored and looked up."""
    return hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
