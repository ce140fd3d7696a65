"""Real processes that are stopped with SIGSTOP for longer than their lease."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
import pytest

from demo.cluster import Cluster, ClusterPlan

_SHORT_TIMEOUTS = {"election_timeout_s": 0.6, "heartbeat_s": 0.1, "lease_s": 1.5}
_OPERATOR_PATH = "/pollenlb/v1/operator"


@pytest.fixture
async def cluster(tmp_path):
    cluster = Cluster(
        ClusterPlan(
            folder=tmp_path,
            entries=2,
            services={"old": {"kind": "plain"}, "new": {"kind": "plain"}},
            routes={"shop": {"service": "old", "path_prefix": "/shop"}},
            plain_services={"old": 1, "new": 1},
            control_options=_SHORT_TIMEOUTS,
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
    url = cluster.url("entry-0") + _OPERATOR_PATH + "/configuration"
    async with session.post(url, json=body) as response:
        assert response.status == 200, await response.text()
        return (await response.json())["revision"]


async def _send_request(session, cluster: Cluster, name: str) -> tuple[str, str]:
    async with session.post(cluster.url(name) + "/shop/1") as response:
        answer = await response.json()
        return response.headers["Pollenlb-Outcome"], answer.get("server", "")


async def test_resumed_entry_does_not_serve_an_old_configuration(cluster, session):
    assert await _send_request(session, cluster, "entry-1") == ("ran", "old-0")
    cluster.send_signal("entry-1", signal.SIGSTOP)
    request = asyncio.create_task(_send_request(session, cluster, "entry-1"))
    await _set_route(session, cluster, "new", 1)
    cluster.send_signal("entry-1", signal.SIGCONT)
    assert (await request) in (("not-run", ""), ("ran", "new-0"))
    await cluster.wait_until_entries_ready(["entry-1"])
    assert await _send_request(session, cluster, "entry-1") == ("ran", "new-0")


async def _find_leader(session, cluster: Cluster, among: list[str]) -> str:
    addresses = {f"127.0.0.1:{cluster.ports[name]}": name for name in among}
    async with asyncio.timeout(30):
        while True:
            url = cluster.url("entry-0") + _OPERATOR_PATH + "/control"
            async with session.get(url) as response:
                control = await response.json()
            for address, answer in control.items():
                if address in addresses and answer and answer["is_leader"]:
                    return addresses[address]
            await asyncio.sleep(0.05)


async def test_resumed_leader_commits_nothing(cluster, session):
    names = [f"control-{number}" for number in range(3)]
    frozen = await _find_leader(session, cluster, names)
    cluster.send_signal(frozen, signal.SIGSTOP)
    revision = await _set_route(session, cluster, "new", 1)
    cluster.send_signal(frozen, signal.SIGCONT)
    revision = await _set_route(session, cluster, "old", revision)
    revision = await _set_route(session, cluster, "new", revision)
    assert revision == 4
    await cluster.wait_until_entries_ready(["entry-0", "entry-1"])
    for name in ("entry-0", "entry-1"):
        assert await _send_request(session, cluster, name) == ("ran", "new-0")


async def test_configuration_survives_a_restart_of_all_control_instances(
    cluster, session
):
    revision = await _set_route(session, cluster, "new", 1)
    for number in range(3):
        cluster.kill(f"control-{number}")
    for number in range(3):
        cluster.start_process(f"control-{number}")
    assert await _set_route(session, cluster, "old", revision) == revision + 1
    await cluster.wait_until_entries_ready(["entry-0", "entry-1"])
    assert await _send_request(session, cluster, "entry-1") == ("ran", "old-0")
