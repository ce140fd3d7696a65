"""Configurations in the format in which the platform's operator sends them."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec
from result import Err, Ok, Result

from ..durable.configuration_commands import ReplaceConfiguration
from ..external_data import Integer, json_decoder
from ..ids import DocumentVersion
from ..settings.cluster import digest_key

_MS_PER_S = 1000.0
_RETRY_SHARE = 0.2  # retries and hedged requests allowed per request of a route
# Share of the engines of a service that still load weights quickly when they load
# them concurrently.
_SWAP_SHARE = 0.4
_ROUTE_KINDS = ("safe", "unsafe", "streaming", "rollout")


class _Model(msgspec.Struct):
    """A model that the engines of a service can load."""

    name: str


class _Engine(msgspec.Struct):
    """Part of a service of model engines: the models that they can load."""

    models: list[_Model] = []


class _Scaling(msgspec.Struct):
    """Bounds and prices of the servers of a service in each failure domain.

    Attributes
    ----------
    boot_s : float
        Seconds until a new server serves.
    spot_price : float
        Price of a server that may be reclaimed, relative to others.
    zone_prices : dict
        Price of a server by failure domain.
    """

    min: Integer = 0
    max: Integer = 0
    boot_s: float = 10.0
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct):
    """A service.

    Attributes
    ----------
    max_conns : int
        Number of connections that a backend server accepts from all instances
        together.
    engine : _Engine or None
        Present for a service of model engines; None for a plain service.
    scaling : _Scaling or None
        Present if the number of its servers may be ordered.
    """

    name: str
    health_path: str = "/healthz"
    max_conns: Integer = 100_000
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _TrafficShare(msgspec.Struct):
    """Weight of a service among those that share the requests of a route."""

    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route.

    Attributes
    ----------
    kind : str
        ``safe`` for requests that may run more than once, ``unsafe`` for others,
        ``streaming`` for streams of numbered events, ``rollout`` for batch jobs.
    service : str or None
        The service that answers where ``traffic_split`` does not apply.
    traffic_split : list of _TrafficShare
        Services that share the requests, in place of ``service``.
    target_latency_ms : float
        Milliseconds within which an answer is wanted; 0 when none is promised.
    priority : int
        Rank among the routes; lower numbers go first.
    max_queue_s : float
        Seconds after which an item of a batch job may be abandoned.
    due_ms : float
        Milliseconds after which the results of a batch job are wanted.
    single_version : bool
        Whether one weight version must generate an item completely.
    resumable : bool
        Whether an interrupted stream may be resumed at another backend server;
        its request may then run more than once.
    public : bool
        Whether requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str | None = None
    traffic_split: list[_TrafficShare] = []
    target_latency_ms: float = 0.0
    priority: Integer = 5
    max_attempts: Integer = 1
    max_queue_s: float = 600.0
    due_ms: float = 0.0
    single_version: bool = False
    resumable: bool = False
    public: bool = False


class _Tenant(msgspec.Struct):
    """A workspace, with its keys in plain text.

    Attributes
    ----------
    priority : int or None
        Rank of its requests, in place of that of their routes.
    """

    name: str
    api_keys: list[str] = []
    priority: Integer | None = None


class _Configuration(msgspec.Struct):
    """A complete configuration.

    Attributes
    ----------
    version : int
        Number that the operator gave it; the highest one wins.
    limits : dict
        Accepted but not used.
    tenants : list of _Tenant or None
        Workspaces; None when callers need no key.
    """

    version: Integer
    routes: list[_Route]
    services: list[_Service]
    limits: dict[str, Any] = {}
    tenants: list[_Tenant] | None = None


_decode_configuration = json_decoder(_Configuration)


def parse_configuration(body: bytes) -> Result[ReplaceConfiguration, str]:
    """Return the command that replaces the configuration, or why it is invalid.

    Parameters
    ----------
    body : bytes
        Complete configuration in JSON; stored with the command as it is.
    """
    try:
        configuration = _decode_configuration(body)
    except msgspec.MsgspecError as error:
        return Err(f"configuration is invalid: {error}")
    problem = _find_problem(configuration)
    if problem is not None:
        return Err(problem)
    document: dict[str, Any] = {
        "services": {
            service.name: _to_service_settings(service)
            for service in configuration.services
        },
        "routes": {
            route.name: _to_route_settings(route) for route in configuration.routes
        },
    }
    source = body
    if configuration.tenants is not None:
        document["requires_keys"] = True
        document["workspaces"] = {
            tenant.name: _to_workspace_settings(tenant)
            for tenant in configuration.tenants
        }
        source = zlib.compress(body)
    return Ok(
        ReplaceConfiguration(DocumentVersion(configuration.version), document, source)
    )


def unpack_source(source: bytes) -> bytes:
    """Return the body in which the operator sent a configuration.

    A body that holds keys is stored compressed, so that they do not stand in the log
    and in snapshots as plain text. It has to be returned in full, so it cannot be
    stored as digests only.

    Parameters
    ----------
    source : bytes
        Stored form, of ``parse_configuration``.
    """
    is_packed = not source.lstrip()[:1] == b"{"
    return zlib.decompress(source) if is_packed and source else source


def _find_problem(configuration: _Configuration) -> str | None:
    """Return the first problem that the converted document would hide, or None.

    The document, in the format of the product's settings, is checked later. By
    then a later definition has replaced an earlier one of the same name, and an
    unknown kind has been treated as ``unsafe``.
    """
    prefixes: set[tuple[str, str]] = set()
    for route in configuration.routes:
        if route.kind not in _ROUTE_KINDS:
            return f"route {route.name} has unknown kind {route.kind!r}"
        if not route.timeout_ms > 0:
            return f"timeout_ms of route {route.name} must be positive"
        if (route.host, route.path_prefix) in prefixes:
            return f"two routes have the same prefix {route.host}{route.path_prefix}"
        prefixes.add((route.host, route.path_prefix))
        if route.service is None and not route.traffic_split:
            return f"route {route.name} has neither service nor traffic_split"
        if route.traffic_split and not sum(
            share.weight for share in route.traffic_split
        ):
            return f"traffic_split weights of route {route.name} add up to 0"
    for kind, names in (
        ("routes", [route.name for route in configuration.routes]),
        ("services", [service.name for service in configuration.services]),
        ("tenants", [tenant.name for tenant in configuration.tenants or ()]),
    ):
        if len(set(names)) < len(names):
            return f"two {kind} have the same name"
    return None


def _to_workspace_settings(tenant: _Tenant) -> dict[str, Any]:
    """Return the product's settings of a workspace."""
    settings: dict[str, Any] = {
        "key_digests": [digest_key(key) for key in tenant.api_keys]
    }
    if tenant.priority is not None:
        settings["priority"] = tenant.priority
    return settings


def _to_service_settings(service: _Service) -> dict[str, Any]:
    """Return the product's settings of a service."""
    settings: dict[str, Any] = {
        "kind": "plain" if service.engine is None else "engine",
        "health_path": service.health_path,
        "max_connections": service.max_conns,
    }
    if service.engine is not None:
        settings["models"] = [model.name for model in service.engine.models]
        settings["max_swaps"] = 2
        settings["swap_share"] = _SWAP_SHARE
        # The platform's engines run only items of batch jobs, so that these may take
        # every slot.
        settings["long_share"] = 1.0
    if service.scaling is not None:
        settings["min_servers"] = service.scaling.min
        settings["max_servers"] = service.scaling.max
        settings["start_s"] = service.scaling.boot_s
        settings["reclaimable_price"] = service.scaling.spot_price
        settings["domain_prices"] = service.scaling.zone_prices
    return settings


def _to_route_settings(route: _Route) -> dict[str, Any]:
    """Return the product's settings of a route."""
    weights: dict[str, float] = {}
    for share in route.traffic_split:
        weights[share.service] = weights.get(share.service, 0.0) + share.weight
    is_streaming = route.kind == "streaming"
    return {
        "service": route.service or next(iter(weights)),
        "weights": weights,
        "host": route.host,
        "path_prefix": route.path_prefix,
        "repeatable": route.kind == "safe" or (is_streaming and route.resumable),
        "streaming": is_streaming,
        "resumable": route.resumable,
        "batch_jobs": route.kind == "rollout",
        "timeout_s": route.timeout_ms / _MS_PER_S,
        "target_latency_s": route.target_latency_ms / _MS_PER_S,
        "priority": route.priority,
        "max_attempts": route.max_attempts,
        "retry_share": _RETRY_SHARE,
        "due_s": route.due_ms / _MS_PER_S,
        "give_up_s": route.max_queue_s,
        "single_version": route.single_version,
        "public": route.public,
    }
