"""The entry that runs a batch job is killed; one of the job's items always fails."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.common.case import CaseNotRunError, run_case  # noqa: E402
from review.common.peers import Server, batch_job, configuration  # noqa: E402

_FAILING = "item-fails"
# The others last, so that the batch job stays open.
_ITEMS = {_FAILING: 5} | {f"item-{number}": 300 for number in range(4)}
_MAX_ATTEMPTS = 3
# RULES: an item that fails at each run reaches a server again after this many
# answers of 500.
_MAX_FAILURES = 3 * _MAX_ATTEMPTS
_KILL_AFTER_FAILURES = 4
_CONTACT_S = 3.0


async def case(deployment, client, record, is_disrupted) -> bool:
    failed_at: list[float] = []
    killed_at: list[float] = []

    def decide_status(name: str) -> int:
        if name != _FAILING:
            return 200
        failed_at.append(time.monotonic())
        if is_disrupted and len(failed_at) == _KILL_AFTER_FAILURES:
            asyncio.get_running_loop().call_later(0.01, kill_owner)
        return 500

    def kill_owner() -> None:
        for entry in deployment.entries:
            taken = [
                event
                for event in entry.events()
                if event.get("message_type") == "batch_job.taken"
            ]
            if taken and not killed_at:
                record.write(f"kill {entry.name}, which runs the batch job")
                entry.kill()
                killed_at.append(time.monotonic())
                entry.start()

    servers = []
    for number in range(4):
        server = Server(
            f"e-{number}",
            "engines",
            f"127.0.3.{number + 11}",
            deployment.control_addresses,
            record,
        )
        server.decide_status = decide_status
        server.event_s = 0.05
        servers.append(server)
        await server.start()
    if not await client.configure(configuration(2, max_attempts=_MAX_ATTEMPTS)):
        raise CaseNotRunError("no acknowledgement of the configuration")
    # From here on no entry was started within the time of contact.
    await asyncio.sleep(_CONTACT_S + 1)
    if not await client.submit("job-1", batch_job(_ITEMS)):
        raise CaseNotRunError("the batch job was not accepted")
    results = await client.read_results("job-1", 35.0)
    for server in servers:
        await server.crash()
    if not failed_at or (is_disrupted and not killed_at):
        raise CaseNotRunError("the item did not fail, or its owner was not killed")
    states = {result["id"]: result["state"] for result in results}
    record.write(
        f"{_FAILING} reached servers {len(failed_at)} times, each answered with 500; "
        f"{_MAX_FAILURES} are allowed; its state is {states.get(_FAILING)}"
    )
    return len(failed_at) <= _MAX_FAILURES


if __name__ == "__main__":
    run_case(
        case,
        record_path=Path(__file__).with_name("record.txt"),
        is_disrupted=os.environ.get("TROUBLE", "1") != "0",
        entries=3,
    )
