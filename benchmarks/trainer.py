"""Step time of a trainer against its lower bound, in virtual time."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from benchmarks.control import FakeControl
from benchmarks.entries import make_entries
from benchmarks.fake_servers import FakeServer
from benchmarks.policies import Policy
from benchmarks.virtual_time import run
from pollenlb.clock import now
from pollenlb.durable.job_commands import (
    BatchSealed,
    CreateJob,
    JobSettings,
    PullBatch,
    SetTrainerVersion,
    SubmitStep,
)
from pollenlb.process.batch_runner import BatchRunner
from pollenlb.request import sample as sample_module

SERVICE = "model"
TOKEN_S = 0.02


@dataclass
class StepLoad:
    """Steps of one trainer.

    Attributes
    ----------
    median_tokens : int
        Median length of the log-normal samples.
    crashes : bool
        Whether one engine goes down in each step and comes back.
    swaps : bool
        Whether weights change in the middle of each step.
    """

    engines: int = 6
    slots: int = 8
    prompts: int = 128
    group_size: int = 8
    steps: int = 2
    median_tokens: int = 150
    sigma: float = 0.6
    spells: list[tuple[float, float, float]] = field(default_factory=list)
    crashes: bool = False
    swaps: bool = False
    long_share: float = 1.0
    bound: int = 1


@dataclass
class StepResult:
    """Step times and their lower bounds in seconds, and what was wasted."""

    steps_s: list[float]
    bounds_s: list[float]
    wasted: int
    samples: int

    @property
    def ratio(self) -> float:
        """Step times over their lower bounds."""
        return sum(self.steps_s) / sum(self.bounds_s)


def measure_steps(load: StepLoad, make_policy, seed: int) -> StepResult:
    """Run the steps with one policy in virtual time."""
    return run(_measure(load, make_policy, seed))


async def _measure(load: StepLoad, make_policy, seed: int) -> StepResult:
    rng = random.Random(seed)
    engines = [
        FakeServer(f"engine-{n}", SERVICE, load.slots, rng, version=1)
        for n in range(load.engines)
    ]
    for n, engine in enumerate(engines[:2]):
        engine.spells = [(a + 7 * n, b + 7 * n, f) for a, b, f in load.spells]
    policy: Policy = make_policy(engines)
    services = {SERVICE: {"kind": "engine", "long_share": load.long_share}}
    control = FakeControl()
    entries = make_entries(engines, services, policy, seed, control=control)
    control.entries = entries
    runner = BatchRunner(entries[0])
    control.runners = {entries[0].identity.boot: runner}
    await asyncio.sleep(1.0)
    runner.start()
    settings = JobSettings(
        "job", SERVICE, load.group_size, load.prompts, load.bound, 4000
    )
    await control.propose(CreateJob(settings), None, None)
    await control.propose(SetTrainerVersion("job", 1), None, None)
    steps_s, bounds_s = [], []
    for step in range(load.steps):
        lengths = _lengths(load, rng)
        sample_module_lengths[step] = lengths
        if load.crashes:
            asyncio.create_task(_crash_for_a_while(engines[2 + step % 4]))
        if load.swaps:
            asyncio.create_task(_swap(engines, step + 2, control))
        steps_s.append(await _run_step(control, entries[0].identity.boot, step, load))
        work_s = sum(map(sum, lengths)) * TOKEN_S / (load.engines * load.slots)
        bounds_s.append(max(work_s, max(map(max, lengths)) * TOKEN_S))
    job = control.machine.state.ledger.jobs["job"]
    await runner.finish(0)
    for entry in entries:
        await entry.directory.close()
    return StepResult(steps_s, bounds_s, job.wasted, job.accepted)


sample_module_lengths: dict[int, list[list[int]]] = {}


def _lengths(load: StepLoad, rng: random.Random) -> list[list[int]]:
    return [
        [
            max(4, int(rng.lognormvariate(0, load.sigma) * load.median_tokens))
            for _ in range(load.group_size)
        ]
        for _ in range(load.prompts)
    ]


async def _run_step(control: FakeControl, owner: str, step: int, load) -> float:
    prompts = [f"prompt {step}.{n}" for n in range(load.prompts)]
    started_at = now()
    command = SubmitStep("job", step, prompts, owner)
    await control.propose(command, None, None)
    while True:
        result = await control.propose(PullBatch("job", step + 1), None, None)
        if isinstance(result, BatchSealed):
            return now() - started_at
        await asyncio.sleep(0.05)


async def _crash_for_a_while(engine: FakeServer) -> None:
    await asyncio.sleep(4.0)
    engine.crash()
    await asyncio.sleep(6.0)
    engine.is_down = False


async def _swap(engines: list[FakeServer], version: int, control) -> None:
    await asyncio.sleep(3.0)
    for engine in engines:
        engine.version = None
        await asyncio.sleep(0.5)
        engine.version = version
    await control.propose(SetTrainerVersion("job", version), None, None)


_usual_completion = sample_module.completion_request


def _completion_of(item, spec) -> dict:
    """Tell the fake engines how long a sample is, by its place."""
    asked = _usual_completion(item, spec)
    _, step, group, position = item.item.split("/")
    length = sample_module_lengths[int(step)][int(group)][int(position)]
    return {**asked, "user": f"{step}#{length}", "token_s": TOKEN_S}


sample_module.completion_request = _completion_of
