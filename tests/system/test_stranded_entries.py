"""Entries whose links to all backend servers are cut, while others reach them."""

from __future__ import annotations

import pytest

from fakes.full_port import FullPort
from fakes.plain_service import FakePlainService
from fakes.ports import free_ports

from ..local_system import wait_until

_CONNECT_TIMEOUT_S = 0.2
_ENTRY_OPTIONS = {"probe_interval_s": 0, "connect_timeout_s": _CONNECT_TIMEOUT_S}


async def _start_with_hanging_server(start_system):
    """Start an entry that knows one server, to which connecting hangs."""
    system = await start_system(entries=1, entry_options=_ENTRY_OPTIONS)
    (port,) = free_ports(1)
    server = FakePlainService("plain-0", "shop", "north", port, [system.url(0)], 8)
    hanging = FullPort()
    server.announced_port = hanging.port
    await server.start()
    system.plain_services.append(server)
    known = system.entries[0].context.directory.servers
    await wait_until(lambda: "plain-0" in known)
    return system, hanging


@pytest.mark.parametrize("body_bytes", [0, 3_000_000])
@pytest.mark.parametrize("timeout_s", [5, _CONNECT_TIMEOUT_S / 2])
@pytest.mark.parametrize("path", ["/shop/1", "/billing/1"])
async def test_request_that_reached_no_server_is_not_answered_as_if_it_may_have_run(
    start_system, path, timeout_s, body_bytes
):
    system, hanging = await _start_with_hanging_server(start_system)
    headers = {"Pollenlb-Timeout": str(timeout_s)}
    url = system.url(0, path)
    body = b"x" * body_bytes
    async with system.session.post(url, headers=headers, data=body) as response:
        assert response.status == 503
        assert response.headers["Pollenlb-Outcome"] == "not-run"
        assert "Retry-After" in response.headers
    hanging.close()
