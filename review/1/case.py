"""Servers answer without a length; some answers are reset on the way."""

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
    batch_job,
    call,
    configuration,
    plain_body,
    reset,
    whole_text,
)

_SAFE_COUNT = 60
_ITEMS = {f"item-{number}": 20 for number in range(12)}
# One safe answer in eight, and the first run of one item in four, are reset.
_RESET_SAFE = 8
_RESET_ITEMS = {"item-0", "item-4", "item-8"}
_RESET_AT_EVENT = 9


async def case(deployment, client, record, is_disrupted) -> bool:
    was_reset: set[str] = set()

    async def reset_plain(server, request, writer, body) -> bool:
        name = request["id"]
        if not is_disrupted or not name.startswith("safe-"):
            return False
        if int(name[5:]) % _RESET_SAFE or name in was_reset:
            return False
        was_reset.add(name)
        writer.write(body[: len(body) // 2])
        await writer.drain()
        await asyncio.sleep(0.03)
        record.write(f"reset {server.name} id={name} after {len(body) // 2} bytes")
        reset(writer)
        return True

    async def reset_stream(server, request, writer, number) -> bool:
        name = request["id"]
        is_due = number == _RESET_AT_EVENT and name in _RESET_ITEMS - was_reset
        if not is_disrupted or not is_due:
            return False
        was_reset.add(name)
        record.write(f"reset {server.name} id={name} before event {number}")
        reset(writer)
        return True

    servers = []
    for number in range(3):
        address = deployment.control_addresses
        desk = Server(
            f"d-{number}", "desk", f"127.0.2.{number + 11}", address, record, False
        )
        desk.intervene = reset_plain
        engine = Server(
            f"e-{number}", "engines", f"127.0.3.{number + 11}", address, record
        )
        engine.intervene = reset_stream
        servers += [desk, engine]
    for server in servers:
        server.unframed = True
        await server.start()
    if not await client.configure(configuration(2)):
        raise CaseNotRunError("no acknowledgement of the configuration")
    if not await client.is_served(len(deployment.entries)):
        raise CaseNotRunError("safe requests are not served")
    if not await client.submit("job-1", batch_job(_ITEMS)):
        raise CaseNotRunError("the batch job was not accepted")

    broken = 0
    for number in range(_SAFE_COUNT):
        name = f"safe-{number}"
        address = deployment.front_addresses[number % len(deployment.entries)]
        headers = {"X-Request-Id": name, "X-Deadline-Ms": "1500"}
        answer = await call(address, "POST", f"/safe/{number}", b"ask 1", headers)
        if answer is None:
            record.write(f"answer {name}: none")
            continue
        is_whole = answer.body == plain_body(name)
        record.write(
            f"answer {name}: {answer.status} bytes={len(answer.body)} "
            f"complete={answer.is_complete} whole={is_whole}"
        )
        if answer.status == 200 and answer.is_complete and not is_whole:
            record.write(f"MIXED: {name} looks complete but is not the whole body")
            broken += 1
    results = await client.read_results("job-1", 20.0)
    if not is_disrupted and len(results) < len(_ITEMS):
        raise CaseNotRunError("the batch job has results missing")
    for result in results:
        whole = whole_text(result["id"], _ITEMS[result["id"]])
        if result["state"] == "completed" and result["text"] != whole:
            record.write(
                f"MIXED: {result['id']} is completed with {len(result['text'])} of "
                f"{len(whole)} bytes"
            )
            broken += 1
    for server in servers:
        await server.crash()
    return not broken


if __name__ == "__main__":
    run_case(
        case,
        record_path=Path(__file__).with_name("record.txt"),
        is_disrupted=os.environ.get("TROUBLE", "1") != "0",
    )
