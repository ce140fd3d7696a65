"""Engines of two software versions: their completions and samples are not joined."""

from __future__ import annotations

import asyncio

import aiohttp

from pollenlb.client import JobBody, TrainerClient

from ..local_system import LocalSystem, wait_until

_BODY = {"model": "model", "prompt": "hello", "max_tokens": 60}
_COMPLETION_COUNT = 6


async def _start(start_system) -> LocalSystem:
    """Start engines ``old`` and ``new`` of two software versions."""
    system = await start_system(entries=1, engines=0)
    await system.add_engine("old", software="v1", token_s=0.02)
    await system.add_engine("new", software="v2", token_s=0.02)
    await system.wait_until_usable(["old", "new"])
    return system


async def _kill_old_engine(system: LocalSystem) -> None:
    """Kill the old engine once both engines have generated some tokens."""
    await wait_until(
        lambda: all(len(engine.generated_tokens) > 20 for engine in system.engines)
    )
    await system.engines[0].kill()


def _check_new_engine_joined_nothing(system: LocalSystem) -> None:
    first_positions = {}
    for token in system.engines[1].generated_tokens:
        first_positions.setdefault(token["id"], token["at"])
    assert set(first_positions.values()) == {0}


async def test_a_completion_is_continued_by_another_software_version(start_system):
    system = await _start(start_system)
    calls = [
        asyncio.create_task(
            system.send_request(
                "POST", 0, "/v1/completions", {}, json={**_BODY, "user": str(number)}
            )
        )
        for number in range(_COMPLETION_COUNT)
    ]
    await _kill_old_engine(system)
    for status, _, answer in await asyncio.gather(*calls):
        assert status == 200
        tokens = answer["choices"][0]["text"].split()
        positions = [int(token.split(":")[0]) for token in tokens]
        assert positions == list(range(answer["usage"]["completion_tokens"]))
    _check_new_engine_joined_nothing(system)


async def test_a_streamed_completion_is_continued_by_another_software_version(
    start_system,
):
    system = await _start(start_system)

    async def read_stream(number: int) -> bytes:
        body = {**_BODY, "stream": True, "user": str(number)}
        url = system.url(0, "/v1/completions")
        async with system.session.post(url, json=body) as response:
            return await response.read()

    calls = [
        asyncio.create_task(read_stream(number)) for number in range(_COMPLETION_COUNT)
    ]
    await _kill_old_engine(system)
    answers = await asyncio.gather(*calls, return_exceptions=True)
    # A stream that only the ended engine could have continued is cut.
    assert any(isinstance(answer, aiohttp.ClientError) for answer in answers)
    assert any(isinstance(answer, bytes) for answer in answers)
    _check_new_engine_joined_nothing(system)


async def test_a_sample_is_continued_by_another_software_version(start_system):
    system = await _start(start_system)
    async with TrainerClient([system.url(0)], 40) as client:
        await client.create_job(JobBody("job", "model", 4, 2, 1, 60))
        await client.set_version("job", 1)
        await client.submit_step("job", 0, ["prompt 0", "prompt 1"])
        await _kill_old_engine(system)
        batch = await client.pull("job", 1)
    for delivered in batch.samples:
        tokens = delivered.sample.text.split()
        positions = [int(token.split(":")[0]) for token in tokens]
        assert positions == list(range(delivered.sample.tokens))
    _check_new_engine_joined_nothing(system)
