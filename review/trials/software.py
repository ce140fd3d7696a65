"""A server starts again under its id with other software, and begins a stream."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.common.case import CaseNotRunError, run_case  # noqa: E402
from review.common.peers import (  # noqa: E402
    Server,
    call,
    configuration,
    encode_chunk,
    reset,
)

_EVENTS = 40
_RESET_AT_EVENT = 15
_STREAMS = 9
_FIRST_CHECK_IN_S = 1.2  # one heartbeat of the site


async def case(deployment, client, record, is_disrupted) -> bool:
    servers = [
        Server(
            f"e-{number}",
            "engines",
            f"127.0.3.{number + 11}",
            deployment.control_addresses,
            record,
        )
        for number in range(3)
    ]
    changed = servers[0]

    async def stream(server, request, writer, number) -> bool:
        for event in range(number, _EVENTS):
            if server.software == "v2" and event == _RESET_AT_EVENT:
                record.write(f"reset {server.name} id={request['id']}")
                reset(writer)
                return True
            data = f"{request['id']}.{event}.{server.software}"
            block = f"id: {event}\ndata: {data}\n\n"
            writer.write(encode_chunk(block.encode()))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(encode_chunk(b""))
        await writer.drain()
        return True

    for server in servers:
        server.intervene = stream
        await server.start()
    document = configuration(2)
    route = {
        **document["routes"][1],
        "name": "r-stream",
        "path_prefix": "/stream/",
        "kind": "streaming",
        "resumable": True,
        "service": "engines",
        "timeout_ms": 10000,
        "target_latency_ms": 400,
    }
    document["routes"].append(route)
    if not await client.configure(document):
        raise CaseNotRunError("no acknowledgement of the configuration")
    await asyncio.sleep(2.0)
    if is_disrupted:
        await changed.crash()
        changed.software = "v2"
        changed.first_check_in_s = _FIRST_CHECK_IN_S
        await changed.start()
        record.write(f"{changed.name} starts again under its id, with software v2")

    async def read_stream(number: int) -> bool:
        headers = {"X-Request-Id": f"st-{number}", "X-Deadline-Ms": "8000"}
        answer = await call(
            deployment.front_addresses[number % len(deployment.entries)],
            "POST",
            f"/stream/{number}",
            b"ask %d" % _EVENTS,
            headers,
            8.0,
        )
        if answer is None or answer.status != 200:
            return True
        lines = answer.body.decode().split("\n")
        found = {line.rpartition(".")[2] for line in lines if line.startswith("data:")}
        record.write(
            f"st-{number} complete={answer.is_complete} software={sorted(found)}"
        )
        return not (answer.is_complete and len(found) > 1)

    held = await asyncio.gather(*(read_stream(number) for number in range(_STREAMS)))
    for server in servers:
        await server.crash()
    return all(held)


if __name__ == "__main__":
    run_case(
        case,
        record_path=Path(__file__).with_name("record.txt"),
        is_disrupted=os.environ.get("TROUBLE", "1") != "0",
    )
