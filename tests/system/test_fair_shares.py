"""Several trainers on the same engines each get their share."""

from __future__ import annotations

from pollenlb.client import JobBody, TrainerClient

_SMALL_JOB_SAMPLES = 16
_LARGE_JOB_SAMPLES = 200


async def test_a_later_small_job_does_not_wait_for_an_earlier_large_one(start_system):
    options = {"token_s": 0.02}
    system = await start_system(entries=2, engines=1, engine_options=options)
    async with TrainerClient([system.url(0)]) as client:
        for name, count in (
            ("large", _LARGE_JOB_SAMPLES),
            ("small", _SMALL_JOB_SAMPLES),
        ):
            await client.create_job(JobBody(name, "model", 1, count, 1, 20))
            await client.set_version(name, 1)
            prompts = [f"{name} {number}" for number in range(count)]
            await client.submit_step(name, 0, prompts)
        await client.pull("small", 1)
        jobs = system.leader.machine.state.ledger.jobs
        assert jobs["large"].accepted <= 3 * _SMALL_JOB_SAMPLES
