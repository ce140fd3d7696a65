"""A request that crashes each backend server that runs it."""

from __future__ import annotations

import asyncio

from fakes.engine import CRASH_PROMPT
from pollenlb.client import JobBody, TrainerClient

from ..local_system import LocalSystem, until

_KILLER = {"model": "model", "prompt": CRASH_PROMPT, "max_tokens": 4}


async def _system(local_system, engines: int = 4, **options) -> LocalSystem:
    system = await local_system(entries=2, engines=engines, **options)
    for engine in system.engines:
        _let_crash(engine)
    return system


def _let_crash(engine) -> None:
    engine.is_crashed = False

    async def crash() -> None:
        engine.is_crashed = True
        asyncio.get_running_loop().create_task(engine.kill())
        await asyncio.Event().wait()

    engine.crash = crash


def _crashed(system: LocalSystem) -> int:
    return sum(engine.is_crashed for engine in system.engines)


async def _complete(system: LocalSystem, number: int, body: dict) -> tuple:
    return await system.ask("POST", number, "/v1/completions", {}, json=body)


async def test_at_most_two_servers_are_lost_over_resends(local_system):
    system = await _system(local_system)
    for resend in range(6):
        status, outcome, answer = await _complete(system, resend % 2, _KILLER)
        assert outcome in ("unknown", "not-run")
    assert _crashed(system) == 2
    assert (status, outcome) == (422, "not-run")
    assert "crashed" in answer["error"]["message"]


async def test_a_request_not_to_be_repeated_is_known_by_its_resends(local_system):
    system = await _system(local_system)
    headers = {"Pollenlb-Repeatable": "no"}
    outcomes = []
    for resend in range(4):
        answer = await system.ask(
            "POST", resend % 2, "/v1/completions", headers, json=_KILLER
        )
        outcomes.append(answer[1])
    assert outcomes == ["unknown", "unknown", "not-run", "not-run"]
    assert _crashed(system) == 2


async def test_neighbours_are_not_blamed(local_system):
    system = await _system(local_system, engine_options={"token_s": 0.02})
    neighbours = [
        {"model": "model", "prompt": f"neighbour {n}", "max_tokens": 60}
        for n in range(12)
    ]
    asks = [
        asyncio.create_task(_complete(system, n % 2, body))
        for n, body in enumerate(neighbours)
    ]
    await until(lambda: all(engine.log for engine in system.engines))
    status, outcome, _ = await _complete(system, 0, _KILLER)
    assert (status, outcome) == (422, "unknown")
    for answer in await asyncio.gather(*asks):
        assert answer[:2] == (200, "ran"), answer
    assert _crashed(system) == 2
    suspects = system.leader.machine.state.quarantine.suspects
    assert [each.is_condemned for each in suspects.values()] == [True]


async def test_a_crash_that_was_no_requests_fault_condemns_nothing(local_system):
    system = await _system(local_system, engine_options={"token_s": 0.02})
    body = {"model": "model", "prompt": "innocent", "max_tokens": 60}
    ask = asyncio.create_task(_complete(system, 0, body))
    await until(lambda: any(engine.log for engine in system.engines))
    for engine in system.engines:
        if engine.log:
            await engine.kill()
    assert (await ask)[:2] == (200, "ran")
    await until(lambda: not system.leader.machine.state.quarantine.suspects)


async def test_an_operator_can_pardon(local_system):
    system = await _system(local_system)
    for _ in range(2):
        await _complete(system, 0, _KILLER)
    (fingerprint,) = system.leader.machine.state.quarantine.suspects
    url = "/pollenlb/v1/operator/pardons"
    answer = await system.ask("POST", 0, url, {}, json={"fingerprint": fingerprint})
    assert answer[0] == 200
    await until(lambda: not system.entries[1].context.quarantine.suspects)


async def test_a_sample_that_crashes_engines_comes_back_empty(local_system):
    system = await _system(local_system)
    async with TrainerClient([system.url(0)]) as client:
        await client.create_job(JobBody("job", "model", 1, 2, 1, 8))
        await client.set_version("job", 1)
        await client.submit_step("job", 0, [CRASH_PROMPT, "a good prompt"])
        batch = await client.pull("job", 1)
    by_group = {each.group: each.sample for each in batch.samples}
    assert (by_group[0].finish_reason, by_group[0].tokens) == ("refused", 0)
    assert by_group[1].finish_reason == "stop"
    assert _crashed(system) == 2
