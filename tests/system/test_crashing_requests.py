"""A request that crashes every backend server it runs on is quarantined."""

from __future__ import annotations

import asyncio

from fakes.engine import CRASH_PROMPT
from pollenlb.client import JobBody, TrainerClient

from ..local_system import LocalSystem, wait_until

_CRASHING_BODY = {"model": "model", "prompt": CRASH_PROMPT, "max_tokens": 4}


async def _start_crashable_system(
    start_system, engines: int = 4, **options
) -> LocalSystem:
    system = await start_system(entries=2, engines=engines, **options)
    for engine in system.engines:
        _make_crashable(engine)
    return system


def _make_crashable(engine) -> None:
    """Let a crash abort the engine's connections instead of ending the test process."""
    engine.is_crashed = False

    async def crash() -> None:
        engine.is_crashed = True
        asyncio.get_running_loop().create_task(engine.kill())
        await asyncio.Event().wait()

    engine.crash = crash


def _crashed_count(system: LocalSystem) -> int:
    return sum(engine.is_crashed for engine in system.engines)


async def _complete(system: LocalSystem, number: int, body: dict) -> tuple:
    return await system.send_request("POST", number, "/v1/completions", {}, json=body)


async def test_resent_crashing_request_crashes_at_most_two_servers(start_system):
    system = await _start_crashable_system(start_system)
    for resend in range(6):
        status, outcome, answer = await _complete(system, resend % 2, _CRASHING_BODY)
        assert outcome in ("unknown", "not-run")
    assert _crashed_count(system) == 2
    assert (status, outcome) == (422, "not-run")
    assert "crashed" in answer["error"]["message"]


async def test_resends_of_a_non_repeatable_request_crash_at_most_two_servers(
    start_system,
):
    system = await _start_crashable_system(start_system)
    headers = {"Pollenlb-Repeatable": "no"}
    outcomes = []
    for resend in range(4):
        answer = await system.send_request(
            "POST", resend % 2, "/v1/completions", headers, json=_CRASHING_BODY
        )
        outcomes.append(answer[1])
    assert outcomes == ["unknown", "unknown", "not-run", "not-run"]
    assert _crashed_count(system) == 2


async def test_concurrent_requests_are_not_condemned_with_the_crashing_one(
    start_system,
):
    system = await _start_crashable_system(
        start_system, engine_options={"token_s": 0.02}
    )
    bodies = [
        {"model": "model", "prompt": f"neighbour {n}", "max_tokens": 60}
        for n in range(12)
    ]
    requests = [
        asyncio.create_task(_complete(system, n % 2, body))
        for n, body in enumerate(bodies)
    ]
    await wait_until(lambda: all(engine.generated_tokens for engine in system.engines))
    status, outcome, _ = await _complete(system, 0, _CRASHING_BODY)
    assert (status, outcome) == (422, "unknown")
    for answer in await asyncio.gather(*requests):
        assert answer[:2] == (200, "ran"), answer
    assert _crashed_count(system) == 2
    suspects = system.leader.machine.state.quarantine.suspects
    assert [suspect.is_condemned for suspect in suspects.values()] == [True]


async def test_crash_that_no_request_caused_condemns_nothing(start_system):
    system = await _start_crashable_system(
        start_system, engine_options={"token_s": 0.02}
    )
    body = {"model": "model", "prompt": "innocent", "max_tokens": 60}
    request = asyncio.create_task(_complete(system, 0, body))
    await wait_until(lambda: any(engine.generated_tokens for engine in system.engines))
    for engine in system.engines:
        if engine.generated_tokens:
            await engine.kill()
    assert (await request)[:2] == (200, "ran")
    await wait_until(lambda: not system.leader.machine.state.quarantine.suspects)


async def test_pardon_removes_the_suspect(start_system):
    system = await _start_crashable_system(start_system)
    for _ in range(2):
        await _complete(system, 0, _CRASHING_BODY)
    (fingerprint,) = system.leader.machine.state.quarantine.suspects
    url = "/pollenlb/v1/operator/pardons"
    answer = await system.send_request(
        "POST", 0, url, {}, json={"fingerprint": fingerprint}
    )
    assert answer[0] == 200
    await wait_until(lambda: not system.entries[1].context.quarantine.suspects)


async def test_sample_under_which_servers_crashed_is_generated_once_they_are_back(
    start_system,
):
    system = await _start_crashable_system(start_system)
    async with TrainerClient([system.url(0)]) as client:
        await _submit_step(client, [CRASH_PROMPT, "another prompt"])
        await wait_until(lambda: _crashed_count(system) == len(system.engines))
        await _add_sound_engine(system)
        batch = await client.pull("job", 1)
    assert [sample.sample.finish_reason for sample in batch.samples] == ["stop"] * 2
    assert all(sample.sample.tokens for sample in batch.samples)


async def test_sample_of_a_prompt_that_a_caller_has_condemned_is_still_owed(
    start_system,
):
    system = await _start_crashable_system(start_system, engines=2)
    for _ in range(2):
        await _complete(system, 0, _CRASHING_BODY)
    await wait_until(
        lambda: True in system.entries[0].context.quarantine.suspects.values()
    )
    await _add_sound_engine(system)
    async with TrainerClient([system.url(0)]) as client:
        await _submit_step(client, [CRASH_PROMPT, "another prompt"])
        batch = await client.pull("job", 1)
    assert [sample.sample.finish_reason for sample in batch.samples] == ["stop"] * 2


async def _submit_step(client: TrainerClient, prompts: list[str]) -> None:
    await client.create_job(JobBody("job", "model", 1, len(prompts), 1, 8))
    await client.set_version("job", 1)
    await client.submit_step("job", 0, prompts)


async def _add_sound_engine(system: LocalSystem) -> None:
    """Add an engine that runs every prompt without a crash."""

    async def run_on() -> None:
        return

    engine = await system.add_engine(f"engine-{len(system.engines)}")
    engine.crash = run_on
