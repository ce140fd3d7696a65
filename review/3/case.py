"""A server is lost while it runs an item that one version must generate."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.common.case import CaseNotRunError, run_case  # noqa: E402
from review.common.peers import (  # noqa: E402
    Server,
    batch_job,
    configuration,
    whole_text,
)

_LONG = "item-long"
_LONG_EVENTS = 170
_FIRST_STEP = {f"item-0-{number}": 8 for number in range(4)}
_NEXT_STEP = {f"item-1-{number}": 8 for number in range(4)} | {_LONG: _LONG_EVENTS}
# The trainer of this deployment gives up a step after this time.
_STEP_S = 30.0
# RULES: 5 s of steady state, and no version named in the 6 s before; contact_ms.
_IDLE_S = 5.0
_AFTER_VERSION_S = 6.0
_CONTACT_S = 3.0
# A run that its sender ends within this time does not count.
_SHORT_RUN_S = 1.0


async def case(deployment, client, record, is_disrupted) -> bool:
    spans: list[tuple[float, float]] = []
    engines = []

    async def watch(server, request, writer, number) -> bool:
        if request["id"] != _LONG:
            return False
        if number == int(request["headers"].get("last-event-id", "-1")) + 1:
            spans.append((time.monotonic(), time.monotonic()))
        spans[-1] = (spans[-1][0], time.monotonic())
        return False

    for number in range(4):
        engine = Server(
            f"e-{number}",
            "engines",
            f"127.0.3.{number + 11}",
            deployment.control_addresses,
            record,
        )
        engine.event_s = 0.06
        engine.intervene = watch
        engines.append(engine)
        await engine.start()
    if not await client.configure(configuration(2, single_version=True)):
        raise CaseNotRunError("no acknowledgement of the configuration")
    if not await client.submit("step-0", batch_job(_FIRST_STEP)):
        raise CaseNotRunError("the first step was not accepted")
    # The trainer asks a step ahead.
    if not await client.submit("step-1", batch_job(_NEXT_STEP, step=1)):
        raise CaseNotRunError("the next step was not accepted")
    submitted_at = time.monotonic()
    if len(await client.read_results("step-0", 10.0)) < len(_FIRST_STEP):
        raise CaseNotRunError("the first step has results missing")
    await client.until_accepted(deployment.front_addresses, "DELETE", "/-/lots/step-0")
    if not await client.name_version(2):
        raise CaseNotRunError("no acknowledgement of version 2")
    named_at = time.monotonic()
    record.write("version 2 is named")
    await _wait_until_others_loaded(engines)
    holder = next(engine for engine in engines if engine.running)
    lost_at = time.monotonic()
    if is_disrupted:
        record.write(f"{holder.name} is lost for good; it ran {_LONG}")
        await holder.crash()
        engines.remove(holder)

    results = await client.read_results(
        "step-1", submitted_at + _STEP_S - time.monotonic()
    )
    ended_at = time.monotonic()
    listed = {result["id"]: result for result in results}
    for engine in engines:
        await engine.crash()
    if _LONG in listed:
        result = listed[_LONG]
        record.write(f"{_LONG} is {result['state']} under {result['versions']}")
        whole = whole_text(_LONG, _LONG_EVENTS)
        return result["state"] == "completed" and result["text"] == whole
    steady_from = max(named_at + _AFTER_VERSION_S, lost_at + _CONTACT_S)
    runs = [span for span in spans if span[1] - span[0] > _SHORT_RUN_S]
    last_end = max([steady_from, *(end for _, end in runs)])
    idle_s = ended_at - last_end
    record.write(
        f"the step's time is over; {_LONG} was at no server for {idle_s:.1f} s; "
        f"servers got it {sum(r['id'] == _LONG for e in engines for r in e.runs)} "
        "times after the loss"
    )
    return idle_s < _IDLE_S


async def _wait_until_others_loaded(engines) -> None:
    ends_at = time.monotonic() + 6.0
    while time.monotonic() < ends_at:
        loaded = [engine for engine in engines if engine.version == 2]
        running = [engine for engine in engines if engine.running]
        if len(loaded) == len(engines) - 1 and len(running) == 1:
            return
        await asyncio.sleep(0.02)
    raise CaseNotRunError("the idle servers did not load version 2 in time")


if __name__ == "__main__":
    run_case(
        case,
        record_path=Path(__file__).with_name("record.txt"),
        is_disrupted=os.environ.get("TROUBLE", "1") != "0",
    )
