"""Orders of numbers of backend servers on the platform."""

from __future__ import annotations

import asyncio
import json

import pytest

from fakes.duty_api import ApiMode, FakeDutyApi
from fakes.ports import free_ports
from pollenlb.clock import now
from pollenlb.platform.announcements import parse_heartbeat
from pollenlb.platform.configuration import parse_configuration
from pollenlb.settings.cluster import ClusterSettings

from ..local_system import wait_until
from .platform_system import PlatformSystem, batch_job, configuration

SCALING = {
    "min": 1,
    "max": 4,
    "boot_s": 1.0,
    "spot_price": 0.18,
    "zone_prices": {"north": 0.9},
}


@pytest.fixture
async def api():
    """Return a running stand-in for the infrastructure's API."""
    (port,) = free_ports(1)
    api = FakeDutyApi(port)
    await api.start()
    yield api
    await api.stop()


async def _start(platform_system, api: FakeDutyApi, **options) -> PlatformSystem:
    system = await platform_system(
        control_options={
            "duty_address": f"127.0.0.1:{api.port}",
            "duties": "autoscale",
            "duty_lease_ms": 600,
        },
        **options,
    )
    changed = configuration(2)
    changed["services"][0]["scaling"] = SCALING
    assert (await system.call_control("POST", "/-/Config.Replace", changed))[0] == 200
    return system


async def _submit(system: PlatformSystem, items: int) -> None:
    for engine in system.engines:
        engine.event_interval_s = 0.2
    job = batch_job({f"item-{number}": 20 for number in range(items)})
    status, _, _ = await system.call_entry(
        "POST", 0, "/rollouts/", job, X_Request_Id="job", X_Deadline_Ms="60000"
    )
    assert status == 202


def _orders(system: PlatformSystem) -> list:
    (control,) = system.controls
    return control.machine.state.duties.replica_orders


async def test_lasting_backlog_orders_servers_once(platform_system, api):
    """Guards against a backlog without an order, and repeated or unbounded orders."""
    system = await _start(platform_system, api, engines=1)
    await asyncio.sleep(10.0)
    await _submit(system, 150)
    await wait_until(lambda: _orders(system) and _orders(system)[0].call is not None)
    (call,) = api.calls
    assert (call.path, call.holder, call.fencing) == ("/scale", "store-0", 1)
    assert call.body == {"service": "engines", "zone": "north", "group_count": 4}
    await asyncio.sleep(3.0)
    assert len(api.received) == 1


async def test_refused_order_is_not_repeated_at_once(platform_system, api):
    """Guards against calls without end while the infrastructure has no servers."""
    system = await _start(platform_system, api, engines=1)
    api.mode = ApiMode.NONE_AVAILABLE
    await asyncio.sleep(10.0)
    await _submit(system, 150)
    await wait_until(lambda: _orders(system) and _orders(system)[0].call is not None)
    (order,) = _orders(system)
    assert (order.count, order.call.status) == (1, 409)
    await asyncio.sleep(3.0)
    assert len(api.received) == 1


async def test_order_without_a_response_is_repeated_unchanged(platform_system, api):
    """Guards against an order that a failed call loses."""
    system = await _start(platform_system, api, engines=1)
    api.mode = ApiMode.LOSE_RESPONSES
    await asyncio.sleep(10.0)
    await _submit(system, 150)
    await wait_until(lambda: len(api.received) >= 2)
    api.mode = ApiMode.ACCEPT
    await wait_until(lambda: _orders(system)[0].call is not None)
    assert {call.body["group_count"] for call in api.received} == {4}


async def test_idle_servers_are_given_up_one_by_one(platform_system, api):
    """Guards against idle servers that are paid for, and too quick a reduction."""
    await _start(platform_system, api, engines=3)
    started_at = now()
    await wait_until(lambda: api.calls, timeout_s=40.0)
    assert now() - started_at > 19.0
    assert api.calls[0].body["group_count"] == 2
    # Until a server has left, the number there is not certain.
    await asyncio.sleep(3.0)
    assert len(api.received) == 1


async def test_service_without_bounds_is_never_scaled(platform_system, api):
    """Guards against orders for services whose configuration allows none."""
    system = await platform_system(
        engines=1,
        control_options={
            "duty_address": f"127.0.0.1:{api.port}",
            "duties": "autoscale",
        },
    )
    await _submit(system, 150)
    await asyncio.sleep(5.0)
    assert not api.received
    assert not _orders(system)


def test_scaling_is_converted_to_settings_of_the_service():
    """Guards against bounds and prices that are read wrongly."""
    body = configuration(2)
    body["services"][0]["scaling"] = SCALING
    command = parse_configuration(json.dumps(body).encode()).unwrap()
    settings = ClusterSettings.check(command.document).unwrap().services["engines"]
    assert (settings.min_servers, settings.max_servers) == (1, 4)
    assert (settings.start_s, settings.reclaimable_price) == (1.0, 0.18)
    assert settings.domain_prices == {"north": 0.9}


def test_check_in_tells_whether_a_server_may_be_reclaimed():
    """Guards against reclaimable servers that are counted as others."""
    body = (
        b'{"service":"engines","address":"127.0.0.1:1","zone":"north","version":"v1",'
        b'"slots":8,"state":"draining","born":1,"seq":0,"spot":true,"leaves_ms":900}'
    )
    announcement = parse_heartbeat("i-1", body).unwrap().announcement
    assert announcement.is_reclaimable
