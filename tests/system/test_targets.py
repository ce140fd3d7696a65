"""Paths and queries reach backend servers as callers sent them."""

from __future__ import annotations

import asyncio
import json

from ..local_system import LocalSystem

_TARGETS = [
    "/shop/customers/O%27Higgins",
    "/shop/customers/nu%c3%b1ez",
    "/shop/orders/4711%2D2",
    "/shop/orders/%7Eopen?name=O%27Higgins&note=%28due%29",
    "/shop/a/../b/./c",
    "/shop/a/%2e%2e/b",
    "/shop//a///b",
    "/shop/a%2Fb%5C",
    "/shop/a?",
    "/shop/a??b=?&c",
    "/shop/a;p=1|{x}",
    "/shop/100%",
    "/shop/a+b%20c?d+e=%2B",
]


async def _send_raw(system: LocalSystem, head: str) -> tuple[int, bytes]:
    """Send a request head as it is; return the status and the body."""
    host, _, port = system.entries[0].context.identity.http.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{head}\r\nConnection: close\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    head_bytes, _, body = answer.partition(b"\r\n\r\n")
    return int(head_bytes.split()[1]), body


# Guards against escapes, dot segments and empty queries that are normalized.
async def test_target_reaches_the_server_as_it_was_sent(start_system):
    system = await start_system(entries=1, plain_services=1)
    received: list[str] = []
    plain = system.plain_services[0]
    handle = plain.handle_request

    class Recorder:
        async def answer(self, request):
            received.append(request.raw_path)
            return await handle(request)

    plain.floods["/shop"] = Recorder()
    plain.floods["/b"] = plain.floods["/shop"]
    for target in _TARGETS:
        await _send_raw(system, f"GET {target} HTTP/1.1\r\nHost: a")
    assert received == _TARGETS


async def test_target_in_absolute_form_is_forwarded_without_its_host(start_system):
    system = await start_system(entries=1, plain_services=1)
    target = "/shop/O%27Higgins?a=%28b%29"
    status, body = await _send_raw(
        system, f"GET http://any.example{target} HTTP/1.1\r\nHost: any.example"
    )
    assert (status, json.loads(body)["target"]) == (200, target)


# Guards against a route that is chosen by another path than the one that is forwarded.
async def test_route_is_chosen_by_the_path_as_it_was_sent(start_system):
    system = await start_system(entries=1, plain_services=1)
    await system.change_configuration(
        {
            "routes.admin.service": "shop",
            "routes.admin.path_prefix": "/shop/admin/",
            "routes.admin.methods": ["DELETE"],
        }
    )
    head = "%s /shop/admin%%2F4711 HTTP/1.1\r\nHost: a"
    assert (await _send_raw(system, head % "GET"))[0] == 200
    status, _ = await _send_raw(system, "GET /sh%6Fp/1 HTTP/1.1\r\nHost: a")
    assert status == 404
