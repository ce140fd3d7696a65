"""A frozen leader wakes, and the new leader is killed while it repairs the old one."""

from __future__ import annotations

import asyncio
import base64
import os
import shutil
import signal
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.common.case import CaseNotRunError, run_case  # noqa: E402
from review.common.peers import batch_job, call, configuration  # noqa: E402

# Two bodies make a batch job; the limits allow 33.5 MB.
_BODY_BYTES = 100_000
_LOAD_BODY_BYTES = 2_500_000
_FIRST_JOBS = 60
_CLIENTS = 1
_LOAD_S = 0.1
# From the leader's write to the freeze; the followers take longer for the entry.
_FREEZE_DELAYS_S = (0.020, 0.017, 0.023, 0.014)
_FREEZE_S = 2.5
_MAX_ROUNDS = 4
# The kill follows the thaw within this time, or not at all.
_KILL_WITHIN_S = 0.6
_RESTART_DELAY_S = 0.3
_CATCH_UP_S = 5.3
_RECOVER_S = 12.0
_FINAL_READ_S = 25.0


async def case(deployment, client, record, is_disrupted) -> bool:
    if not await client.configure(configuration(2)):
        raise CaseNotRunError("no acknowledgement of the configuration")
    accepted: list[str] = []
    for number in range(_FIRST_JOBS):
        await _submit(client, f"job-{number}", accepted)
    if len(accepted) < _FIRST_JOBS:
        raise CaseNotRunError("the batch jobs were not accepted")

    repaired = None
    for number in range(_MAX_ROUNDS if is_disrupted else 1):
        repaired = await _load_and_freeze(
            deployment, client, record, accepted, number, is_disrupted
        )
        if repaired is not None:
            break
    for number in range(4):
        await _submit(client, f"job-after-{number}", accepted)
    await asyncio.sleep(_CATCH_UP_S + 1)
    if not await client.configure(configuration(5)):
        raise CaseNotRunError("no acknowledgement before the final fault")

    wiped = next(
        program
        for program in deployment.controls
        if program not in (repaired, _leader(deployment))
    )
    record.write(f"final fault: {wiped.name} loses its disk, all controls are killed")
    for program in deployment.controls:
        program.send_signal(signal.SIGKILL)
    for program in deployment.controls:
        program.wait()
    shutil.rmtree(wiped.fields["data_dir"])
    await asyncio.sleep(1.0)
    for program in deployment.controls:
        program.start()
    is_held = await _is_readable(deployment, client, record, accepted)
    for program in deployment.controls:
        text = program.output.read_text(errors="replace")
        for line in text.splitlines():
            if line.startswith("error:"):
                record.write(f"{program.name} ended: {line}")
    return is_held


async def _submit(
    client, name: str, accepted: list[str], body_bytes: int = _BODY_BYTES
) -> None:
    job = batch_job({f"{name}-{number}": 3 for number in range(2)})
    for item in job["requests"]:
        body = base64.b64encode(os.urandom(body_bytes * 3 // 4)) + b" 3"
        item["body"] = base64.b64encode(body).decode()
    if await client.submit(name, job):
        accepted.append(name)


async def _load_and_freeze(
    deployment, client, record, accepted, number: int, is_disrupted: bool
):
    """Freeze the leader under load; return it if its log was being repaired."""

    async def load(worker: int) -> None:
        count = 0
        while True:
            count += 1
            name = f"job-{number}-{worker}-{count}"
            await _submit(client, name, accepted, _LOAD_BODY_BYTES)

    old = _leader(deployment)
    tasks = [asyncio.create_task(load(worker)) for worker in range(_CLIENTS)]
    await asyncio.sleep(_LOAD_S)
    log = Path(old.fields["data_dir"]) / "log"
    written = log.stat().st_size
    ends_at = time.monotonic() + 2.0
    while log.stat().st_size == written and time.monotonic() < ends_at:
        await asyncio.sleep(0)
    if is_disrupted:
        time.sleep(_FREEZE_DELAYS_S[number])
        old.send_signal(signal.SIGSTOP)
        record.write(f"freeze {old.name}, the leader, as it takes a batch job")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if not is_disrupted:
        return None
    await asyncio.sleep(_FREEZE_S)
    new = _leader(deployment)
    if new is old:
        raise CaseNotRunError("no other leader was elected during the freeze")
    repair = log.with_suffix(".new")
    record.write(f"thaw {old.name}; {new.name} leads")
    old.send_signal(signal.SIGCONT)
    thawed_at = time.monotonic()
    while time.monotonic() < thawed_at + _KILL_WITHIN_S:
        if repair.exists():
            new.kill()
            after_s = time.monotonic() - thawed_at
            record.write(f"kill {new.name}, {after_s:.3f} s after the thaw")
            await asyncio.sleep(_RESTART_DELAY_S)
            new.start()
            await asyncio.sleep(2.0)
            return old
        time.sleep(0.0003)
    record.write(f"{old.name} had nothing to repair")
    await asyncio.sleep(2.0)
    return None


def _leader(deployment):
    elected = [
        (event["term"], number)
        for number, program in enumerate(deployment.controls)
        for event in program.events()
        if event.get("message_type") == "leader.elected"
    ]
    if not elected:
        raise CaseNotRunError("no leader was elected")
    return deployment.controls[max(elected)[1]]


async def _is_readable(deployment, client, record, accepted) -> bool:
    """Return whether what was acknowledged can be read back after the final fault."""
    ends_at = time.monotonic() + _FINAL_READ_S
    started_at = time.monotonic()
    missing = [accepted[0], accepted[len(accepted) // 2], accepted[-1]]
    is_configured = False
    while time.monotonic() < ends_at:
        for program in deployment.controls:
            # The platform starts a process that has ended again.
            if not program.is_running:
                program.start()
        for address in deployment.control_addresses:
            answer = await call(address, "GET", "/-/Config.Read", timeout_s=1.0)
            if answer is not None and answer.status == 200:
                is_configured = answer.json()["version"] == 5
        for name in list(missing):
            page = await client.read(name, 0)
            if page is not None and page["total"] == 2:
                missing.remove(name)
        if is_configured and not missing:
            after_s = time.monotonic() - started_at
            record.write(f"all was read {after_s:.1f} s after the restart")
            return True
        await asyncio.sleep(0.5)
    record.write(
        f"LOST: {_FINAL_READ_S:.0f} s after all are back (recover_s is "
        f"{_RECOVER_S:.0f}) the configuration "
        f"{'is' if is_configured else 'is not'} read; batch jobs not read: {missing}"
    )
    return False


if __name__ == "__main__":
    run_case(
        case,
        record_path=Path(__file__).with_name("record.txt"),
        is_disrupted=os.environ.get("TROUBLE", "1") != "0",
    )
