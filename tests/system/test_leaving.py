"""Backend servers that leave the system, and graceful shutdown of an entry."""

from __future__ import annotations

import asyncio
import signal

import aiohttp

from demo.cluster import Cluster, ClusterPlan
from pollenlb.clock import deadline_in, sleep_until

from ..local_system import wait_until

# By then, no entry sends work to a server that leaves or stops to respond.
_LEAVING_TIMEOUT_S = 3.0


async def test_a_leaving_server_gets_no_new_work_from_any_entry(start_system):
    system = await start_system(entries=3, plain_services=2)
    isolated = system.entries[2].context
    for relay in await system.add_control_relays(2):
        relay.interrupt()
    leaving = system.plain_services[0]
    announcing = asyncio.create_task(leaving.announce_leaving())
    await sleep_until(deadline_in(_LEAVING_TIMEOUT_S))
    await announcing
    executions_before = dict(leaving.executions)
    for number in range(30):
        status, outcome, answer = await system.get(number % 3, f"/shop/{number}")
        assert outcome == "not-run" or answer["server"] == "plain-1"
    assert leaving.executions == executions_before
    assert not isolated.directory.servers["plain-0"].is_usable


async def test_unresponsive_server_gets_no_new_work(start_system):
    system = await start_system(entries=2)
    await system.add_plain_service("plain-0", is_relayed=True)
    (relay,) = system.relays
    await system.wait_until_usable(["plain-0"])
    relay.interrupt()
    await sleep_until(deadline_in(_LEAVING_TIMEOUT_S))
    assert (await system.get(0, "/shop/1"))[:2] == (503, "not-run")
    assert (await system.get(1, "/shop/1"))[:2] == (503, "not-run")


async def test_work_in_flight_at_a_leaving_server_is_finished(start_system):
    system = await start_system(entries=1, plain_services=1)
    plain = system.plain_services[0]
    plain.may_answer.clear()
    request = asyncio.create_task(system.get(0, "/shop/1"))
    await plain.request_received.wait()
    await plain.announce_leaving()
    await wait_until(
        lambda: system.entries[0].context.directory.servers["plain-0"].is_leaving
    )
    plain.may_answer.set()
    assert (await request)[1] == "ran"


async def test_a_server_that_comes_back_gets_work_again(start_system):
    system = await start_system(entries=1, plain_services=1)
    plain = system.plain_services[0]
    await plain.announce_leaving()
    await wait_until(
        lambda: system.entries[0].context.directory.servers["plain-0"].is_leaving
    )
    plain.boot, plain.state = "second", "serving"
    await system.wait_until_usable(["plain-0"])
    assert (await system.get(0, "/shop/1"))[1] == "ran"


def _plan(folder) -> ClusterPlan:
    return ClusterPlan(
        folder=folder,
        controls=1,
        entries=2,
        services={"shop": {"kind": "plain"}},
        routes={"shop": {"service": "shop", "path_prefix": "/shop"}},
        plain_services={"shop": 2},
        # Longer than the balancer's delay, so that requests outlast it.
        processing_s=2.0,
    )


async def test_sigterm_under_load_interrupts_no_request(tmp_path):
    cluster = Cluster(_plan(tmp_path))
    wrong_answers: list = []
    is_finished = False

    async def send_continuously(session, worker: int) -> int:
        count = 0
        while not is_finished:
            path = f"/shop/{worker}/{count}"
            async with session.post(cluster.balancer_url + path, data=b"x") as response:
                answer = await response.json()
                if response.headers["Pollenlb-Outcome"] != "not-run":
                    count += 1
                    if answer.get("path") != path:
                        wrong_answers.append((path, answer))
        return count

    try:
        await cluster.start()
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            workers = [
                asyncio.create_task(send_continuously(session, n)) for n in range(8)
            ]
            await sleep_until(deadline_in(0.5))
            cluster.send_signal("entry-0", signal.SIGTERM)
            exit_code = await asyncio.to_thread(cluster.processes["entry-0"].wait, 30)
            is_finished = True
            counts = await asyncio.gather(*workers)
    finally:
        cluster.stop()
    assert exit_code == 0
    assert wrong_answers == []
    assert sum(counts) > 8
