"""Samples are delivered once, with their true versions, within the staleness bound."""

from __future__ import annotations

import asyncio

import pytest

from pollenlb.client import JobBody, TrainerClient
from pollenlb.exceptions import ControlError, RequestRefusedError

from ..local_system import LocalSystem, wait_until

_GROUP_COUNT = 4
_GROUP_SIZE = 2
_MAX_TOKENS = 40


@pytest.fixture
async def open_client():
    """Return a function that opens a ``TrainerClient``; all close after the test."""
    clients: list[TrainerClient] = []

    async def open_one(system: LocalSystem, timeout_s: float = 40) -> TrainerClient:
        urls = [system.url(number) for number in range(len(system.entries))]
        client = await TrainerClient(urls, timeout_s).__aenter__()
        clients.append(client)
        return client

    yield open_one
    for client in clients:
        await client.__aexit__()


async def _submit_step(client: TrainerClient, bound: int = 1, step: int = 0) -> None:
    job = JobBody("job", "model", _GROUP_SIZE, _GROUP_COUNT, bound, _MAX_TOKENS)
    await client.create_job(job)
    await client.set_version("job", 1)
    await client.submit_step("job", step, [f"prompt {n}" for n in range(_GROUP_COUNT)])


def _check_batch(batch, system: LocalSystem, version: int, bound: int = 1) -> None:
    """Compare the versions of a batch with the tokens that the engines recorded."""
    positions = {(delivered.group, delivered.position) for delivered in batch.samples}
    assert len(positions) == len(batch.samples) == _GROUP_COUNT * _GROUP_SIZE
    generated_versions = {
        (token["id"], token["at"]): token["v"]
        for engine in system.engines
        for token in engine.generated_tokens
    }
    for delivered in batch.samples:
        sample = delivered.sample
        reported_versions = [
            span.version
            for span in sample.spans
            for _ in range(span.last - span.first + 1)
        ]
        assert len(reported_versions) == sample.tokens
        assert reported_versions == [
            int(token.split(":")[1]) for token in sample.text.split()
        ]
        token_positions = [int(token.split(":")[0]) for token in sample.text.split()]
        assert token_positions == list(range(sample.tokens))
        for index, reported_version in enumerate(reported_versions):
            versions = {
                generated_version
                for (request, position), generated_version in generated_versions.items()
                if position == index and request.startswith(sample.request_id + "/")
            }
            assert reported_version in versions
        assert version - min(reported_versions) <= bound


async def test_swap_during_a_stream_is_reported_for_each_token(
    start_system, open_client
):
    system = await start_system(engines=2, engine_options={"token_s": 0.02})
    client = await open_client(system)
    await _submit_step(client)
    await wait_until(
        lambda: sum(len(engine.generated_tokens) for engine in system.engines) > 30
    )
    await client.release("model", 2)
    batch = await client.pull("job", 1)
    _check_batch(batch, system, 1)
    assert any(len(delivered.sample.spans) > 1 for delivered in batch.samples)


async def test_engine_with_a_failed_swap_gets_no_requests(start_system, open_client):
    system = await start_system(engines=2)
    failing, working = system.engines
    failing.fails_next_swap = True
    client = await open_client(system)
    await failing.swap(2)
    await wait_until(
        lambda: all(
            entry.context.directory.servers["engine-0"].version is None
            for entry in system.entries
        )
    )
    await _submit_step(client)
    _check_batch(await client.pull("job", 1), system, 1)
    assert failing.received_count == 0
    assert working.generated_tokens


async def test_samples_have_true_versions_after_an_engine_restart(
    start_system, open_client
):
    system = await start_system(engines=2, engine_options={"token_s": 0.02})
    client = await open_client(system)
    await _submit_step(client)
    engine = system.engines[0]
    await wait_until(lambda: len(engine.generated_tokens) > 10)
    await engine.kill()
    await system.add_engine("engine-0", port=engine.port, version=2)
    _check_batch(await client.pull("job", 1), system, 1)


async def test_stale_samples_are_generated_again(start_system, open_client):
    system = await start_system(engines=2, engine_options={"token_s": 0.02})
    client = await open_client(system)
    await _submit_step(client)
    job = system.leader.machine.state.ledger.jobs["job"]
    await wait_until(lambda: job.accepted >= 2)
    await client.release("model", 4)
    await client.set_version("job", 4)
    _check_batch(await client.pull("job", 1), system, 4)
    assert job.wasted > 0


async def test_restarted_trainer_gets_the_same_batch_and_continues(
    start_system, open_client
):
    system = await start_system(engines=2)
    client = await open_client(system)
    await _submit_step(client)
    first_batch = await client.pull("job", 1)
    restarted = await open_client(system)
    assert await restarted.pull("job", 1) == first_batch
    await restarted.submit_step("job", 0, [f"prompt {n}" for n in range(_GROUP_COUNT)])
    await restarted.submit_step("job", 1, [f"prompt {n}" for n in range(_GROUP_COUNT)])
    second_batch = await restarted.pull("job", 2)
    assert {delivered.step for delivered in second_batch.samples} == {1}
    with pytest.raises(RequestRefusedError):
        await restarted.pull("job", 1)


async def test_resubmitted_step_with_other_prompts_is_refused(
    start_system, open_client
):
    system = await start_system(engines=1)
    client = await open_client(system)
    await _submit_step(client)
    with pytest.raises(RequestRefusedError, match="other prompts"):
        await client.submit_step("job", 0, ["another"])


async def test_step_outlives_an_earlier_step_with_the_same_prompts(
    start_system, open_client
):
    """Guard against deleting prompts that a later step shares when a step ends."""
    system = await start_system(engines=1)
    client = await open_client(system)
    await _submit_step(client)
    await client.pull("job", 1)
    await system.engines.pop().kill()
    await client.submit_step("job", 1, [f"prompt {n}" for n in range(_GROUP_COUNT)])
    with pytest.raises(ControlError):
        await (await open_client(system, timeout_s=1)).pull("job", 2)
    await wait_until(
        lambda: all(
            entry.context.ledger.jobs["job"].oldest_step == 1
            for entry in system.entries
        )
    )
    await system.add_engine("engine-9")
    batch = await client.pull("job", 2)
    assert {delivered.step for delivered in batch.samples} == {1}


async def test_accepted_samples_survive_the_crash_of_their_entry(
    start_system, open_client
):
    system = await start_system(entries=4, engines=2)
    client = await open_client(system)
    await _submit_step(client)
    job = system.leader.machine.state.ledger.jobs["job"]
    await wait_until(lambda: job.accepted == _GROUP_COUNT * _GROUP_SIZE)
    await system.crash_entry(_step_owner_number(system))
    client = await open_client(system)
    _check_batch(await client.pull("job", 1), system, 1)
    assert job.accepted == _GROUP_COUNT * _GROUP_SIZE


async def test_accepted_samples_survive_the_crash_of_all_entries(
    start_system, open_client
):
    system = await start_system(entries=2, engines=2)
    await _submit_step(await open_client(system))
    job = system.leader.machine.state.ledger.jobs["job"]
    await wait_until(lambda: job.accepted == _GROUP_COUNT * _GROUP_SIZE)
    while system.entries:
        await system.crash_entry(0)
    await system.add_entry(7)
    _check_batch(await (await open_client(system)).pull("job", 1), system, 1)
    assert job.accepted == _GROUP_COUNT * _GROUP_SIZE


async def test_step_survives_the_crash_of_all_entries(start_system, open_client):
    system = await start_system(entries=2, engines=0)
    await _submit_step(await open_client(system))
    while system.entries:
        await system.crash_entry(0)
    await system.add_entry(7)
    await system.add_engine("engine-0")
    _check_batch(await (await open_client(system)).pull("job", 1), system, 1)


async def test_samples_of_an_isolated_owner_are_not_counted_twice(
    start_system, open_client
):
    system = await start_system(entries=3, engines=2, engine_options={"token_s": 0.05})
    client = await open_client(system)
    (relay,) = await system.add_control_relays(0)
    await _submit_step(client)
    job = system.leader.machine.state.ledger.jobs["job"]
    await wait_until(
        lambda: sum(len(engine.generated_tokens) for engine in system.engines) > 4
    )
    assert _step_owner_number(system) == 0
    relay.interrupt()
    pull = asyncio.create_task((await open_client(system)).pull("job", 1))
    await wait_until(lambda: not system.entries[0].context.configuration.is_leased)
    relay.restore()
    _check_batch(await pull, system, 1)
    await wait_until(lambda: job.accepted == _GROUP_COUNT * _GROUP_SIZE)


def _step_owner_number(system: LocalSystem) -> int:
    """Return the index in ``entries`` of the entry that runs the only step."""
    (step,) = system.leader.machine.state.batch_jobs.batch_jobs.values()
    boots = [entry.context.identity.boot for entry in system.entries]
    return boots.index(step.owner)


async def test_samples_are_scored_by_the_service_that_their_job_names(
    start_system, open_client
):
    system = await start_system(engines=2, plain_services=2)
    client = await open_client(system)
    await client.create_job(
        JobBody(
            "job", "model", _GROUP_SIZE, _GROUP_COUNT, 1, _MAX_TOKENS, scorer="shop"
        )
    )
    await client.set_version("job", 1)
    prompts = [f"prompt {number}" for number in range(_GROUP_COUNT)]
    await client.submit_step("job", 0, prompts)
    await wait_until(lambda: any(engine.generated_tokens for engine in system.engines))
    await system.plain_services[0].stop()
    batch = await client.pull("job", 1)
    for delivered in batch.samples:
        assert delivered.sample.score == len(delivered.sample.text)
    _check_batch(batch, system, 1)
