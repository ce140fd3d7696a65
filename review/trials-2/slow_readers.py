"""Trial: clients that read pages of results slowly, on a front of 160 MB.

Run from the repository root, after the build of the deploy file:
PYTHONPATH=target/deps:review python3 -B review/trials-2/slow_readers.py
TROUBLE=0 has the same clients read at once.
"""

from __future__ import annotations

import asyncio
import os
import socket
import tempfile
import time
from pathlib import Path

from aiohttp import web
from common_2 import batch_job, call, cancel_all, configuration, submit
from harness_2 import HOST, Cluster, Record, check_in, main
from servers_2 import Engine

ITEMS, EVENTS, EVENT_BYTES = 32, 90, 1900
CLIENTS = 400
HELD_S = 15.0
EVERY_S = 0.02
FRONT_MB = 160  # the smallest fronts of qhapaq-lima-grown
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Quiet:
    """Record that is left out."""

    def add(self, text: str) -> None:
        pass


class LongEngine(Engine):
    """Engine whose events are long."""

    async def _run(self, request: web.Request) -> web.StreamResponse:
        item = request.headers["X-Request-Id"]
        count = int((await request.read())[:10].split(b" ")[0])
        response = web.StreamResponse(
            headers={"X-Request-Id": item, "X-Weight-Versions": "1"}
        )
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(int(request.headers.get("Last-Event-Id", "-1")) + 1, count):
            await asyncio.sleep(self.event_s)
            data = os.urandom(EVENT_BYTES // 2).hex()
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
        await response.write_eof()
        return response


def peak_mb(machine) -> int:
    status = Path(f"/proc/{machine.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) // 1024


async def read_slowly(host: str, port: int, starts_in_s: float) -> int:
    """Read a page of results, some hundred bytes a second with the disruption."""
    await asyncio.sleep(starts_in_s)
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, port))
    head = f"GET /-/lots/job1?after=0 HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
    await loop.sock_sendall(connection, head.encode())
    ends_at = time.monotonic() + HELD_S
    count = 0
    try:
        while time.monotonic() < ends_at:
            async with asyncio.timeout_at(loop.time() + 1):
                count += len(
                    await loop.sock_recv(connection, 500 if TROUBLE else 65536)
                )
            if TROUBLE:
                await asyncio.sleep(1)
    except TimeoutError:
        pass
    finally:
        connection.close()
    return count


async def play() -> bool:
    record = Record(Path(tempfile.gettempdir()) / "record.txt")
    cluster = Cluster(entries=2)
    tasks: list[asyncio.Task] = []
    engines = [LongEngine(f"i-{n}", "engines", "a", Quiet(), 0.01) for n in range(4)]
    try:
        await cluster.start(configuration())
        for engine in engines:
            await engine.start()
            body = engine.check_in_body
            tasks.append(asyncio.create_task(check_in(cluster, engine.name, body)))
        await asyncio.sleep(4)
        items = {f"item-{n}": EVENTS for n in range(ITEMS)}
        status = await submit(cluster.entry_urls[0], "job1", batch_job(items))
        record.add(f"client submits job1: {status}")
        url = f"{cluster.entry_urls[1]}/-/lots/job1"
        ends_at = time.monotonic() + 40
        last = b""
        while b'"next":%d' % ITEMS not in last and time.monotonic() < ends_at:
            await asyncio.sleep(0.5)
            _, last = await call("GET", f"{url}?after={ITEMS - 1}")
        record.add(f"peaks before: {[peak_mb(each) for each in cluster.entries]} MB")
        host, _, port = cluster.entry_urls[1].removeprefix("http://").partition(":")
        clients = [read_slowly(host, int(port), n * EVERY_S) for n in range(CLIENTS)]
        got = await asyncio.gather(*clients)
        record.add(f"{CLIENTS} clients got {min(got)} to {max(got)} bytes")
        peak = peak_mb(cluster.entries[1])
        record.add(f"peak: {peak} MB of {FRONT_MB} MB")
        return peak <= FRONT_MB
    finally:
        await cancel_all(tasks)
        cluster.stop()
        for engine in engines:
            await engine.stop()


main(play)
