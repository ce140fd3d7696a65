"""End-to-end test with real processes, in which one entry is killed."""

from __future__ import annotations

import asyncio

import aiohttp

from demo.cluster import Cluster, ClusterPlan
from pollenlb.client import JobBody, TrainerClient

_PROMPTS_PER_STEP = 12
_GROUP_SIZE = 3
_STEP_COUNT = 3


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
        plain_services={"shop": 2, "scores": 1},
    )


async def test_samples_and_answers_survive_the_kill_of_an_entry(tmp_path):
    cluster = Cluster(_plan(tmp_path))
    try:
        await cluster.start()
        requests = asyncio.create_task(_send_continuously(cluster))
        batches = await _train(cluster)
        requests.cancel()
        answered_count, wrong_answers = (
            await asyncio.gather(requests, return_exceptions=True)
        )[0]
        await _check_completion(cluster)
    finally:
        cluster.stop()
    samples = [delivered for batch in batches for delivered in batch.samples]
    slots = {
        (delivered.step, delivered.group, delivered.position) for delivered in samples
    }
    assert len(samples) == len(slots) == _STEP_COUNT * _PROMPTS_PER_STEP * _GROUP_SIZE
    for delivered in samples:
        _check_versions(delivered.sample)
        assert delivered.sample.score == len(delivered.sample.text)
    assert answered_count > 0
    assert wrong_answers == []


async def _train(cluster: Cluster) -> list:
    """Pull two batches a step; kill an entry and change weights during the second."""
    batches = []
    async with TrainerClient([cluster.balancer_url]) as client:
        job = JobBody(
            "job", "model", _GROUP_SIZE, _PROMPTS_PER_STEP // 2, 2, 40, "scores"
        )
        await client.create_job(job)
        await client.set_version("job", 1)
        for step in range(_STEP_COUNT):
            prompts = [f"prompt {step}.{number}" for number in range(_PROMPTS_PER_STEP)]
            await client.submit_step("job", step, prompts)
            batches.append(await client.pull("job", 2 * step + 1))
            if step == 1:
                cluster.kill("entry-1")
                await client.release("model", 2)
                await client.set_version("job", 2)
            batches.append(await client.pull("job", 2 * step + 2))
    return batches


async def _send_continuously(cluster: Cluster) -> tuple[int, list]:
    """Send requests until cancelled; return the number answered and wrong answers."""
    answered_count, wrong_answers = 0, []
    try:
        async with aiohttp.ClientSession() as session:
            while True:
                path = f"/shop/{answered_count}"
                try:
                    async with session.get(cluster.balancer_url + path) as response:
                        answer = await response.json()
                except aiohttp.ClientError:
                    continue  # The connection was to the killed entry.
                outcome = response.headers["Pollenlb-Outcome"]
                answered_count += outcome == "ran"
                if outcome != "not-run" and answer.get("path") != path:
                    wrong_answers.append((path, answer))
    except asyncio.CancelledError:
        return answered_count, wrong_answers


async def _check_completion(cluster: Cluster) -> None:
    body = {"model": "model", "prompt": "hello", "max_tokens": 20}
    url = cluster.balancer_url + "/v1/completions"
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
    reported_versions = [
        span.version for span in sample.spans for _ in range(span.last - span.first + 1)
    ]
    true_versions = [int(token.split(":")[1]) for token in sample.text.split()]
    assert reported_versions == true_versions
