"""Run a job through a whole system while parts of it fail."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from pollenlb.client import JobBody, TrainerClient

from .cluster import Cluster, ClusterPlan

STEPS = 4
PROMPTS = 24
GROUP_SIZE = 4
BATCH_GROUPS = 12
STALENESS_BOUND = 1
COUNTER_REQUESTS_PER_S = 40
_MOST_LATENCY_US = 60_000_000


@dataclass
class Counter:
    """What the counter saw."""

    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MOST_LATENCY_US, 3)
    )
    errors: list[str] = field(default_factory=list)
    refused: int = 0
    count: int = 0


@dataclass
class Trainer:
    """What the trainer got, and the promises that it saw broken."""

    slots: set = field(default_factory=set)
    samples: int = 0
    versions: dict = field(default_factory=dict)
    staleness: dict = field(default_factory=dict)
    waited_s: float = 0.0
    total_s: float = 0.0
    broken: list[str] = field(default_factory=list)


def plan(folder: Path) -> ClusterPlan:
    """Return the system of the demo: the sizes of Filo Austral."""
    return ClusterPlan(
        folder=folder,
        services={
            "afilador-lm": {"kind": "engine", "checks_fencing": True},
            "mostrador": {"kind": "plain"},
            "puntaje": {"kind": "plain"},
        },
        routes={
            "completions": {"service": "afilador-lm", "path_prefix": "/v1"},
            "counter": {
                "service": "mostrador",
                "path_prefix": "/orders",
                "repeatable": True,
            },
        },
        engines={"afilador-lm": 6},
        plains={"mostrador": 3, "puntaje": 1},
    )


async def run_counter(cluster: Cluster, counter: Counter) -> None:
    """Ask for orders at a constant rate, whatever the answers take."""
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        due = time.perf_counter()
        number = 0
        while True:
            due += 1 / COUNTER_REQUESTS_PER_S
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            number += 1
            group.create_task(_ask(session, cluster, counter, number, due))


async def _ask(
    session: aiohttp.ClientSession,
    cluster: Cluster,
    counter: Counter,
    number: int,
    due: float,
) -> None:
    path = f"/orders/{number}"
    counter.count += 1
    try:
        async with session.get(cluster.balancer + path) as response:
            if response.headers.get("Pollenlb-Outcome") == "not-run":
                counter.refused += 1
                return
            answer = await response.json()
        if response.status != 200 or answer["path"] != path:
            counter.errors.append(f"{path}: {response.status} {answer}")
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        counter.errors.append(f"{path}: {error!r}")
    latency_us = int(1e6 * (time.perf_counter() - due))
    counter.latencies.record_value(max(1, min(latency_us, _MOST_LATENCY_US)))


async def run_trainer(cluster: Cluster, trainer: Trainer) -> None:
    """Take a job through its steps, releasing weights after each."""
    async with TrainerClient([cluster.balancer]) as client:
        job = JobBody("bevel", "afilador-lm", GROUP_SIZE, BATCH_GROUPS,
                      STALENESS_BOUND, 60, "puntaje")  # fmt: skip
        await client.create_job(job)
        version = 1
        await client.set_version("bevel", version)
        started_at = time.perf_counter()
        number = 0
        for step in range(STEPS):
            prompts = [f"angle for blade {step}.{each}" for each in range(PROMPTS)]
            await client.submit_step("bevel", step, prompts)
            if step == 1:
                asyncio.get_running_loop().call_later(0.3, _kill_engine, cluster)
            for _ in range(PROMPTS // BATCH_GROUPS):
                number += 1
                asked_at = time.perf_counter()
                batch = await client.pull("bevel", number)
                trainer.waited_s += time.perf_counter() - asked_at
                _take(trainer, batch, version)
                print(f"  step {step}: batch {number}, {len(batch.samples)} samples")
                if number % 2:
                    version += 1
                    await client.release("afilador-lm", version)
                    await client.set_version("bevel", version)
                await asyncio.sleep(0.3)
        trainer.total_s = time.perf_counter() - started_at


def _kill_engine(cluster: Cluster) -> None:
    print("  killing engine afilador-lm-2")
    cluster.kill("afilador-lm-2")


def _take(trainer: Trainer, batch, version: int) -> None:
    for delivered in batch.samples:
        slot = (delivered.step, delivered.group, delivered.position)
        if slot in trainer.slots:
            trainer.broken.append(f"slot {slot} came twice")
        trainer.slots.add(slot)
        trainer.samples += 1
        _check_versions(trainer, delivered.sample, version)


def _check_versions(trainer: Trainer, sample, version: int) -> None:
    told = [
        span.version for span in sample.spans for _ in range(span.last - span.first + 1)
    ]
    true = [int(token.split(":")[1]) for token in sample.text.split()]
    if told != true:
        trainer.broken.append(f"{sample.request_id}: versions {told} but true {true}")
    age = version - min(true)
    trainer.staleness[age] = trainer.staleness.get(age, 0) + 1
    if age > STALENESS_BOUND:
        trainer.broken.append(f"{sample.request_id}: {age} versions old")
    for each in set(true):
        trainer.versions[each] = trainer.versions.get(each, 0) + 1


async def run_demo(folder: Path) -> bool:
    """Run the demo and tell whether every promise was kept."""
    cluster = Cluster(plan(folder))
    counter = Counter()
    trainer = Trainer()
    try:
        print("starting 3 control instances, 7 entries, 6 engines, 4 plain services")
        await cluster.start()
        print("the system is ready")
        load = asyncio.create_task(run_counter(cluster, counter))
        try:
            async with asyncio.timeout(45):
                await run_trainer(cluster, trainer)
        finally:
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
    finally:
        cluster.stop()
    _report(trainer, counter)
    expected = STEPS * PROMPTS * GROUP_SIZE
    if trainer.samples != expected:
        trainer.broken.append(f"{trainer.samples} samples instead of {expected}")
    for promise in trainer.broken + counter.errors:
        print(f"BROKEN: {promise}")
    return not trainer.broken and not counter.errors


def _report(trainer: Trainer, counter: Counter) -> None:
    idle = trainer.waited_s / trainer.total_s if trainer.total_s else 1.0
    latencies = counter.latencies
    print(f"trainer: {trainer.samples} samples, each slot once")
    print(
        f"  samples with tokens of a version: {dict(sorted(trainer.versions.items()))}"
    )
    print(f"  samples by age in versions: {dict(sorted(trainer.staleness.items()))}")
    print(f"  idle share: {idle:.2f} of {trainer.total_s:.1f} s")
    print(
        f"counter: {counter.count} requests, "
        f"p50 {latencies.get_value_at_percentile(50) / 1000:.1f} ms, "
        f"p99 {latencies.get_value_at_percentile(99) / 1000:.1f} ms, "
        f"{len(counter.errors)} errors, {counter.refused} refused as not run"
    )


def main() -> None:
    """Run the demo in a temporary folder, or in the one that is named."""
    if len(sys.argv) > 1:
        is_kept = asyncio.run(run_demo(Path(sys.argv[1])))
    else:
        with tempfile.TemporaryDirectory(prefix="pollenlb-demo-") as folder:
            is_kept = asyncio.run(run_demo(Path(folder)))
    sys.exit(0 if is_kept else 1)


if __name__ == "__main__":
    main()
