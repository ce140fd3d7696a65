"""Processor time, memory and bytes of control, against the size of the system.

Runs real processes on the loopback address. Figures depend on the machine; the
slopes are what the capacity page is worked out from.
"""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web

from demo.cluster import Cluster, ClusterPlan
from pollenlb.clock import deadline_in
from pollenlb.connection.control import ControlConnection
from pollenlb.connection.control_api import RENEW, RenewRequest
from pollenlb.connection.rpc import RpcChannel
from pollenlb.durable.job_commands import CreateJob, JobSettings
from pollenlb.durable.leases import EntryInfo
from pollenlb.events import EventLog

OUTPUT = Path("build/cost.json")
SERVER_COUNTS = (10, 100, 600)
RENEWER_COUNTS = (0, 40, 120)
_MEASURE_S = 6.0
_REQUESTS = 1500
_COMMANDS = 500
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class ManyServers:
    """Many backend servers behind one port, which counts probes and bytes."""

    def __init__(self) -> None:
        self.probes = 0
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        application = web.Application()
        application.router.add_get("/pollenlb/probe", self._answer_probe)
        application.router.add_route("*", "/{path:.*}", self._answer)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.port = runner.addresses[0][1]

    async def announce(self, session, url: str, first: int, count: int) -> None:
        """Announce servers by number."""
        for number in range(first, first + count):
            body = {
                "server": f"server-{number}",
                "service": "shop",
                "address": f"127.0.0.1:{self.port}",
                "failure_domain": "here",
                "boot": "b",
                "slots": 8,
            }
            async with session.post(
                url + "/pollenlb/v1/announce", json=body
            ) as response:
                assert response.status == 200, await response.text()

    async def _answer_probe(self, request: web.Request) -> web.Response:
        self.probes += 1
        return web.json_response({"boot": "b", "state": "serving", "in_flight": 1})

    async def _answer(self, request: web.Request) -> web.Response:
        headers = {"Pollenlb-Request-Id": request.headers["Pollenlb-Request-Id"]}
        return web.Response(text="answer", headers=headers)


async def measure_cost() -> dict:
    """Return the figures of one run."""
    with tempfile.TemporaryDirectory(prefix="pollenlb-cost-") as folder:
        plan = ClusterPlan(
            folder=Path(folder),
            entries=2,
            services={"shop": {"kind": "plain"}},
            routes={"shop": {"service": "shop", "path_prefix": "/shop"}},
            control_options={"forget_after_s": 3600.0},
        )
        cluster = Cluster(plan)
        try:
            await cluster.start()
            return await _measure(cluster)
        finally:
            cluster.stop()


async def _measure(cluster: Cluster) -> dict:
    figures: dict = {"servers": {}, "renewers": {}}
    servers = ManyServers()
    await servers.start()
    async with aiohttp.ClientSession() as session:
        known = 0
        for count in SERVER_COUNTS:
            await servers.announce(
                session, cluster.url("entry-0"), known, count - known
            )
            known = count
            await asyncio.sleep(3.0)
            figures["servers"][count] = await _idle(cluster, servers)
            if count == SERVER_COUNTS[0]:
                figures["request_ms"] = await _request_ms(cluster, session)
    figures["commands"] = await _commands(cluster)
    for count in RENEWER_COUNTS:
        figures["renewers"][count] = await _renewals(cluster, count)
    return figures


async def _idle(cluster: Cluster, servers: ManyServers) -> dict:
    pids = {name: each.pid for name, each in cluster.processes.items()}
    before = {name: processor_s(pid) for name, pid in pids.items()}
    probes = servers.probes
    await asyncio.sleep(_MEASURE_S)
    entry = pids["entry-0"]
    return {
        "entry_core_share": (processor_s(entry) - before["entry-0"]) / _MEASURE_S,
        "entry_mb": memory_mb(entry),
        "control_mb": memory_mb(pids["control-0"]),
        "probes_per_s_entry": (servers.probes - probes) / _MEASURE_S / 2,
        "control_core_share": {
            name: (processor_s(pids[name]) - before[name]) / _MEASURE_S
            for name in pids
            if name.startswith("control")
        },
    }


async def _request_ms(cluster: Cluster, session) -> float:
    pid = cluster.processes["entry-0"].pid
    url = cluster.url("entry-0") + "/shop/1"
    limit = asyncio.Semaphore(4)

    async def ask() -> None:
        async with limit, session.get(url) as response:
            await response.read()

    idle_before = processor_s(pid)
    started_at = time.perf_counter()
    await asyncio.gather(*(ask() for _ in range(_REQUESTS)))
    took_s = time.perf_counter() - started_at
    used_s = processor_s(pid) - idle_before
    print(f"{_REQUESTS} requests in {took_s:.2f} s")
    return 1000 * used_s / _REQUESTS


async def _commands(cluster: Cluster) -> dict:
    """Measure all control instances while commands come a few at a time."""
    addresses = [f"127.0.0.1:{cluster.ports[f'control-{n}']}" for n in range(3)]
    connection = ControlConnection(addresses, EventLog("cost", None))
    limit = asyncio.Semaphore(4)

    async def propose(number: int) -> None:
        settings = JobSettings(f"job-{number}", "shop", 1, 1, 1, 1)
        async with limit:
            await connection.propose(CreateJob(settings), None, deadline_in(10))

    await propose(-1)
    pids = [cluster.processes[f"control-{n}"].pid for n in range(3)]
    before = [processor_s(pid) for pid in pids]
    started_at = time.perf_counter()
    await asyncio.gather(*(propose(number) for number in range(_COMMANDS)))
    took_s = time.perf_counter() - started_at
    used_s = [processor_s(pid) - was for pid, was in zip(pids, before)]
    await connection.close()
    return {
        "commands_per_s": _COMMANDS / took_s,
        "leader_ms": 1000 * max(used_s) / _COMMANDS,
        "follower_ms": 1000 * min(used_s) / _COMMANDS,
    }


async def _renewals(cluster: Cluster, count: int) -> dict:
    """Measure the control instances while stand-ins renew each 0.8 s."""
    events = EventLog("cost", None)
    url = cluster.url("entry-0") + "/pollenlb/v1/operator/control"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        control = await response.json()
    leader = next(a for a, each in control.items() if each and each["is_leader"])
    name = next(n for n, port in cluster.ports.items() if leader.endswith(f":{port}"))
    pid = cluster.processes[name].pid
    renewed = [0]
    tasks = [
        asyncio.create_task(_renew_always(leader, number, events, renewed))
        for number in range(count)
    ]
    await asyncio.sleep(2.0)
    before, renewed_before = processor_s(pid), renewed[0]
    await asyncio.sleep(_MEASURE_S)
    used = (processor_s(pid) - before) / _MEASURE_S
    rate = (renewed[0] - renewed_before) / _MEASURE_S
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {"leader_core_share": used, "renewals_per_s": rate, "mb": memory_mb(pid)}


async def _renew_always(leader: str, number: int, events, renewed: list) -> None:
    entry = EntryInfo(f"stand-in-{number}", f"boot-{number}", "h", "d")
    channel = RpcChannel(leader, events)
    views = [0, 0, 0, 0]
    while True:
        request = RenewRequest(entry, 1, *views, [], 0.8)
        answer = (await channel.call(RENEW, request, 3.0)).unwrap_or(None)
        renewed[0] += 1
        if answer is None:
            continue
        for at, view in enumerate(
            (answer.directory, answer.ledger, answer.quarantine, answer.entries)
        ):
            if view is not None:
                views[at] = view.version


def main() -> None:
    """Measure, write the figures and print them."""
    figures = asyncio.run(measure_cost())
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(figures, indent=2))
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
