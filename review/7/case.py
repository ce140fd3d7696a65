"""One check-in of another writer, with an address that cannot be read, mid-step."""

from __future__ import annotations

import asyncio
import json
import os
import time
from pathlib import Path

from common_2 import batch_job, call, cancel_all, configuration, submit
from harness_2 import Cluster, Record, check_in, main, post
from servers_2 import Engine

ITEMS = 40
EVENTS = 20
EVENT_S = 0.1
DEADLINE_S = 12.0  # of the trainer's step, as on the sheets
STEADY_S = 5.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def play() -> bool:
    record = Record(Path(__file__).with_name("record.txt"))
    cluster = Cluster(entries=2)
    tasks: list[asyncio.Task] = []
    engines = [Engine(f"i-{n}", "engines", "zone-a", record, EVENT_S) for n in range(2)]
    try:
        await cluster.start(configuration())
        for engine in engines:
            await engine.start()
            body = engine.check_in_body
            tasks.append(asyncio.create_task(check_in(cluster, engine.name, body)))
        await asyncio.sleep(4)  # contact_ms of calm
        items = {f"item-{n}": EVENTS for n in range(ITEMS)}
        status = await submit(cluster.entry_urls[0], "job1", batch_job(items))
        accepted_at = time.monotonic()
        record.add(f"client submits job1 with {ITEMS} items: {status}")
        if status != 202:
            raise RuntimeError("the batch job was not accepted in calm")
        await asyncio.sleep(1)
        if TROUBLE:
            foreign = {**engines[0].check_in_body, "address": "::1:8080", "seq": 1}
            url = f"{cluster.control_urls[0]}/-/Instances.Heartbeat/i-other"
            status = await post(url, foreign)
            record.add(f"another writer checks in as i-other at ::1:8080: {status}")
        count, turn = 0, 0
        while time.monotonic() < accepted_at + DEADLINE_S and count < ITEMS:
            await asyncio.sleep(0.5)
            turn += 1
            url = f"{cluster.entry_urls[turn % 2]}/-/lots/job1"
            status, page = await call("GET", url)
            read = len(json.loads(page)["results"]) if status == 200 else count
            if read != count:
                count = read
                record.add(f"client reads {count} results of job1")
        begun = {item for engine in engines for _, item in engine.runs}
        last_run_at = max(at for engine in engines for at, _ in engine.runs)
        idle_s = time.monotonic() - last_run_at
        record.add(
            f"at the deadline: {count} of {ITEMS} results; {len(begun)} items were at "
            f"a replica, the last one {idle_s:.1f} s ago; "
            f"{sum(engine.running for engine in engines)} run now, of 16 slots"
        )
        is_broken = bool(items.keys() - begun) and idle_s > STEADY_S
        record.add(f"LOST {'broken' if is_broken else 'held'}")
        return not is_broken
    finally:
        await cancel_all(tasks)
        cluster.stop()
        for engine in engines:
            await engine.stop()


main(play)
