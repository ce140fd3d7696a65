"""A request that crashes the servers that run it, after the head of the answer."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from aiohttp import web  # noqa: E402
from stand_ins_3 import (  # noqa: E402
    HAS_TROUBLE,
    HOST,
    SAFE_PREFIX,
    CannotRunError,
    Deployment,
    Record,
    Server,
    configuration,
    run_case,
)

CONTACT_S = 3.0
DOWN_S = 3.0  # "the replica is back after some seconds"
SENDS = 14
SEND_INTERVAL_S = 2.5
MAX_LATE_RETRIES = 3
POISON = b"order 4711, malformed"


class CrashingServer(Server):
    """A plain server that ends when it has begun to answer one request's body."""

    crashes: list[float] = []
    poison_arrivals: list[tuple[float, str, str]] = []

    async def run(
        self, request: web.Request, request_id: str, body: bytes, after: int
    ) -> web.StreamResponse:
        if body != POISON:
            return await super().run(request, request_id, body, after)
        self.poison_arrivals.append((time.monotonic(), self.name, request_id))
        self.record.add(f"{self.name}: begins to run the request as {request_id}")
        answer = b"x" * 800
        response = web.StreamResponse(headers=self.answer_headers(request_id))
        response.content_length = len(answer)
        await response.prepare(request)
        await response.write(answer[:400])
        if not HAS_TROUBLE:
            await response.write(answer[400:])
            return response
        asyncio.get_running_loop().create_task(self.crash())
        await asyncio.sleep(10)
        return response

    async def crash(self) -> None:
        """End all connections and the port, and start again after some seconds."""
        self.crashes.append(time.monotonic())
        self.record.add(f"{self.name}: crashes ({len(self.crashes)} crashes in all)")
        for site in list(self._runner.sites):
            await site.stop()
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.is_down = True
        await asyncio.sleep(DOWN_S)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running.clear()
        await web.TCPSite(self._runner, "127.0.0.1", self.port).start()
        self.is_down = False
        self.record.add(f"{self.name}: is back")

    is_down = False


async def play(record: Record) -> bool:
    """Return whether the rule held."""
    deployment = Deployment(record)
    servers: list[CrashingServer] = []
    try:
        await deployment.start()
        await deployment.configure(configuration(5))
        for number in range(4):
            server = CrashingServer(record, f"i-{number}", "wuno96b", 6, None)
            await server.start(deployment)
            servers.append(server)
        await deployment.wait_until_ready()
        await asyncio.sleep(4)
        status = await send(deployment, record, 0, "calm", b"order 4710")
        if status != 200:
            raise CannotRunError(f"a request in calm was answered {status}")
        ordinary = asyncio.create_task(send_ordinary(deployment, record))
        for number in range(SENDS):
            started_at = time.monotonic()
            await send(deployment, record, number % 2, f"poison-{number}", POISON)
            await asyncio.sleep(
                max(0.0, SEND_INTERVAL_S - (time.monotonic() - started_at))
            )
        ordinary.cancel()
        await asyncio.gather(ordinary, return_exceptions=True)
        return judge(record)
    finally:
        for server in servers:
            await server.stop()
        await deployment.stop()


async def send_ordinary(deployment: Deployment, record: Record) -> None:
    """Send an ordinary request ten times a second, and record the statuses."""
    statuses: Counter[int] = Counter()
    try:
        for number in itertools.count():
            status, _, _ = await deployment.call(
                "POST",
                f"{deployment.entry_urls[number % 2]}{SAFE_PREFIX}{number}",
                b"an ordinary request",
                {
                    "Host": HOST,
                    "X-Request-Id": f"ordinary-{number}",
                    "X-Deadline-Ms": "1500",
                },
                2.0,
            )
            statuses[status] += 1
            await asyncio.sleep(0.1)
    finally:
        record.add(f"ordinary requests meanwhile, by status: {dict(statuses)}")


async def send(
    deployment: Deployment, record: Record, entry: int, request_id: str, body: bytes
) -> int:
    """Send a request to an entry and return the status."""
    status, _, headers = await deployment.call(
        "POST",
        f"{deployment.entry_urls[entry]}{SAFE_PREFIX}4711",
        body,
        {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "2000"},
        2.5,
    )
    stamp = "with a stamp" if "X-Server-Stamp" in headers else "without a stamp"
    record.add(f"client: {request_id} at entry {entry} ended with {status} {stamp}")
    return status


def judge(record: Record) -> bool:
    """Count the sends later than contact_ms after the third crash."""
    crashes = CrashingServer.crashes
    arrivals = CrashingServer.poison_arrivals
    if len(crashes) < 3:
        record.add(f"{len(crashes)} crashes, {len(arrivals)} runs: the rule held")
        return True
    late = [at for at, _, _ in arrivals if at > crashes[2] + CONTACT_S]
    record.add(
        f"{len(crashes)} crashes; the request reached servers {len(late)} times later "
        f"than {CONTACT_S:g} s after it had crashed the third one; allowed are "
        f"{MAX_LATE_RETRIES}"
    )
    return len(late) <= MAX_LATE_RETRIES


if __name__ == "__main__":
    sys.exit(run_case(FOLDER / "record.txt", play))
