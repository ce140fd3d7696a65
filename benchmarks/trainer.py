"""Step time of a trainer relative to its lower bound, in virtual time.

Importing this module replaces ``completion_request`` of ``pollenlb.request.sample``, so
that the completion requests tell the fake engines how long each sample is.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from benchmarks.control import FakeControl
from benchmarks.entries import make_entries
from benchmarks.fake_servers import FakeServer
from benchmarks.policies import Policy
from benchmarks.virtual_time import run_in_virtual_time
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
TOKEN_S = 0.02  # generation time of one token at full speed


@dataclass
class StepWorkload:
    """Engines of one scenario and the steps of its trainer.

    Attributes
    ----------
    group_size : int
        Samples of each prompt.
    median_tokens : int
        Median of the log-normal sample length, in tokens.
    sigma : float
        Standard deviation of the logarithm of the sample length.
    slow_periods : list of tuple
        Start, end and slowdown of each slow period of the first two engines; those of
        the second are 7 s later.
    crashes_engines : bool
        Whether one engine crashes in each step and restarts.
    swaps_weights : bool
        Whether the engines change weights, one after the other, during each step.
    long_share : float
        Share of an engine's slots that long requests may take.
    staleness_bound : int
        Versions that a sample's weights may be behind the trainer's.
    """

    engine_count: int = 6
    slots_per_engine: int = 8
    prompts_per_step: int = 128
    group_size: int = 8
    step_count: int = 2
    median_tokens: int = 150
    sigma: float = 0.6
    slow_periods: list[tuple[float, float, float]] = field(default_factory=list)
    crashes_engines: bool = False
    swaps_weights: bool = False
    long_share: float = 1.0
    staleness_bound: int = 1


@dataclass
class StepResult:
    """Step times and counts of samples.

    Attributes
    ----------
    steps_s, lower_bounds_s : list of float
        Time of each step, and its lower bound: the generation time of all samples
        divided by the number of slots, or of the longest sample if that is more.
    wasted_samples, accepted_samples : int
        Samples discarded as stale, and samples accepted.
    """

    steps_s: list[float]
    lower_bounds_s: list[float]
    wasted_samples: int
    accepted_samples: int

    @property
    def ratio(self) -> float:
        """Total step time divided by the total of the lower bounds."""
        return sum(self.steps_s) / sum(self.lower_bounds_s)


def measure_steps(workload: StepWorkload, make_policy, seed: int) -> StepResult:
    """Run a trainer's steps with one policy in virtual time."""
    return run_in_virtual_time(_measure(workload, make_policy, seed))


async def _measure(workload: StepWorkload, make_policy, seed: int) -> StepResult:
    rng = random.Random(seed)
    engines = [
        FakeServer(f"engine-{n}", SERVICE, workload.slots_per_engine, rng, version=1)
        for n in range(workload.engine_count)
    ]
    for n, engine in enumerate(engines[:2]):
        engine.slow_periods = [
            (start + 7 * n, end + 7 * n, factor)
            for start, end, factor in workload.slow_periods
        ]
    policy: Policy = make_policy(engines)
    services = {SERVICE: {"kind": "engine", "long_share": workload.long_share}}
    control = FakeControl()
    entries = make_entries(engines, services, policy, seed, control=control)
    control.entries = entries
    runner = BatchRunner(entries[0])
    control.batch_runners = {entries[0].identity.boot: runner}
    await asyncio.sleep(1.0)
    runner.start()
    settings = JobSettings(
        "job",
        SERVICE,
        workload.group_size,
        workload.prompts_per_step,
        workload.staleness_bound,
        4000,
    )
    await control.propose(CreateJob(settings), None, None)
    await control.propose(SetTrainerVersion("job", 1), None, None)
    steps_s, lower_bounds_s = [], []
    for step in range(workload.step_count):
        lengths = _draw_sample_lengths(workload, rng)
        sample_lengths[step] = lengths
        if workload.crashes_engines:
            asyncio.create_task(_crash_and_restart(engines[2 + step % 4]))
        if workload.swaps_weights:
            asyncio.create_task(_swap_weights(engines, step + 2, control))
        steps_s.append(
            await _run_step(control, entries[0].identity.boot, step, workload)
        )
        work_s = (
            sum(map(sum, lengths))
            * TOKEN_S
            / (workload.engine_count * workload.slots_per_engine)
        )
        lower_bounds_s.append(max(work_s, max(map(max, lengths)) * TOKEN_S))
    job = control.state_machine.state.ledger.jobs["job"]
    await runner.drain(0)
    for entry in entries:
        await entry.directory.close()
    return StepResult(steps_s, lower_bounds_s, job.wasted, job.accepted)


# Length in tokens of each sample, by step, group and position.
sample_lengths: dict[int, list[list[int]]] = {}


def _draw_sample_lengths(workload: StepWorkload, rng: random.Random) -> list[list[int]]:
    """Return the length in tokens of each sample, by group and position."""
    return [
        [
            max(4, int(rng.lognormvariate(0, workload.sigma) * workload.median_tokens))
            for _ in range(workload.group_size)
        ]
        for _ in range(workload.prompts_per_step)
    ]


async def _run_step(control: FakeControl, owner: str, step: int, workload) -> float:
    """Submit a step, pull its batch and return the time in between, in seconds."""
    prompts = [f"prompt {step}.{n}" for n in range(workload.prompts)]
    started_at = now()
    command = SubmitStep("job", step, prompts, owner)
    await control.propose(command, None, None)
    while True:
        result = await control.propose(PullBatch("job", step + 1), None, None)
        if isinstance(result, BatchSealed):
            return now() - started_at
        await asyncio.sleep(0.05)


async def _crash_and_restart(engine: FakeServer) -> None:
    await asyncio.sleep(4.0)
    engine.crash()
    await asyncio.sleep(6.0)
    engine.is_down = False


async def _swap_weights(engines: list[FakeServer], version: int, control) -> None:
    await asyncio.sleep(3.0)
    for engine in engines:
        engine.version = None
        await asyncio.sleep(0.5)
        engine.version = version
    await control.propose(SetTrainerVersion("job", version), None, None)


_original_completion_request = sample_module.completion_request


def _completion_request_with_length(item, spec) -> dict:
    """Add to a completion request the length and token time of its sample."""
    request_body = _original_completion_request(item, spec)
    _, step, group, position = item.item.split("/")
    length = sample_lengths[int(step)][int(group)][int(position)]
    return {**request_body, "user": f"{step}#{length}", "token_s": TOKEN_S}


sample_module.completion_request = _completion_request_with_length
