"""Backend servers that leave, and graceful shutdown of an entry."""

from __future__ import annotations

import asyncio
import signal

import aiohttp

from demo.cluster import Cluster, ClusterPlan
from pollenlb.clock import deadline_in, sleep_until

from ..local_system import until

_LEAVING_S = 3.0


async def test_a_leaving_server_gets_no_new_work_from_any_entry(local_system):
    system = await local_system(entries=3, plains=2)
    isolated = system.entries[2].context
    for relay in await system.relay_control(2):
        relay.cut()
    leaving = system.plains[0]
    leave = asyncio.create_task(leaving.leave())
    await sleep_until(deadline_in(_LEAVING_S))
    await leave
    before = dict(leaving.executions)
    for number in range(30):
        status, outcome, answer = await system.get(number % 3, f"/shop/{number}")
        assert outcome == "not-run" or answer["server"] == "plain-1"
    assert leaving.executions == before
    assert not isolated.directory.servers["plain-0"].is_usable


async def test_a_silent_server_gets_no_new_work(local_system):
    system = await local_system(entries=2)
    await system.add_plain("plain-0", is_relayed=True)
    (relay,) = system.relays
    await system.until_usable(["plain-0"])
    relay.cut()
    await sleep_until(deadline_in(_LEAVING_S))
    assert (await system.get(0, "/shop/1"))[:2] == (503, "not-run")
    assert (await system.get(1, "/shop/1"))[:2] == (503, "not-run")


async def test_work_in_flight_at_a_leaving_server_is_finished(local_system):
    system = await local_system(entries=1, plains=1)
    plain = system.plains[0]
    plain.gate.clear()
    ask = asyncio.create_task(system.get(0, "/shop/1"))
    await plain.started.wait()
    await plain.leave()
    await until(
        lambda: system.entries[0].context.directory.servers["plain-0"].is_leaving
    )
    plain.gate.set()
    assert (await ask)[1] == "ran"


async def test_a_server_that_comes_back_gets_work_again(local_system):
    system = await local_system(entries=1, plains=1)
    plain = system.plains[0]
    await plain.leave()
    await until(
        lambda: system.entries[0].context.directory.servers["plain-0"].is_leaving
    )
    plain.boot, plain.state = "second", "serving"
    await system.until_usable(["plain-0"])
    assert (await system.get(0, "/shop/1"))[1] == "ran"


def _plan(folder) -> ClusterPlan:
    return ClusterPlan(
        folder=folder,
        controls=1,
        entries=2,
        services={"shop": {"kind": "plain"}},
        routes={"shop": {"service": "shop", "path_prefix": "/shop"}},
        plains={"shop": 2},
        work_s=2.0,  # longer than the balancer's delay
    )


async def test_sigterm_under_load_cuts_off_nothing(tmp_path):
    cluster = Cluster(_plan(tmp_path))
    wrong: list = []
    is_over = False

    async def ask_always(session, worker: int) -> int:
        count = 0
        while not is_over:
            path = f"/shop/{worker}/{count}"
            async with session.post(cluster.balancer + path, data=b"x") as response:
                answer = await response.json()
                if response.headers["Pollenlb-Outcome"] != "not-run":
                    count += 1
                    if answer.get("path") != path:
                        wrong.append((path, answer))
        return count

    try:
        await cluster.start()
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            asks = [asyncio.create_task(ask_always(session, n)) for n in range(8)]
            await sleep_until(deadline_in(0.5))
            cluster.signal("entry-0", signal.SIGTERM)
            code = await asyncio.to_thread(cluster.processes["entry-0"].wait, 30)
            is_over = True
            counts = await asyncio.gather(*asks)
    finally:
        cluster.stop()
    assert code == 0
    assert wrong == []
    assert sum(counts) > 8
