"""Samples: once each, with true versions, within the staleness bound."""

from __future__ import annotations

import asyncio

import pytest

from pollenlb.client import JobBody, TrainerClient
from pollenlb.exceptions import ControlError, RequestRefusedError

from ..local_system import LocalSystem, until

_GROUPS = 4
_GROUP_SIZE = 2
_TOKENS = 40


@pytest.fixture
async def client_of():
    """Return a function that opens a trainer's client."""
    opened: list[TrainerClient] = []

    async def open_client(system: LocalSystem, timeout_s: float = 40) -> TrainerClient:
        urls = [system.url(number) for number in range(len(system.entries))]
        client = await TrainerClient(urls, timeout_s).__aenter__()
        opened.append(client)
        return client

    yield open_client
    for client in opened:
        await client.__aexit__()


async def _submit(client: TrainerClient, bound: int = 1, step: int = 0) -> None:
    job = JobBody("job", "model", _GROUP_SIZE, _GROUPS, bound, _TOKENS)
    await client.create_job(job)
    await client.set_version("job", 1)
    await client.submit_step("job", step, [f"prompt {n}" for n in range(_GROUPS)])


def _check(batch, system: LocalSystem, version: int, bound: int = 1) -> None:
    """Compare a batch with what the engines' logs say made each token."""
    slots = {(each.group, each.position) for each in batch.samples}
    assert len(slots) == len(batch.samples) == _GROUPS * _GROUP_SIZE
    made = {
        (entry["id"], entry["at"]): entry["v"]
        for engine in system.engines
        for entry in engine.log
    }
    for each in batch.samples:
        sample = each.sample
        told = [s.version for s in sample.spans for _ in range(s.last - s.first + 1)]
        assert len(told) == sample.tokens
        assert told == [int(token.split(":")[1]) for token in sample.text.split()]
        positions = [int(token.split(":")[0]) for token in sample.text.split()]
        assert positions == list(range(sample.tokens))
        for at, told_version in enumerate(told):
            makers = {
                made_by
                for (request, position), made_by in made.items()
                if position == at and request.startswith(sample.request_id + "/")
            }
            assert told_version in makers
        assert version - min(told) <= bound


async def test_a_swap_in_mid_stream_is_told_token_by_token(local_system, client_of):
    system = await local_system(engines=2, engine_options={"token_s": 0.02})
    client = await client_of(system)
    await _submit(client)
    await until(lambda: sum(len(engine.log) for engine in system.engines) > 30)
    await client.release("model", 2)
    batch = await client.pull("job", 1)
    _check(batch, system, 1)
    assert any(len(each.sample.spans) > 1 for each in batch.samples)


async def test_an_engine_whose_swap_failed_serves_nothing(local_system, client_of):
    system = await local_system(engines=2)
    failing, sound = system.engines
    failing.does_next_swap_fail = True
    client = await client_of(system)
    await failing.swap(2)
    await until(
        lambda: all(
            entry.context.directory.servers["engine-0"].version is None
            for entry in system.entries
        )
    )
    await _submit(client)
    _check(await client.pull("job", 1), system, 1)
    assert failing.received == 0
    assert sound.log


async def test_an_engine_started_again_under_its_address(local_system, client_of):
    system = await local_system(engines=2, engine_options={"token_s": 0.02})
    client = await client_of(system)
    await _submit(client)
    old = system.engines[0]
    await until(lambda: len(old.log) > 10)
    await old.kill()
    await system.add_engine("engine-0", port=old.port, version=2)
    _check(await client.pull("job", 1), system, 1)


async def test_samples_that_grew_too_old_are_generated_again(local_system, client_of):
    system = await local_system(engines=2, engine_options={"token_s": 0.02})
    client = await client_of(system)
    await _submit(client)
    job = system.leader.machine.state.ledger.jobs["job"]
    await until(lambda: job.accepted >= 2)
    await client.release("model", 4)
    await client.set_version("job", 4)
    _check(await client.pull("job", 1), system, 4)
    assert job.wasted > 0


async def test_a_pull_is_resent_and_a_trainer_restarted(local_system, client_of):
    system = await local_system(engines=2)
    client = await client_of(system)
    await _submit(client)
    first = await client.pull("job", 1)
    restarted = await client_of(system)
    assert await restarted.pull("job", 1) == first
    await restarted.submit_step("job", 0, [f"prompt {n}" for n in range(_GROUPS)])
    await restarted.submit_step("job", 1, [f"prompt {n}" for n in range(_GROUPS)])
    second = await restarted.pull("job", 2)
    assert {each.step for each in second.samples} == {1}
    with pytest.raises(RequestRefusedError):
        await restarted.pull("job", 1)


async def test_a_step_is_not_replaced_by_other_prompts(local_system, client_of):
    system = await local_system(engines=1)
    client = await client_of(system)
    await _submit(client)
    with pytest.raises(RequestRefusedError, match="other prompts"):
        await client.submit_step("job", 0, ["another"])


async def test_steps_with_the_same_prompts(local_system, client_of):
    """The bodies of a later step last when an earlier one with the same ones ends."""
    system = await local_system(engines=1)
    client = await client_of(system)
    await _submit(client)
    await client.pull("job", 1)
    await system.engines.pop().kill()
    await client.submit_step("job", 1, [f"prompt {n}" for n in range(_GROUPS)])
    with pytest.raises(ControlError):
        await (await client_of(system, timeout_s=1)).pull("job", 2)
    await until(
        lambda: all(
            entry.context.ledger.jobs["job"].oldest_step == 1
            for entry in system.entries
        )
    )
    await system.add_engine("engine-9")
    batch = await client.pull("job", 2)
    assert {each.step for each in batch.samples} == {1}


async def test_the_entry_that_made_the_samples_is_lost(local_system, client_of):
    system = await local_system(entries=4, engines=2)
    client = await client_of(system)
    await _submit(client)
    job = system.leader.machine.state.ledger.jobs["job"]
    await until(lambda: job.accepted == _GROUPS * _GROUP_SIZE)
    await system.crash_entry(_owner_of_step(system))
    client = await client_of(system)
    _check(await client.pull("job", 1), system, 1)
    assert job.accepted == _GROUPS * _GROUP_SIZE


async def test_all_entries_are_lost_with_the_samples_made(local_system, client_of):
    system = await local_system(entries=2, engines=2)
    await _submit(await client_of(system))
    job = system.leader.machine.state.ledger.jobs["job"]
    await until(lambda: job.accepted == _GROUPS * _GROUP_SIZE)
    while system.entries:
        await system.crash_entry(0)
    await system.add_entry(7)
    _check(await (await client_of(system)).pull("job", 1), system, 1)
    assert job.accepted == _GROUPS * _GROUP_SIZE


async def test_all_entries_are_lost_before_a_sample_is_made(local_system, client_of):
    system = await local_system(entries=2, engines=0)
    await _submit(await client_of(system))
    while system.entries:
        await system.crash_entry(0)
    await system.add_entry(7)
    await system.add_engine("engine-0")
    _check(await (await client_of(system)).pull("job", 1), system, 1)


async def test_late_samples_do_not_count_twice(local_system, client_of):
    system = await local_system(entries=3, engines=2, engine_options={"token_s": 0.05})
    client = await client_of(system)
    (relay,) = await system.relay_control(0)
    await _submit(client)
    job = system.leader.machine.state.ledger.jobs["job"]
    await until(lambda: sum(len(engine.log) for engine in system.engines) > 4)
    assert _owner_of_step(system) == 0
    relay.cut()
    pulling = asyncio.create_task((await client_of(system)).pull("job", 1))
    await until(lambda: not system.entries[0].context.configuration.is_leased)
    relay.heal()
    _check(await pulling, system, 1)
    await until(lambda: job.accepted == _GROUPS * _GROUP_SIZE)


def _owner_of_step(system: LocalSystem) -> int:
    (step,) = system.leader.machine.state.batch_jobs.batch_jobs.values()
    boots = [entry.context.identity.boot for entry in system.entries]
    return boots.index(step.owner)
