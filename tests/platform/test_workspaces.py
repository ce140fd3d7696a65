"""Workspaces on the platform: keys, what servers see, and batch jobs of others."""

from __future__ import annotations

import asyncio
import json

import pytest

from pollenlb.platform.configuration import parse_configuration, unpack_source
from pollenlb.settings.cluster import ClusterSettings

from ..local_system import wait_until
from .platform_system import HOST, batch_job, configuration

_KEYS = {"first": ["key-1a", "key-1b"], "second": ["key-2"]}


def _configuration(version: int, keys: dict[str, list[str]] = _KEYS) -> dict:
    changed = configuration(version)
    changed["tenants"] = [
        {"name": name, "api_keys": api_keys} for name, api_keys in keys.items()
    ]
    return changed


async def _configure(system, body: dict) -> None:
    assert (await system.call_control("POST", "/-/Config.Replace", body))[0] == 200


async def _start(platform_system, **options):
    system = await platform_system(**options)
    await _configure(system, _configuration(2))
    return system


async def _send(system, key: str | None, entry: int = 0, **headers) -> int:
    if key is not None:
        headers["Authorization"] = f"Token {key}"
    status, _, _ = await system.call_entry(
        "POST", entry, "/safe/1", 2, X_Request_Id="r", X_Deadline_Ms="5000", **headers
    )
    return status


def _headers_at_servers(system) -> list[list[tuple[str, str]]]:
    return [headers for engine in system.engines for headers in engine.received_headers]


@pytest.mark.parametrize("key", [None, "key-3", "key-1", ""])
async def test_request_without_a_known_key_reaches_no_server(platform_system, key):
    """Guards against callers that run work without a key."""
    system = await _start(platform_system)
    assert await _send(system, key) == 401
    assert not _headers_at_servers(system)


async def test_request_without_a_known_key_is_refused_before_its_body(platform_system):
    """Guards against bodies of strangers that are read into memory."""
    system = await _start(platform_system, entries=1)
    host, _, port = system.entries[0].context.identity.http.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST /safe/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r\r\n"
        "Authorization: Token key-3\r\nContent-Length: 1000000\r\n\r\n".encode()
    )
    assert b" 401 " in await reader.readline()
    writer.close()


async def test_server_sees_the_workspace_and_never_the_key(platform_system):
    """Guards against keys and false names of workspaces at servers."""
    system = await _start(platform_system, entries=1)
    host, _, port = system.entries[0].context.identity.http.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST /safe/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r\r\n"
        "x-tenant: second\r\nX-TENANT: third\r\nauthorization: token key-1a\r\n"
        "Content-Length: 1\r\nConnection: close\r\n\r\n2".encode()
    )
    assert b" 200 " in (await reader.read()).partition(b"\r\n")[0]
    writer.close()
    (headers,) = _headers_at_servers(system)
    assert [value for name, value in headers if name.lower() == "x-tenant"] == ["first"]
    assert "key-1a" not in str(headers)


async def test_public_route_needs_no_key(platform_system):
    """Guards against a public route that refuses, or that hands on a key."""
    system = await platform_system(entries=1)
    changed = _configuration(2)
    changed["routes"][1]["public"] = True
    await _configure(system, changed)
    assert await _send(system, None) == 200
    assert await _send(system, "key-3", X_Tenant="first") == 200
    assert await _send(system, "key-2") == 200
    seen = [dict(headers).get("X-Tenant") for headers in _headers_at_servers(system)]
    assert sorted(seen, key=str) == [None, None, "second"]
    assert "Authorization" not in str(_headers_at_servers(system))


async def test_keys_come_and_go_with_acknowledged_configurations(platform_system):
    """Guards against keys that are refused or accepted after a change of them."""
    system = await _start(platform_system)
    assert await _send(system, "key-2") == 200
    await _configure(system, _configuration(3, {"first": ["key-1a"], "new": ["key-4"]}))
    for entry in range(2):
        assert await _send(system, "key-2", entry) == 401
        assert await _send(system, "key-1b", entry) == 401
        assert await _send(system, "key-4", entry) == 200
    await _configure(system, _configuration(4, {"first": []}))
    assert await _send(system, "key-1a") == 401


async def test_entry_without_a_lease_does_not_refuse_a_key_for_good(platform_system):
    """Guards against a 401 for a key that this entry has not heard of yet."""
    system = await _start(platform_system)
    entry = system.entries[1]
    await entry._lease_renewer.stop()
    await wait_until(lambda: not entry.context.configuration.is_leased)
    await _configure(system, _configuration(3, {**_KEYS, "new": ["key-4"]}))
    assert await _send(system, "key-4", 1) == 503
    assert await _send(system, "key-1a", 1) == 200
    assert await _send(system, None, 1) == 401


def test_configuration_with_a_shared_key_is_refused_without_the_key():
    """Guards against a key of two workspaces, and its mention in the answer."""
    body = json.dumps(_configuration(2, {"first": ["key-1"], "second": ["key-1"]}))
    command = parse_configuration(body.encode()).unwrap()
    problems = ClusterSettings.check(command.document).unwrap_err()
    text = " ".join(problem.message for problem in problems)
    assert "first" in text and "second" in text
    assert "key-1" not in text and "key-1" not in str(command.document)


async def test_keys_stand_in_no_file_and_the_configuration_is_read_as_sent(
    platform_system, tmp_path
):
    """Guards against keys in logs and stored state."""
    system = await platform_system()
    body = json.dumps(_configuration(2), indent=3).encode()
    await system.call_control("POST", "/-/Config.Replace", body)
    assert await _send(system, "key-1a") == 200
    assert await _send(system, "key-3") == 401
    status, read = await system.call_control("GET", "/-/Config.Read")
    assert (status, read) == (200, body)
    files = [path for path in tmp_path.rglob("*") if path.is_file()]
    assert files
    for path in files:
        assert b"key-" not in path.read_bytes(), path


def test_configuration_that_was_stored_before_workspaces_is_read():
    """Guards against a stored document that a new release cannot return."""
    body = json.dumps(configuration(2)).encode()
    assert parse_configuration(body).unwrap().source == body
    assert unpack_source(body) == body
    assert unpack_source(b"") == b""


async def _call_job(system, method: str, path: str, key: str | None) -> int:
    headers = {} if key is None else {"Authorization": f"Token {key}"}
    status, _, _ = await system.call_entry(method, 1, path, **headers)
    return status


async def _submit(system, name: str, key: str, items: dict[str, int]) -> int:
    body = batch_job(items)
    body["requests"][0]["headers"] |= {"X-Tenant": "x", "authorization": "Token x"}
    status, _, headers = await system.call_entry(
        "POST",
        0,
        f"/rollouts/{name}",
        body,
        X_Request_Id=name,
        X_Deadline_Ms="9000",
        Authorization=f"Token {key}",
    )
    if status == 202:
        assert headers["X-Request-Id"] == name
    return status


async def test_batch_job_belongs_to_the_workspace_that_submitted_it(platform_system):
    """Guards against reading, holding or ending batch jobs of others."""
    system = await _start(platform_system)
    assert await _submit(system, "job", "key-1a", {"a": 100_000}) == 202
    assert await _submit(system, "job", "key-1b", {"a": 100_000}) == 202
    for path in ("/-/lots/job?after=0", "/-/items/job?id=a"):
        assert await _call_job(system, "GET", path, "key-1b") == 200
        assert await _call_job(system, "GET", path, "key-2") == 404
        assert await _call_job(system, "GET", path, "key-3") == 401
        assert await _call_job(system, "GET", path, None) == 401
    assert await _call_job(system, "DELETE", "/-/lots/job", "key-2") == 404
    # The id of another workspace's batch job is free.
    assert await _submit(system, "job", "key-2", {"b": 3}) == 202
    await _configure(system, _configuration(3, {"first": ["key-1c"], "second": []}))
    assert await _call_job(system, "DELETE", "/-/lots/job", "key-1c") == 200
    assert await _call_job(system, "DELETE", "/-/lots/job", "key-1c") == 200


async def test_items_run_for_the_workspace_of_their_batch_job(platform_system):
    """Guards against items that name a workspace or a key themselves."""
    system = await _start(platform_system)
    assert await _submit(system, "job", "key-1a", {"a": 2, "b": 2}) == 202
    await wait_until(lambda: len(_headers_at_servers(system)) >= 2)
    for headers in _headers_at_servers(system):
        names = [value for name, value in headers if name.lower() == "x-tenant"]
        assert names == ["first"]
        assert "authorization" not in {name.lower() for name, _ in headers}


def test_priority_of_a_workspace_goes_before_that_of_a_route():
    """Guards against a workspace whose priority has no effect."""
    body = _configuration(2)
    body["tenants"][0]["priority"] = 0
    command = parse_configuration(json.dumps(body).encode()).unwrap()
    settings = ClusterSettings.check(command.document).unwrap()
    route = settings.routes["r-rollouts"]
    assert settings.priority_of(route, "first") == 0
    assert settings.priority_of(route, "second") == 1
    assert settings.priority_of(route, None) == 1
