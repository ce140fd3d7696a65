"""Long requests on kept connections, whose bodies are sent in chunks."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from common_2 import ENGINES, ROLLOUT_ROUTE, cancel_all, configuration
from harness_2 import HOST, Cluster, Record, check_in, main
from servers_2 import PlainService

CLIENTS = 5
WORK_S = 24.0
DEADLINE_MS = 40_000
# With TROUBLE=0 bodies are sent with a length instead.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = {
    "name": "r-desk",
    "host": HOST,
    "path_prefix": "/desk/",
    "kind": "unsafe",
    "timeout_ms": DEADLINE_MS,
    "target_latency_ms": 30000,
    "priority": 2,
    "service": "desk",
    "max_attempts": 1,
}
DESK = {
    "name": "desk",
    "health_path": "/healthz",
    "max_conns": 100,
    "protocol": "h1",
    "tls": False,
}


async def play() -> bool:
    record = Record(Path(__file__).with_name("record.txt"))
    cluster = Cluster(entries=1)
    tasks: list[asyncio.Task] = []
    server = PlainService("i-desk", "desk", "zone-a", record, WORK_S)
    try:
        routes, services = (ROLLOUT_ROUTE, ROUTE), (ENGINES, DESK)
        await cluster.start(configuration(routes=routes, services=services))
        await server.start()
        body = server.check_in_body
        tasks.append(asyncio.create_task(check_in(cluster, server.name, body)))
        await asyncio.sleep(4)  # contact_ms of calm
        host, _, port = cluster.entry_urls[0].removeprefix("http://").partition(":")
        answered = await asyncio.gather(
            *(run_client(n, host, int(port), record) for n in range(CLIENTS))
        )
        unanswered = [
            f"long-{n}"
            for n, is_answered in enumerate(answered)
            if not is_answered and f"long-{n}" in server.ran
        ]
        record.add(f"ran and got no answer on a kept connection: {unanswered}")
        is_broken = len(unanswered) > 3
        record.add(f"LOST {'broken' if is_broken else 'held'}")
        return not is_broken
    finally:
        await cancel_all(tasks)
        cluster.stop()
        await server.stop()


async def run_client(number: int, host: str, port: int, record: Record) -> bool:
    """Send a short and a long request on one connection; return if both ended."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        if not await ask(reader, writer, f"short-{number}", "/desk/short", record):
            raise RuntimeError("a short request was not answered in calm")
        return await ask(reader, writer, f"long-{number}", "/desk/long", record)
    finally:
        writer.close()


async def ask(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    name: str,
    path: str,
    record: Record,
) -> bool:
    framing = "Transfer-Encoding: chunked" if TROUBLE else "Content-Length: 10"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n\r\n"
    )
    writer.write(head.encode())
    if TROUBLE:
        writer.write(b"a\r\n0123456789\r\n")
        await writer.drain()
        # The last chunk follows in a packet of its own.
        await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
    else:
        writer.write(b"0123456789")
    record.add(f"client sends {name}")
    try:
        answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 40)
        fields = answer.decode().lower()
        length = int(fields.partition("content-length:")[2].split("\r\n")[0])
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        record.add(f"client: the connection of {name} ended without an answer: {error}")
        return False
    record.add(f"client gets {name}: {answer.split()[1].decode()} {body.decode()}")
    return True


main(play)
