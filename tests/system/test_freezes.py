"""Real processes that are frozen for longer than their lease."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
import pytest

from demo.cluster import Cluster, ClusterPlan

_FAST = {"election_timeout_s": 0.6, "heartbeat_s": 0.1, "lease_s": 1.5}
_OPERATOR = "/pollenlb/v1/operator"


@pytest.fixture
async def cluster(tmp_path):
    cluster = Cluster(
        ClusterPlan(
            folder=tmp_path,
            entries=2,
            services={"old": {"kind": "plain"}, "new": {"kind": "plain"}},
            routes={"shop": {"service": "old", "path_prefix": "/shop"}},
            plains={"old": 1, "new": 1},
            control_options=_FAST,
        )
    )
    try:
        await cluster.start()
        yield cluster
    finally:
        cluster.stop()


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


async def _set_route(session, cluster: Cluster, service: str, based_on: int) -> int:
    body = {"changes": {"routes.shop.service": service}, "based_on": based_on}
    url = cluster.url("entry-0") + _OPERATOR + "/configuration"
    async with session.post(url, json=body) as response:
        assert response.status == 200, await response.text()
        return (await response.json())["revision"]


async def _ask(session, cluster: Cluster, name: str) -> tuple[str, str]:
    async with session.post(cluster.url(name) + "/shop/1") as response:
        answer = await response.json()
        return response.headers["Pollenlb-Outcome"], answer.get("server", "")


async def test_a_frozen_entry_does_not_act_on_what_it_remembers(cluster, session):
    assert await _ask(session, cluster, "entry-1") == ("ran", "old-0")
    cluster.signal("entry-1", signal.SIGSTOP)
    asked = asyncio.create_task(_ask(session, cluster, "entry-1"))
    await _set_route(session, cluster, "new", 1)
    cluster.signal("entry-1", signal.SIGCONT)
    assert (await asked) in (("not-run", ""), ("ran", "new-0"))
    await cluster.until_ready(["entry-1"])
    assert await _ask(session, cluster, "entry-1") == ("ran", "new-0")


async def _leader(session, cluster: Cluster, among: list[str]) -> str:
    addresses = {f"127.0.0.1:{cluster.ports[name]}": name for name in among}
    async with asyncio.timeout(30):
        while True:
            url = cluster.url("entry-0") + _OPERATOR + "/control"
            async with session.get(url) as response:
                control = await response.json()
            for address, answer in control.items():
                if address in addresses and answer and answer["is_leader"]:
                    return addresses[address]
            await asyncio.sleep(0.05)


async def test_a_frozen_leader_accepts_nothing_when_it_returns(cluster, session):
    names = [f"control-{number}" for number in range(3)]
    frozen = await _leader(session, cluster, names)
    cluster.signal(frozen, signal.SIGSTOP)
    revision = await _set_route(session, cluster, "new", 1)
    cluster.signal(frozen, signal.SIGCONT)
    revision = await _set_route(session, cluster, "old", revision)
    revision = await _set_route(session, cluster, "new", revision)
    assert revision == 4
    await cluster.until_ready(["entry-0", "entry-1"])
    for name in ("entry-0", "entry-1"):
        assert await _ask(session, cluster, name) == ("ran", "new-0")


async def test_all_control_instances_are_killed_and_started_again(cluster, session):
    revision = await _set_route(session, cluster, "new", 1)
    for number in range(3):
        cluster.kill(f"control-{number}")
    for number in range(3):
        cluster.launch(f"control-{number}")
    assert await _set_route(session, cluster, "old", revision) == revision + 1
    await cluster.until_ready(["entry-0", "entry-1"])
    assert await _ask(session, cluster, "entry-1") == ("ran", "old-0")
