"""The real processes from one end to the other, while one entry is killed."""

from __future__ import annotations

import asyncio

import aiohttp

from demo.cluster import Cluster, ClusterPlan
from pollenlb.client import JobBody, TrainerClient

_PROMPTS = 12
_GROUP_SIZE = 3
_STEPS = 3


def _plan(folder) -> ClusterPlan:
    return ClusterPlan(
        folder=folder,
        entries=3,
        services={
            "model": {"kind": "engine", "checks_fencing": True},
            "shop": {"kind": "plain"},
            "scores": {"kind": "plain"},
        },
        routes={
            "model": {"service": "model", "path_prefix": "/v1", "repeatable": True},
            "shop": {"service": "shop", "path_prefix": "/shop", "repeatable": True},
        },
        engines={"model": 3},
        plains={"shop": 2, "scores": 1},
    )


async def test_samples_and_answers_survive_the_kill_of_an_entry(tmp_path):
    cluster = Cluster(_plan(tmp_path))
    try:
        await cluster.start()
        asks = asyncio.create_task(_ask_always(cluster))
        batches = await _train(cluster)
        asks.cancel()
        answered, wrong = (await asyncio.gather(asks, return_exceptions=True))[0]
        await _check_completion(cluster)
    finally:
        cluster.stop()
    samples = [each for batch in batches for each in batch.samples]
    slots = {(each.step, each.group, each.position) for each in samples}
    assert len(samples) == len(slots) == _STEPS * _PROMPTS * _GROUP_SIZE
    for each in samples:
        _check_versions(each.sample)
        assert each.sample.score == len(each.sample.text)
    assert answered > 0
    assert wrong == []


async def _train(cluster: Cluster) -> list:
    batches = []
    async with TrainerClient([cluster.balancer]) as client:
        job = JobBody("job", "model", _GROUP_SIZE, _PROMPTS // 2, 2, 40, "scores")
        await client.create_job(job)
        await client.set_version("job", 1)
        for step in range(_STEPS):
            prompts = [f"prompt {step}.{each}" for each in range(_PROMPTS)]
            await client.submit_step("job", step, prompts)
            batches.append(await client.pull("job", 2 * step + 1))
            if step == 1:
                cluster.kill("entry-1")
                await client.release("model", 2)
                await client.set_version("job", 2)
            batches.append(await client.pull("job", 2 * step + 2))
    return batches


async def _ask_always(cluster: Cluster) -> tuple[int, list]:
    answered, wrong = 0, []
    try:
        async with aiohttp.ClientSession() as session:
            while True:
                path = f"/shop/{answered}"
                try:
                    async with session.get(cluster.balancer + path) as response:
                        answer = await response.json()
                except aiohttp.ClientError:
                    continue  # The killed entry held the connection.
                outcome = response.headers["Pollenlb-Outcome"]
                answered += outcome == "ran"
                if outcome != "not-run" and answer.get("path") != path:
                    wrong.append((path, answer))
    except asyncio.CancelledError:
        return answered, wrong


async def _check_completion(cluster: Cluster) -> None:
    body = {"model": "model", "prompt": "hello", "max_tokens": 20}
    url = cluster.balancer + "/v1/completions"
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=body) as response:
            answer = await response.json()
            assert response.status == 200, answer
            assert response.headers["Pollenlb-Backend-Server"].startswith("model-")
        async with session.post(url, json={**body, "stream": True}) as response:
            stream = await response.text()
    assert answer["choices"][0]["finish_reason"] == "stop"
    assert stream.endswith("data: [DONE]\n\n")


def _check_versions(sample) -> None:
    told = [s.version for s in sample.spans for _ in range(s.last - s.first + 1)]
    true = [int(token.split(":")[1]) for token in sample.text.split()]
    assert told == true
