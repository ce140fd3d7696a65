"""Trial: a page of results of repetitive text, which pages promise to be 1 MB at most.

Run from the repository root, after the build of the deploy file:
PYTHONPATH=target/deps:review python3 -B review/trials-2/large_page.py
TROUBLE=0 has texts of the same lengths that are hardly compressible.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from pathlib import Path

from aiohttp import web
from common_2 import batch_job, call, cancel_all, configuration, submit
from harness_2 import Cluster, Record, check_in, main
from servers_2 import Engine

# 20 groups of 4 items on the sheet of kitami-roll; the largest text of its site file.
ITEMS, EVENTS, EVENT_BYTES = 80, 95, 1900
MAX_PAGE_BYTES = 1_000_000
READERS = 8
FRONT_MB = 150
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
            data = "the " * (EVENT_BYTES // 4)
            if not TROUBLE:
                data = os.urandom(EVENT_BYTES // 2).hex()
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
        await response.write_eof()
        return response


def peak_mb(machine) -> int:
    status = Path(f"/proc/{machine.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) // 1024


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
        _, page = await call("GET", f"{url}?after=0", timeout_s=10)
        record.add(f"one reader gets a page of {len(page)} bytes")
        record.add(f"peaks: {[peak_mb(each) for each in cluster.entries]} MB")
        pages = [call("GET", f"{url}?after=0", timeout_s=20) for _ in range(READERS)]
        sizes = [len(body) for _, body in await asyncio.gather(*pages)]
        record.add(f"{READERS} readers at once get pages of {sizes} bytes")
        peak = peak_mb(cluster.entries[1])
        record.add(f"peak: {peak} MB; a front of kitami-roll has {FRONT_MB} MB")
        return len(page) <= MAX_PAGE_BYTES and peak <= FRONT_MB
    finally:
        await cancel_all(tasks)
        cluster.stop()
        for engine in engines:
            await engine.stop()


main(play)
