"""Backend servers that say in their answers that they leave."""

from __future__ import annotations

import asyncio

import pytest

from pollenlb.connection.control_api import DirectoryView
from pollenlb.ids import BootId

from ..local_system import wait_until
from .platform_system import PlatformSystem, batch_job, configuration

_REQUEST_COUNT = 16


async def _send(system: PlatformSystem, request: str, entry: int = 0) -> tuple:
    status, _, headers = await system.call_entry(
        "POST", entry, "/safe/1", 3, X_Request_Id=request, X_Deadline_Ms="2000"
    )
    return status, headers


def _preferred(system: PlatformSystem):
    """Return the engine that gets the first request of the first entry.

    Further requests stay with the engine to which there is a connection, except for a
    small random share, so that another engine might get none of many.
    """
    servers = system.entries[0].context.directory.servers
    return max(system.engines, key=lambda engine: servers[engine.name].affinity)


async def _learn(system: PlatformSystem, leaving) -> None:
    """Send requests until the first entry has seen an answer of a leaving server."""
    leaving.is_leaving = True
    server = system.entries[0].context.directory.servers[leaving.name]
    number = 0
    while not server.is_leaving:
        number += 1
        assert number < 100, "no answer said that the server leaves"
        await _send(system, f"learn-{number}")
    leaving.received_runs.clear()


async def _check_no_requests(system: PlatformSystem, leaving) -> None:
    for number in range(_REQUEST_COUNT):
        status, _ = await _send(system, f"late-{number}")
        assert status == 200
    assert leaving.received_runs == []


# Guards against new work for a server whose check-ins still say that it is ready.
@pytest.mark.parametrize("has_control", [True, False])
async def test_a_server_that_says_it_leaves_gets_no_new_work(
    platform_system, has_control
):
    system = await platform_system(entries=1)
    leaving = _preferred(system)
    if not has_control:
        for control in system.controls:
            await control.stop()
        system.controls.clear()
    await _learn(system, leaving)
    await _check_no_requests(system, leaving)


@pytest.mark.parametrize("status", [404, 500, 503])
async def test_an_error_says_as_well_that_its_server_leaves(platform_system, status):
    system = await platform_system(entries=1)
    leaving = _preferred(system)
    for number in range(100):
        leaving.forced_statuses[f"learn-{number + 1}"] = status
    await _learn(system, leaving)
    await _check_no_requests(system, leaving)


# The server of a stream that may be resumed says so when it is asked for its process.
@pytest.mark.parametrize("resumable", [True, False])
async def test_the_head_of_a_stream_says_as_well_that_its_server_leaves(
    platform_system, resumable
):
    system = await platform_system(entries=1)
    changed = configuration(2)
    changed["routes"][1] |= {"kind": "streaming", "resumable": resumable}
    await system.call_control("POST", "/-/Config.Replace", changed)
    current = system.entries[0].context.configuration
    await wait_until(
        lambda: any(route.streaming for route in current.settings.routes.values())
    )
    leaving = _preferred(system)
    await _learn(system, leaving)
    await _check_no_requests(system, leaving)


async def test_other_entries_learn_of_a_server_that_says_it_leaves(platform_system):
    system = await platform_system(entries=3)
    leaving = _preferred(system)
    await _learn(system, leaving)
    others = [entry.context.directory.servers for entry in system.entries[1:]]
    await wait_until(
        lambda: all(servers[leaving.name].is_leaving for servers in others), 5.0
    )
    # Its check-ins go on to say that it is ready.
    await asyncio.sleep(5 * leaving.heartbeat_interval_s)
    assert all(servers[leaving.name].is_leaving for servers in others)


async def test_items_do_not_start_at_a_server_that_says_it_leaves(platform_system):
    system = await platform_system(entries=1)
    leaving = _preferred(system)
    await _learn(system, leaving)
    lengths = {f"item-{number}": 5 for number in range(8)}
    assert await system.submit(0, "job", batch_job(lengths)) == 202
    assert len(await system.read_all_results(0, "job")) == 8
    assert leaving.received_runs == []


async def test_work_at_a_server_that_says_it_leaves_is_finished(platform_system):
    system = await platform_system(entries=1, engines=1)
    (leaving,) = system.engines
    leaving.is_leaving = True
    assert await system.submit(0, "job", batch_job({"item": 60})) == 202
    (result,) = await system.read_all_results(0, "job")
    assert result["state"] == "completed"
    assert leaving.received_runs == [("item", -1)]


async def test_without_another_server_requests_are_refused_at_once(platform_system):
    system = await platform_system(entries=1, engines=1)
    (leaving,) = system.engines
    await _learn(system, leaving)
    status, headers = await _send(system, "late")
    assert status == 503
    assert 0 < float(headers["Retry-After"]) <= 1.0
    assert leaving.received_runs == []


async def test_another_process_of_the_server_gets_work_again(platform_system):
    system = await platform_system(entries=1, engines=1)
    (engine,) = system.engines
    await _learn(system, engine)
    engine.is_leaving = False
    engine.started_at_ms += 1_000
    servers = system.entries[0].context.directory.servers
    await wait_until(lambda: servers[engine.name].is_usable)
    assert (await _send(system, "again"))[0] == 200


async def test_a_late_answer_of_a_former_process_has_no_effect(platform_system):
    system = await platform_system(entries=1, engines=1)
    (engine,) = system.engines
    servers = system.entries[0].context.directory.servers
    former = servers[engine.name].boot
    engine.started_at_ms += 1_000
    await wait_until(lambda: servers[engine.name].boot != former)
    servers[engine.name].record_leaving(BootId(former))
    assert servers[engine.name].is_usable


async def test_a_process_that_is_listed_again_still_leaves(platform_system):
    system = await platform_system(entries=1)
    leaving = _preferred(system)
    await _learn(system, leaving)
    directory = system.entries[0].context.directory
    listed = [server.announcement for server in directory.servers.values()]
    directory.apply(DirectoryView(directory.version, [], directory.releases))
    assert not directory.servers
    directory.apply(DirectoryView(directory.version, listed, directory.releases))
    assert directory.servers[leaving.name].is_leaving
    await _check_no_requests(system, leaving)


async def test_continued_output_does_not_go_to_a_server_that_leaves(platform_system):
    """The server is asked for its process before it continues output."""
    system = await platform_system(entries=1)
    first, second = system.engines
    await system.submit(0, "job", batch_job({"item": 60}))
    await wait_until(lambda: first.running or second.running)
    holder, other = (first, second) if first.running else (second, first)
    other.is_leaving = True
    holder.abort_at_event = 30
    (result,) = await system.read_all_results(0, "job")
    assert result["state"] == "completed"
    assert other.received_runs == []
