"""A fake trainer that keeps its own record of the samples it receives."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

from pollenlb.client import DeliveredBatch, JobBody, TrainerClient
from pollenlb.connection.trainer_messages import SampleBody

JOB_NAME = "bevel"
SERVICE = "afilador-lm"
SCORER = "puntaje"
STEP_COUNT = 4
PROMPTS_PER_STEP = 24
GROUP_SIZE = 4
GROUPS_PER_BATCH = 12
MAX_TOKENS = 60
STALENESS_BOUND_VERSIONS = 1
TRAINING_S = 0.3


@dataclass
class TrainerReport:
    """What the trainer received, and every violated guarantee.

    Attributes
    ----------
    samples : int
        Number of samples received.
    versions : dict
        Number of samples that contain tokens of a weight version, by version.
    staleness : dict
        Number of samples by age, in versions, of their oldest token.
    waited_s : float
        Seconds spent waiting for batches.
    total_s : float
        Seconds from the first step's submission to the end of training.
    broken : list of str
        Violated guarantees, one description each.
    """

    samples: int = 0
    versions: dict[int, int] = field(default_factory=dict)
    staleness: dict[int, int] = field(default_factory=dict)
    waited_s: float = 0.0
    total_s: float = 0.0
    broken: list[str] = field(default_factory=list)


class FakeTrainer:
    """Trains one job step by step and releases new weights within each step.

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
        self._delivered_slots: set[tuple[int, int, int]] = set()
        self._version = 1

    async def run(self) -> None:
        """Create the job, train all steps and write the report."""
        async with TrainerClient([self._url]) as client:
            await client.create_job(
                JobBody(
                    JOB_NAME, SERVICE, GROUP_SIZE, GROUPS_PER_BATCH,
                    STALENESS_BOUND_VERSIONS, MAX_TOKENS, SCORER,
                )
            )  # fmt: skip
            await client.set_version(JOB_NAME, self._version)
            started_at = time.perf_counter()
            for step in range(STEP_COUNT):
                await self._run_step(client, step)
            self._report.total_s = time.perf_counter() - started_at
        expected = STEP_COUNT * PROMPTS_PER_STEP * GROUP_SIZE
        if self._report.samples != expected:
            self._record_violation(
                f"{self._report.samples} samples were delivered instead of {expected}"
            )
        self._report_file.write_text(json.dumps(asdict(self._report)))

    async def _run_step(self, client: TrainerClient, step: int) -> None:
        prompts = [
            f"angle for blade {step}.{number}" for number in range(PROMPTS_PER_STEP)
        ]
        await client.submit_step(JOB_NAME, step, prompts)
        print(f"step {step} submitted", flush=True)
        batch_count = PROMPTS_PER_STEP // GROUPS_PER_BATCH
        for number in range(step * batch_count + 1, (step + 1) * batch_count + 1):
            pull_started_at = time.perf_counter()
            batch = await client.pull(JOB_NAME, number)
            self._report.waited_s += time.perf_counter() - pull_started_at
            self._record_batch(batch)
            print(f"batch {number}: {len(batch.samples)} samples", flush=True)
            if number % batch_count:
                self._version += 1
                await client.release(SERVICE, self._version)
                await client.set_version(JOB_NAME, self._version)
            await asyncio.sleep(TRAINING_S)

    def _record_batch(self, batch: DeliveredBatch) -> None:
        for delivered in batch.samples:
            slot = (delivered.step, delivered.group, delivered.position)
            if slot in self._delivered_slots:
                self._record_violation(f"slot {slot} was delivered twice")
            self._delivered_slots.add(slot)
            self._report.samples += 1
            self._check_versions(delivered.sample)

    def _check_versions(self, sample: SampleBody) -> None:
        reported = [
            span.version
            for span in sample.spans
            for _ in range(span.first, span.last + 1)
        ]
        actual = [int(token.split(":")[1]) for token in sample.text.split()]
        if reported != actual:
            self._record_violation(
                f"{sample.request_id}: reported versions {reported}, actual {actual}"
            )
        age = self._version - min(actual)
        if age > STALENESS_BOUND_VERSIONS:
            self._record_violation(
                f"{sample.request_id}: its oldest token is {age} versions old"
            )
        _increment(self._report.staleness, age)
        for version in set(actual):
            _increment(self._report.versions, version)

    def _record_violation(self, violation: str) -> None:
        self._report.broken.append(violation)


def _increment(counts: dict[int, int], key: int) -> None:
    counts[key] = counts.get(key, 0) + 1
