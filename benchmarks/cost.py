"""Measure CPU time and memory of the processes against the size of the system.

Runs real processes on the loopback address. Absolute figures depend on the machine;
the capacity page is derived from their slopes.
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
_MEASUREMENT_S = 6.0
_REQUEST_COUNT = 1500
_COMMAND_COUNT = 500
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the CPU time of a process, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def resident_memory_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB, 0 if it has none."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class CountingServers:
    """Any number of announced backend servers that share one port.

    Attributes
    ----------
    probe_count : int
        Probes answered so far, by all of the servers.
    port : int
        Port on the loopback address, 0 before ``start``.
    """

    def __init__(self) -> None:
        self.probe_count = 0
        self.port = 0

    async def start(self) -> None:
        """Start to listen on a free port."""
        application = web.Application()
        application.router.add_get("/pollenlb/probe", self._answer_probe)
        application.router.add_route("*", "/{path:.*}", self._answer)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.port = runner.addresses[0][1]

    async def announce(self, session, url: str, first: int, count: int) -> None:
        """Announce ``count`` servers, numbered from ``first``, to an entry."""
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
        self.probe_count += 1
        return web.json_response({"boot": "b", "state": "serving", "in_flight": 1})

    async def _answer(self, request: web.Request) -> web.Response:
        headers = {"Pollenlb-Request-Id": request.headers["Pollenlb-Request-Id"]}
        return web.Response(text="answer", headers=headers)


async def measure_cost() -> dict:
    """Run a cluster of three control instances and two entries and measure it.

    Returns
    -------
    dict
        Figures as written to ``OUTPUT``: by number of servers, for one request, for
        one command and by number of lease renewers.
    """
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
    servers = CountingServers()
    await servers.start()
    async with aiohttp.ClientSession() as session:
        announced = 0
        for count in SERVER_COUNTS:
            await servers.announce(
                session, cluster.url("entry-0"), announced, count - announced
            )
            announced = count
            await asyncio.sleep(3.0)
            figures["servers"][count] = await _measure_idle(cluster, servers)
            if count == SERVER_COUNTS[0]:
                figures["request_ms"] = await _measure_request_ms(cluster, session)
    figures["commands"] = await _measure_commands(cluster)
    for count in RENEWER_COUNTS:
        figures["renewers"][count] = await _measure_renewals(cluster, count)
    return figures


async def _measure_idle(cluster: Cluster, servers: CountingServers) -> dict:
    """Measure the processes for ``_MEASUREMENT_S`` without requests from callers."""
    pids = {name: process.pid for name, process in cluster.processes.items()}
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    probes_before = servers.probe_count
    await asyncio.sleep(_MEASUREMENT_S)
    entry = pids["entry-0"]
    return {
        "entry_core_share": (cpu_s(entry) - before["entry-0"]) / _MEASUREMENT_S,
        "entry_mb": resident_memory_mib(entry),
        "control_mb": resident_memory_mib(pids["control-0"]),
        "probes_per_s_entry": (servers.probe_count - probes_before)
        / _MEASUREMENT_S
        / 2,
        "control_core_share": {
            name: (cpu_s(pids[name]) - before[name]) / _MEASUREMENT_S
            for name in pids
            if name.startswith("control")
        },
    }


async def _measure_request_ms(cluster: Cluster, session) -> float:
    """Return the CPU time of an entry for one request, in milliseconds."""
    pid = cluster.processes["entry-0"].pid
    url = cluster.url("entry-0") + "/shop/1"
    limit = asyncio.Semaphore(4)

    async def send_request() -> None:
        async with limit, session.get(url) as response:
            await response.read()

    before_s = cpu_s(pid)
    started_at = time.perf_counter()
    await asyncio.gather(*(send_request() for _ in range(_REQUEST_COUNT)))
    elapsed_s = time.perf_counter() - started_at
    used_s = cpu_s(pid) - before_s
    print(f"{_REQUEST_COUNT} requests in {elapsed_s:.2f} s")
    return 1000 * used_s / _REQUEST_COUNT


async def _measure_commands(cluster: Cluster) -> dict:
    """Measure the control instances while 4 commands at a time are in flight."""
    addresses = [f"127.0.0.1:{cluster.ports[f'control-{n}']}" for n in range(3)]
    connection = ControlConnection(addresses, EventLog("cost", None))
    limit = asyncio.Semaphore(4)

    async def propose(number: int) -> None:
        settings = JobSettings(f"job-{number}", "shop", 1, 1, 1, 1)
        async with limit:
            await connection.propose(CreateJob(settings), None, deadline_in(10))

    await propose(-1)
    pids = [cluster.processes[f"control-{n}"].pid for n in range(3)]
    before = [cpu_s(pid) for pid in pids]
    started_at = time.perf_counter()
    await asyncio.gather(*(propose(number) for number in range(_COMMAND_COUNT)))
    elapsed_s = time.perf_counter() - started_at
    used_s = [cpu_s(pid) - before_s for pid, before_s in zip(pids, before)]
    await connection.close()
    return {
        "commands_per_s": _COMMAND_COUNT / elapsed_s,
        "leader_ms": 1000 * max(used_s) / _COMMAND_COUNT,
        "follower_ms": 1000 * min(used_s) / _COMMAND_COUNT,
    }


async def _measure_renewals(cluster: Cluster, count: int) -> dict:
    """Measure the leader while simulated entries renew their leases.

    Each renewal waits at the leader for up to 0.8 s.
    """
    events = EventLog("cost", None)
    url = cluster.url("entry-0") + "/pollenlb/v1/operator/control"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        control = await response.json()
    leader = next(
        address for address, answer in control.items() if answer and answer["is_leader"]
    )
    name = next(
        process
        for process, port in cluster.ports.items()
        if leader.endswith(f":{port}")
    )
    pid = cluster.processes[name].pid
    renewal_count = [0]
    tasks = [
        asyncio.create_task(_renew_continuously(leader, number, events, renewal_count))
        for number in range(count)
    ]
    await asyncio.sleep(2.0)
    before_s, count_before = cpu_s(pid), renewal_count[0]
    await asyncio.sleep(_MEASUREMENT_S)
    core_share = (cpu_s(pid) - before_s) / _MEASUREMENT_S
    rate_per_s = (renewal_count[0] - count_before) / _MEASUREMENT_S
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {
        "leader_core_share": core_share,
        "renewals_per_s": rate_per_s,
        "mb": resident_memory_mib(pid),
    }


async def _renew_continuously(
    leader: str, number: int, events, renewal_count: list
) -> None:
    """Renew the lease of a simulated entry until cancelled."""
    entry = EntryInfo(f"stand-in-{number}", f"boot-{number}", "h", "d")
    channel = RpcChannel(leader, events)
    view_versions = [0, 0, 0, 0]
    while True:
        request = RenewRequest(entry, 1, *view_versions, [], 0.8)
        answer = (await channel.call(RENEW, request, 3.0)).unwrap_or(None)
        renewal_count[0] += 1
        if answer is None:
            continue
        for index, view in enumerate(
            (answer.directory, answer.ledger, answer.quarantine, answer.entries)
        ):
            if view is not None:
                view_versions[index] = view.version


def main() -> None:
    """Measure, write the figures to ``OUTPUT`` and print them."""
    figures = asyncio.run(measure_cost())
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(figures, indent=2))
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
