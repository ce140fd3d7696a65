"""Configurations as the platform's operator sends them."""

from __future__ import annotations

from typing import Any

import msgspec
from result import Err, Ok, Result

from ..durable.configuration_commands import ReplaceConfiguration
from ..ids import DocumentVersion

_MILLISECONDS = 1000.0
_RETRY_SHARE = 0.2  # retries and hedges for each request of a route
_SWAP_SHARE = 0.4  # engines of a service that load quickly at the same time
_KINDS = ("safe", "unsafe", "streaming", "rollout")


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/healthz"
    max_conns: int = 100_000
    engine: _Engine | None = None


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str | None = None
    traffic_split: list[_Share] = []
    target_latency_ms: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    max_queue_s: float = 600.0
    due_ms: float = 0.0
    single_version: bool = False
    resumable: bool = False


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: dict[str, Any] = {}


_decode = msgspec.json.Decoder(_Configuration).decode


def read_configuration(body: bytes) -> Result[ReplaceConfiguration, str]:
    """Return the command that a body asks for, or what is wrong with it."""
    try:
        wire = _decode(body)
    except msgspec.MsgspecError as error:
        return Err(f"the configuration cannot be read: {error}")
    problem = _problem(wire)
    if problem is not None:
        return Err(problem)
    document = {
        "services": {each.name: _service(each) for each in wire.services},
        "routes": {each.name: _route(each) for each in wire.routes},
    }
    return Ok(ReplaceConfiguration(DocumentVersion(wire.version), document, body))


def _problem(wire: _Configuration) -> str | None:
    """Return a problem that the document's form would hide, or None."""
    places: set[tuple[str, str]] = set()
    for route in wire.routes:
        if route.kind not in _KINDS:
            return f"route {route.name} has the unknown kind {route.kind!r}"
        if not route.timeout_ms > 0:
            return f"route {route.name} has no timeout"
        if (route.host, route.path_prefix) in places:
            return f"two routes share {route.host}{route.path_prefix}"
        places.add((route.host, route.path_prefix))
        if route.service is None and not route.traffic_split:
            return f"route {route.name} names no service"
        if route.traffic_split and not sum(each.weight for each in route.traffic_split):
            return f"the weights of route {route.name} add up to 0"
    for kind, names in (
        ("routes", [each.name for each in wire.routes]),
        ("services", [each.name for each in wire.services]),
    ):
        if len(set(names)) < len(names):
            return f"two {kind} share a name"
    return None


def _service(wire: _Service) -> dict[str, Any]:
    service: dict[str, Any] = {
        "kind": "plain" if wire.engine is None else "engine",
        "health_path": wire.health_path,
        "max_connections": wire.max_conns,
    }
    if wire.engine is not None:
        service["models"] = [each.name for each in wire.engine.models]
        service["max_swaps"] = 2
        service["swap_share"] = _SWAP_SHARE
        service["long_share"] = 1.0  # engines here run nothing but items
    return service


def _route(wire: _Route) -> dict[str, Any]:
    weights: dict[str, float] = {}
    for share in wire.traffic_split:
        weights[share.service] = weights.get(share.service, 0.0) + share.weight
    is_streaming = wire.kind == "streaming"
    return {
        "service": wire.service or next(iter(weights)),
        "weights": weights,
        "host": wire.host,
        "path_prefix": wire.path_prefix,
        "repeatable": wire.kind == "safe" or (is_streaming and wire.resumable),
        "streaming": is_streaming,
        "resumable": wire.resumable,
        "batch_jobs": wire.kind == "rollout",
        "timeout_s": wire.timeout_ms / _MILLISECONDS,
        "target_latency_s": wire.target_latency_ms / _MILLISECONDS,
        "priority": wire.priority,
        "max_attempts": wire.max_attempts,
        "retry_share": _RETRY_SHARE,
        "due_s": wire.due_ms / _MILLISECONDS,
        "give_up_s": wire.max_queue_s,
        "single_version": wire.single_version,
    }
