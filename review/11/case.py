"""Streams that clients take up after the control instances were restarted in turn."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import aiohttp  # noqa: E402
from stand_ins_3 import (  # noqa: E402
    HAS_TROUBLE,
    HOST,
    MODEL,
    STREAM_PREFIX,
    CannotRunError,
    Deployment,
    Record,
    Server,
    configuration,
    run_case,
)

CONTACT_S = 3.0
STREAMS = 16
MIN_STREAMS = 12
EVENTS = 80
EVENT_S = 0.12
DEADLINE_MS = 12_000
GAP_S = 1.0
MARGIN_S = 0.7


class Stream:
    """A stream of one client over its attempts."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.began_as = ""
        self.last_event = -1
        self.is_wrong = False
        self.connection: aiohttp.ClientResponse | None = None
        self.ends_at = time.monotonic() + DEADLINE_MS / 1000

    async def read(
        self, deployment: Deployment, record: Record, entry: int, attempt: str
    ) -> int:
        """Read events on a new connection until it ends; return the status."""
        left_s = self.ends_at - time.monotonic()
        headers = {
            "Host": HOST,
            "X-Request-Id": attempt,
            "X-Deadline-Ms": str(int(left_s * 1000)),
            "X-Model": MODEL,
            "X-Token-Count": f"540,{EVENTS}",
        }
        if self.began_as:
            headers["Last-Event-Id"] = str(self.last_event)
            headers["Resumes"] = self.began_as
        status = 0
        try:
            async with deployment.session.post(
                deployment.entry_urls[entry] + STREAM_PREFIX + self.name,
                data=b"%d " % EVENTS,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=left_s),
            ) as response:
                status = response.status
                self.connection = response
                if status != 200:
                    return status
                async for line in response.content:
                    if not line.startswith(b"id: "):
                        continue
                    number = int(line[4:])
                    self.is_wrong |= number != self.last_event + 1
                    self.last_event = number
                    self.began_as = self.began_as or attempt
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        return status


async def play(record: Record) -> bool:
    """Return whether the rule held."""
    deployment = Deployment(record)
    servers: list[Server] = []
    try:
        await deployment.start()
        await deployment.configure(configuration(5))
        for number in range(3):
            server = Server(record, f"i-{number}", "huvo11a", 12, MODEL)
            server.event_s = EVENT_S
            await server.start(deployment)
            servers.append(server)
        await deployment.wait_until_ready()
        await asyncio.sleep(4)
        return await take_up_streams(deployment, record)
    finally:
        for server in servers:
            await server.stop()
        await deployment.stop()


async def restart_in_turn(deployment: Deployment, names: list[str]) -> None:
    """Stop processes as planned work does, one after the other, and start them."""
    for name in names:
        if name != names[0]:
            await asyncio.sleep(GAP_S)
        deployment.signal(name, signal.SIGTERM)
        while deployment.processes[name].poll() is None:
            await asyncio.sleep(0.02)
        deployment.start_process(name)


async def take_up_streams(deployment: Deployment, record: Record) -> bool:
    streams = [Stream(f"s{number}") for number in range(STREAMS)]
    first_reads = [
        asyncio.create_task(each.read(deployment, record, 0, f"{each.name}-a"))
        for each in streams
    ]
    await asyncio.sleep(1.0)
    begun = [each for each in streams if each.last_event >= 0]
    record.add(f"{len(begun)} of {STREAMS} streams have begun at entry 0")
    if len(begun) < MIN_STREAMS:
        raise CannotRunError("too few streams have begun")
    names = [name for name in deployment.roles if deployment.roles[name] == "control"]
    if HAS_TROUBLE:
        await restart_in_turn(deployment, names)
    disturbed_at = time.monotonic()
    status, _ = await deployment.call_control("GET", "/-/Config.Read", within_s=3.0)
    record.add(
        f"the configuration is read again, {time.monotonic() - disturbed_at:.1f} s "
        f"after the last control instance was started: status {status}"
    )
    if status != 200:
        raise CannotRunError("the control instances are not back")
    await asyncio.sleep(
        max(0.0, disturbed_at + CONTACT_S + MARGIN_S - time.monotonic())
    )
    record.add(
        f"the last disturbance was {time.monotonic() - disturbed_at:.1f} s ago; the "
        "connections of the clients are reset"
    )
    broken = [each for each in begun if not each.connection.closed]
    for each in broken:
        each.connection.close()
    await asyncio.gather(*first_reads)
    new = [Stream(f"n{number}") for number in range(STREAMS)]
    old_events = {each.name: each.last_event for each in broken}
    started_at = time.monotonic()
    statuses = await asyncio.gather(
        *(each.read(deployment, record, 1, f"{each.name}-b") for each in broken),
        *(each.read(deployment, record, 1, f"{each.name}-a") for each in new),
    )
    for each, status in zip([*broken, *new], statuses):
        record.add(
            f"client: {each.name} at entry 1: status {status}, events "
            f"{old_events.get(each.name, -1) + 1} to {each.last_event}"
            + (f", taken up from {each.began_as}" if each in broken else ", new")
        )
    record.add(f"these attempts took {time.monotonic() - started_at:.1f} s")
    going_on = sum(each.last_event > old_events[each.name] for each in broken)
    beginning = sum(each.last_event >= 0 for each in new)
    record.add(
        f"{going_on} of {len(broken)} streams that were taken up went on; "
        f"{beginning} of {len(new)} new ones began"
    )
    if any(each.is_wrong for each in [*broken, *new]):
        record.add("events were missing or repeated")
        return False
    if len(broken) < MIN_STREAMS or not beginning:
        raise CannotRunError("too few streams to judge")
    return going_on / len(broken) >= 0.5 * beginning / len(new)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER / "record.txt", play))
