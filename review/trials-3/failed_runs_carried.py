"""An item that fails at each run and is carried to the trainer's next batch job."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from aiohttp import web  # noqa: E402
from stand_ins_3 import (  # noqa: E402
    HAS_TROUBLE,
    HOST,
    MODEL,
    CannotRunError,
    Deployment,
    Record,
    Server,
    configuration,
    lot,
    read_page,
    run_case,
    submit,
)

MAX_ATTEMPTS = 3
MAX_FAILURES = 3 * MAX_ATTEMPTS
FAILING_ITEM = "f0a41c77"
FAIL_S = 1.2
EVENT_S = 0.1
# The other groups of the first step take 60 x 0.1 s.
FIRST_EVENTS = 60
NEXT_EVENTS = 10
DEADLINE_S = 12.0


class FailingServer(Server):
    """An engine that answers the runs of one item with 500."""

    arrivals: list[float] = []
    failures: list[float] = []

    async def run(
        self, request: web.Request, request_id: str, body: bytes, after: int
    ) -> web.StreamResponse:
        if request_id != FAILING_ITEM or not HAS_TROUBLE:
            return await super().run(request, request_id, body, after)
        self.arrivals.append(time.monotonic())
        self.record.add(f"{self.name}: run {len(self.arrivals)} of the item begins")
        await asyncio.sleep(FAIL_S)
        self.failures.append(time.monotonic())
        self.record.add(f"{self.name}: answers 500, {len(self.failures)} in all")
        return web.Response(status=500, headers=self.answer_headers(request_id))


def step_job(step: int, events: int) -> bytes:
    """Return a step whose first group holds the item, as a carried group does."""
    job = lot(step, {FAILING_ITEM: 20})
    job["requests"][0]["group"] = "carried"
    job["group_count"] = 4
    for group in range(4):
        items = lot(step, {f"s{step}g{group}i{number}": events for number in range(2)})
        for item in items["requests"]:
            item["group"] = f"s{step}g{group}"
        job["requests"] += items["requests"]
    return json.dumps(job).encode()


async def play_step(
    deployment: Deployment, record: Record, step: int, events: int, is_carried: bool
) -> bool:
    """Play a step as a trainer does; return whether the item's group is complete."""
    name, entry = f"step{step}", step % 2
    status = await submit(deployment, entry, name, step_job(step, events))
    record.add(f"trainer: {name} submitted, status {status}")
    if status != 202:
        raise CannotRunError(f"{name} was answered {status}")
    ends_at = time.monotonic() + DEADLINE_S
    results: dict[str, str] = {}
    while time.monotonic() < ends_at:
        status, page = await read_page(deployment, entry, name, len(results))
        if page is not None:
            results |= {each["id"]: each["state"] for each in page["results"]}
        groups = sum(
            all(f"s{step}g{group}i{number}" in results for number in range(2))
            for group in range(4)
        )
        is_complete = FAILING_ITEM in results
        if (groups + is_complete >= 4) and (is_complete or not is_carried):
            break
        await asyncio.sleep(0.4)
    record.add(
        f"trainer: {name} has {groups} groups, the item: {results.get(FAILING_ITEM)}"
    )
    status, _, _ = await deployment.call(
        "DELETE",
        f"{deployment.entry_urls[entry]}/-/lots/{name}",
        headers={"Host": HOST},
    )
    record.add(f"trainer: {name} ended, status {status}")
    return is_complete


async def play(record: Record) -> bool:
    """Return whether the rule held."""
    deployment = Deployment(record)
    servers: list[FailingServer] = []
    try:
        await deployment.start()
        await deployment.configure(configuration(5, max_attempts=MAX_ATTEMPTS))
        for number in range(4):
            server = FailingServer(record, f"i-{number}", "huvo11a", 12, MODEL)
            server.event_s = EVENT_S
            await server.start(deployment)
            servers.append(server)
        await deployment.wait_until_ready()
        await asyncio.sleep(3)
        is_complete = await play_step(deployment, record, 0, FIRST_EVENTS, False)
        for step in range(1, 4):
            if is_complete:
                break
            await asyncio.sleep(1.0)
            is_complete = await play_step(deployment, record, step, NEXT_EVENTS, True)
        await asyncio.sleep(2.0)
    finally:
        for server in servers:
            await server.stop()
        await deployment.stop()
    failures, arrivals = FailingServer.failures, FailingServer.arrivals
    if len(failures) < MAX_FAILURES:
        record.add(f"{len(failures)} answers of 500, {len(arrivals)} runs")
        return True
    late = [at for at in arrivals if at > failures[MAX_FAILURES - 1]]
    record.add(
        f"{len(failures)} answers of 500; the item reached a replica {len(late)} times "
        f"after {MAX_FAILURES} of them"
    )
    return not late


if __name__ == "__main__":
    sys.exit(run_case(FOLDER / "record.txt", play))
