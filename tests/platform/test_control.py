"""Configurations, announcements, orders and retirement on the platform."""

from __future__ import annotations

import asyncio
import json

import msgspec
import pytest

from fakes.ports import free_ports
from pollenlb.durable.configuration_commands import AnnounceServer

from ..local_system import wait_until
from .platform_system import HOST, MODEL, PlatformSystem, batch_job, configuration


async def test_the_configuration_with_the_highest_version_wins_and_is_read_back(
    platform_system,
):
    system = await platform_system(controls=3)
    newest = configuration(7)
    assert (await system.call_control("POST", "/-/Config.Replace", newest))[0] == 200
    older = configuration(5, path_prefix="/old/")
    assert (await system.call_control("POST", "/-/Config.Replace", older))[0] == 200
    other = configuration(7, path_prefix="/other/")
    assert (await system.call_control("POST", "/-/Config.Replace", other))[0] == 200
    for _ in system.control_urls:
        status, body = await system.call_control("GET", "/-/Config.Read")
        assert (status, json.loads(body)) == (200, newest)


async def test_an_accepted_configuration_is_applied_at_every_entry(platform_system):
    system = await platform_system(entries=3)
    changed = configuration(2)
    changed["routes"][1]["path_prefix"] = "/moved/"
    assert (await system.call_control("POST", "/-/Config.Replace", changed))[0] == 200
    for number in range(3):
        status, _, _ = await system.call_entry(
            "GET", number, "/safe/1", X_Request_Id="a"
        )
        assert status == 404


def _invalid_configuration(**changes) -> dict:
    invalid = configuration(9)
    invalid["routes"][1] |= changes
    return invalid


@pytest.mark.parametrize(
    "body",
    [
        _invalid_configuration(service="unknown"),
        _invalid_configuration(timeout_ms=0),
        _invalid_configuration(kind="strange"),
        _invalid_configuration(path_prefix="/rollouts/"),
        _invalid_configuration(traffic_split=[{"service": "engines", "weight": 0}]),
        {"version": 9},
        json.dumps(configuration(9)).encode()[:-20],
    ],
)
async def test_an_invalid_configuration_is_refused(platform_system, body):
    system = await platform_system()
    status, problem = await system.call_control("POST", "/-/Config.Replace", body)
    assert status == 400
    assert problem
    assert (
        json.loads((await system.call_control("GET", "/-/Config.Read"))[1])["version"]
        == 1
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"born": None},
        {"born": 1.5},
        {"state": "strange"},
        {"address": "nowhere"},
        {"address": "::1:8080"},
        {"address": "[[::1]]:8080"},
        {"address": "127.0.0.1:65536"},
        {"address": "127.0.0.1:8_0"},
        {"slots": 0},
        {"slots": 2**64 - 1},
        {"seq": "4"},
        {"seq": 10**30},
        {"born": 10**30},
        {"zone": "z" * 900_000},
        {"models": [{"name": MODEL, "version": -1}]},
        {"models": [{"name": MODEL, "version": 10**30}]},
        {"models": [{"name": f"m{number}", "version": 1} for number in range(40_000)]},
        {"models": 3},
    ],
)
async def test_an_invalid_check_in_is_refused_and_adds_no_server(
    platform_system, changes
):
    system = await platform_system(engines=1)
    (engine,) = system.engines
    engine.stop_heartbeats()
    engine.name = "stranger"
    assert await engine.send_heartbeat(**changes) == 400
    assert "stranger" not in system.controls[0].machine.state.directory.servers


async def test_a_check_in_with_an_unreadable_address_stops_no_items(platform_system):
    """Guards against one entry of another writer that stops all items of a service."""
    system = await platform_system()
    lengths = {f"item-{number}": 40 for number in range(40)}
    assert await system.submit(0, "job", batch_job(lengths)) == 202
    check_in = {
        "service": "engines",
        "address": "::1:8080",
        "zone": "north",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "models": [{"name": MODEL, "version": 1}],
        "seq": 1,
        "born": 1_000,
    }
    path = "/-/Instances.Heartbeat/i-other"
    assert (await system.call_control("POST", path, check_in))[0] == 400
    results = await system.read_all_results(1, "job")
    assert {result["id"] for result in results} == lengths.keys()


# Guards against sound servers that another writer's check-ins remove for good.
@pytest.mark.parametrize("has_same_name", [False, True])
async def test_a_check_in_of_an_unknown_service_displaces_no_server(
    platform_system, has_same_name
):
    system = await platform_system()
    servers = system.leader_machine.state.directory.servers
    for engine in system.engines:
        name = engine.name if has_same_name else f"other-{engine.name}"
        foreign = {
            "service": "not-named",
            "address": servers[engine.name].address,
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "models": [],
            "seq": 1,
            "born": engine.started_at_ms + 60_000,
        }
        path = f"/-/Instances.Heartbeat/{name}"
        assert (await system.call_control("POST", path, foreign))[0] == 200
    assert await system.submit(0, "job", batch_job({"item": 3})) == 202
    (result,) = await system.read_all_results(0, "job")
    assert result["state"] == "completed"
    assert {engine.name for engine in system.engines} <= servers.keys()


async def test_an_unreadable_address_in_the_log_stops_no_items(platform_system):
    """Guards against an address that an earlier release recorded in the log."""
    system = await platform_system()
    known = system.controls[0].machine.state.directory.servers["i-0"]
    foreign = msgspec.structs.replace(known, server="i-other", address="::1:8080")
    await system.controls[0].execute(AnnounceServer(foreign))
    assert await system.submit(0, "job", batch_job({"item": 20})) == 202
    (result,) = await system.read_all_results(1, "job")
    assert result["state"] == "completed"
    request = system.call_entry("GET", 0, "/safe/1", 1, X_Request_Id="a")
    assert (await request)[0] == 200


async def test_a_server_that_checks_in_as_draining_is_leaving_at_every_entry(
    platform_system,
):
    system = await platform_system(entries=3)
    leaving = system.engines[0]
    leaving.state = "draining"
    assert await leaving.send_heartbeat() == 200
    for entry in system.entries:
        assert entry.context.directory.servers["i-0"].is_leaving


async def test_a_deregistered_server_is_removed_at_every_entry_and_stays_removed(
    platform_system,
):
    system = await platform_system(entries=2)
    leaving = system.engines[0]
    assert await leaving.post("/-/Instances.Deregister/i-0", {}) == 200
    for entry in system.entries:
        assert "i-0" not in entry.context.directory.servers
    assert await leaving.send_heartbeat() == 200
    assert "i-0" not in system.controls[0].machine.state.directory.servers


async def test_a_version_released_twice_is_ordered_once_from_each_engine(
    platform_system,
):
    system = await platform_system(engines=3)
    body = {"model": MODEL, "version": 2}
    assert (await system.call_control("POST", "/-/version-put", body))[0] == 200
    assert (await system.call_control("POST", "/-/version-put", body))[0] == 200
    await wait_until(lambda: all(engine.version == 2 for engine in system.engines))
    await wait_until(
        lambda: all(
            server.model_version(MODEL) == 2
            for server in system.entries[0].context.directory.servers.values()
        )
    )
    for engine in system.engines:
        (order,) = engine.orders
        assert order["expected"] == 0
    fences = [engine.orders[0]["fence"] for engine in system.engines]
    assert len(set(fences)) == 3


async def test_a_lost_answer_to_an_order_does_not_prevent_the_swap(platform_system):
    system = await platform_system(engines=1)
    (engine,) = system.engines
    is_first_answer_lost = asyncio.Event()
    handle_order = engine._handle_order

    async def lose_first(request):
        if not is_first_answer_lost.is_set():
            is_first_answer_lost.set()
            request.transport.abort()
        return await handle_order(request)

    engine._runner.app.router._resources[1]._routes["POST"]._handler = lose_first
    await system.call_control("POST", "/-/version-put", {"model": MODEL, "version": 2})
    await wait_until(lambda: engine.version == 2)
    fences = [order["fence"] for order in engine.orders]
    assert fences == sorted(fences)


async def test_another_server_at_an_announced_address_runs_no_requests(platform_system):
    system = await platform_system(engines=2)
    engine = system.engines[0]
    engine.stop_heartbeats()
    engine.name = "i-other"
    for number in range(6):
        status, _, _ = await system.call_entry(
            "POST", 0, "/safe/1", 3, X_Request_Id=f"r-{number}", X_Deadline_Ms="2000"
        )
        assert status == 200
    assert engine.received_runs == []


async def test_a_retired_control_instance_leaves_once_another_replaces_it(
    platform_system,
):
    system = await platform_system(controls=3)
    assert (await system.call_control("POST", "/-/Retire.Begin/none", {}))[0] == 404
    assert (await system.call_control("GET", "/-/Retire.Read/none"))[0] == 404
    await wait_until(
        lambda: _member_instances(system) == {"store-0", "store-1", "store-2"}
    )
    status, _ = await system.call_control("POST", "/-/Retire.Begin/store-1", {})
    assert status == 409
    spare_address = f"127.0.0.1:{free_ports(1)[0]}"
    await system.add_control(3, spare_address)
    await wait_until(lambda: "store-3" in _member_instances(system))
    status, _ = await system.call_control("POST", "/-/Retire.Begin/store-1", {})
    assert status == 200

    async def retirement_state() -> str:
        return json.loads(
            (await system.call_control("GET", "/-/Retire.Read/store-1"))[1]
        )["state"]

    while await retirement_state() != "completed":
        await asyncio.sleep(0)
    assert _member_instances(system) == {"store-0", "store-2", "store-3"}


async def test_without_a_configuration_entry_and_control_answer_503(tmp_path):
    system = PlatformSystem(tmp_path, entries=1, engines=0)
    try:
        await system.start()
        status, _, _ = await system.call_entry(
            "GET", 0, "/safe/1", X_Request_Id="a", Host=HOST
        )
        assert status == 503
        assert (await system.call_control("GET", "/-/Config.Read"))[0] == 503
    finally:
        await system.stop()


def _member_instances(system) -> set[str]:
    leaders = [control for control in system.controls if control.replica.leadership]
    if not leaders:
        return set()
    members = leaders[0].replica.storage.members
    return {member.instance for member in members}
