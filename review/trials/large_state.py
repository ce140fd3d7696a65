"""One control instance after the other loses its disk, with time to catch up."""

from __future__ import annotations

import asyncio
import base64
import os
import shutil
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.common.case import CaseNotRunError, run_case  # noqa: E402
from review.common.peers import batch_job, call, configuration  # noqa: E402

# A batch job of 10 bodies is 5.3 MB on the wire; the limits allow 33.5 MB.
_BODY_BYTES = 400_000
_JOB_ITEMS = 10
_JOBS = int(os.environ.get("JOBS", "28"))
_CATCH_UP_S = 5.3
# Four times the time that the pages give a machine to catch up.
_WAIT_S = 22.0
_RECOVER_S = 12.0
_FINAL_READ_S = 25.0


async def case(deployment, client, record, is_disrupted) -> bool:
    if not await client.configure(configuration(2)):
        raise CaseNotRunError("no acknowledgement of the configuration")
    accepted = []
    for number in range(_JOBS):
        name = f"job-{number}"
        job = batch_job({f"{name}-{item}": 3 for item in range(_JOB_ITEMS)})
        for item in job["requests"]:
            body = base64.b64encode(os.urandom(_BODY_BYTES * 3 // 4)) + b" 3"
            item["body"] = base64.b64encode(body).decode()
        headers = {"X-Request-Id": name, "X-Deadline-Ms": "12000"}
        if await client.until_accepted(
            client.front, "POST", f"/rollout/{name}", job, headers
        ):
            accepted.append(name)
    if len(accepted) < _JOBS:
        raise CaseNotRunError("the batch jobs were not accepted")
    leader = _leader(deployment)
    first, second = [
        program for program in deployment.controls if program is not leader
    ]
    if is_disrupted:
        await _lose_disk(first, record)
        await asyncio.sleep(_WAIT_S)
        if not await client.configure(configuration(5)):
            raise CaseNotRunError("no acknowledgement after the first loss")
        record.write(f"{_WAIT_S:.0f} s later; catch_up_s is {_CATCH_UP_S}")
    await _lose_disk(second, record)
    version = 5 if is_disrupted else 2
    is_held = await _is_readable(deployment, client, record, accepted, version)
    for program in deployment.controls:
        record.write(f"{program.name}: peak memory {_peak_mb(program)} MB")
        for event in program.events():
            if event.get("message_type") == "snapshot.received":
                record.write(f"{program.name} received a snapshot")
    return is_held


async def _lose_disk(program, record) -> None:
    record.write(f"{program.name} loses its disk and starts again, empty")
    program.kill()
    shutil.rmtree(program.fields["data_dir"])
    await asyncio.sleep(1.0)
    program.start()


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


def _peak_mb(program) -> int:
    try:
        status = Path(f"/proc/{program.pid}/status").read_text()
    except OSError:
        return 0
    return int(status.partition("VmHWM:")[2].split()[0]) // 1024


async def _is_readable(deployment, client, record, accepted, version) -> bool:
    """Return whether what was acknowledged can be read back after the last loss."""
    started_at = time.monotonic()
    ends_at = started_at + _FINAL_READ_S
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
                is_configured = answer.json()["version"] == version
        for name in list(missing):
            page = await client.read(name, 0)
            if page is not None and page["total"] == _JOB_ITEMS:
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
