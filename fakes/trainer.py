"""A fake trainer with a ledger of its own."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

from pollenlb.client import DeliveredBatch, JobBody, TrainerClient
from pollenlb.connection.trainer_messages import SampleBody

JOB = "bevel"
SERVICE = "afilador-lm"
SCORER = "puntaje"
STEPS = 4
PROMPTS = 24
GROUP_SIZE = 4
BATCH_GROUPS = 12
MAX_TOKENS = 60
STALENESS_BOUND = 1
TRAIN_S = 0.3


@dataclass
class TrainerReport:
    """What the trainer got, and the promises that it saw broken.

    Attributes
    ----------
    versions : dict
        Samples with tokens of a version.
    staleness : dict
        Samples by age in versions.
    """

    samples: int = 0
    versions: dict[int, int] = field(default_factory=dict)
    staleness: dict[int, int] = field(default_factory=dict)
    waited_s: float = 0.0
    total_s: float = 0.0
    broken: list[str] = field(default_factory=list)


class FakeTrainer:
    """Takes a job through its steps and releases weights in the middle of each.

    Parameters
    ----------
    url : str
        Base URL of the balancer.
    report_file : Path
        Where the report is written as JSON.
    """

    def __init__(self, url: str, report_file: Path) -> None:
        self._url = url
        self._report_file = report_file
        self._report = TrainerReport()
        self._slots: set[tuple[int, int, int]] = set()
        self._version = 1

    async def run(self) -> None:
        """Train to the end and write the report."""
        async with TrainerClient([self._url]) as client:
            await client.create_job(
                JobBody(
                    JOB, SERVICE, GROUP_SIZE, BATCH_GROUPS,
                    STALENESS_BOUND, MAX_TOKENS, SCORER,
                )
            )  # fmt: skip
            await client.set_version(JOB, self._version)
            started_at = time.perf_counter()
            for step in range(STEPS):
                await self._run_step(client, step)
            self._report.total_s = time.perf_counter() - started_at
        expected = STEPS * PROMPTS * GROUP_SIZE
        if self._report.samples != expected:
            self._break(f"{self._report.samples} samples instead of {expected}")
        self._report_file.write_text(json.dumps(asdict(self._report)))

    async def _run_step(self, client: TrainerClient, step: int) -> None:
        prompts = [f"angle for blade {step}.{number}" for number in range(PROMPTS)]
        await client.submit_step(JOB, step, prompts)
        print(f"step {step} submitted", flush=True)
        batches = PROMPTS // BATCH_GROUPS
        for number in range(step * batches + 1, (step + 1) * batches + 1):
            asked_at = time.perf_counter()
            batch = await client.pull(JOB, number)
            self._report.waited_s += time.perf_counter() - asked_at
            self._take(batch)
            print(f"batch {number}: {len(batch.samples)} samples", flush=True)
            if number % batches:
                self._version += 1
                await client.release(SERVICE, self._version)
                await client.set_version(JOB, self._version)
            await asyncio.sleep(TRAIN_S)

    def _take(self, batch: DeliveredBatch) -> None:
        for delivered in batch.samples:
            slot = (delivered.step, delivered.group, delivered.position)
            if slot in self._slots:
                self._break(f"slot {slot} came twice")
            self._slots.add(slot)
            self._report.samples += 1
            self._check_versions(delivered.sample)

    def _check_versions(self, sample: SampleBody) -> None:
        told = [s.version for s in sample.spans for _ in range(s.first, s.last + 1)]
        true = [int(token.split(":")[1]) for token in sample.text.split()]
        if told != true:
            self._break(f"{sample.request_id}: versions {told} but true {true}")
        age = self._version - min(true)
        if age > STALENESS_BOUND:
            self._break(f"{sample.request_id}: {age} versions old")
        _count(self._report.staleness, age)
        for version in set(true):
            _count(self._report.versions, version)

    def _break(self, promise: str) -> None:
        self._report.broken.append(promise)


def _count(counts: dict[int, int], key: int) -> None:
    counts[key] = counts.get(key, 0) + 1
