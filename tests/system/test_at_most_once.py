"""A request that is not repeatable runs at most once; 'not run' is true."""

from __future__ import annotations

import asyncio

import pytest

from fakes.relay import Link
from pollenlb.request import once

from ..local_system import LocalSystem, until

KEY = "regrind-17"


async def _bill(system: LocalSystem, number: int, timeout_s: float = 10) -> tuple:
    headers = {"Idempotency-Key": KEY, "Pollenlb-Timeout": str(timeout_s)}
    return await system.ask("POST", number, "/billing", headers, data=b"one regrind")


def _executions(system: LocalSystem) -> int:
    return sum(plain.executions.get(KEY, 0) for plain in system.plains)


async def test_a_resend_through_another_entry_gets_the_stored_answer(local_system):
    system = await local_system(plains=2)
    first = await _bill(system, 0)
    assert first[:2] == (200, "ran")
    assert await _bill(system, 1) == first
    assert _executions(system) == 1


async def test_the_answer_outlives_the_entry_that_ran_it(local_system):
    system = await local_system(entries=3, plains=1)
    first = await _bill(system, 0)
    await system.crash_entry(0)
    assert await _bill(system, 0) == first
    assert await _bill(system, 1) == first


async def test_the_same_key_for_another_request_is_refused(local_system):
    system = await local_system(plains=1)
    await _bill(system, 0)
    headers = {"Idempotency-Key": KEY}
    answer = await system.ask("POST", 1, "/billing", headers, data=b"two regrinds")
    assert answer[:2] == (422, "not-run")
    assert _executions(system) == 1


async def test_a_freeze_between_claim_and_send(local_system, monkeypatch):
    system = await local_system(plains=1)
    frozen, thawed = asyncio.Event(), asyncio.Event()
    run = once.run_request

    async def run_after_freeze(caller, context):
        if context is system.entries[0].context:
            frozen.set()
            await thawed.wait()
        return await run(caller, context)

    monkeypatch.setattr(once, "run_request", run_after_freeze)
    first = asyncio.create_task(_bill(system, 0))
    await frozen.wait()
    assert (await _bill(system, 1, timeout_s=1))[:2] == (409, "unknown")
    assert _executions(system) == 0
    thawed.set()
    assert (await first)[:2] == (200, "ran")
    assert (await _bill(system, 1))[:2] == (200, "ran")
    assert _executions(system) == 1


async def test_the_entry_dies_after_the_send(local_system):
    system = await local_system(entries=3, plains=1)
    plain = system.plains[0]
    plain.gate.clear()
    first = asyncio.create_task(_bill(system, 0))
    await plain.started.wait()
    await system.crash_entry(0)
    plain.gate.set()
    with pytest.raises(Exception):
        await first
    assert (await _bill(system, 0))[:2] == (409, "unknown")
    assert _executions(system) == 1


async def test_the_answer_of_control_is_lost(local_system):
    system = await local_system(plains=1)
    (relay,) = await system.relay_control(0)
    first = asyncio.create_task(_bill(system, 0, timeout_s=2))
    relay.cut()
    status, outcome, _ = await first
    assert outcome == "not-run"
    assert _executions(system) == 0
    relay.heal()
    answers = [await _bill(system, 1), await _bill(system, 1)]
    assert _executions(system) == sum(a[1] == "ran" for a in answers[:1])


async def test_the_answer_of_the_service_is_lost(local_system):
    system = await local_system(entries=2)
    plain = await system.add_plain("plain-0", is_relayed=True)
    (relay,) = system.relays
    await system.until_usable(["plain-0"])
    plain.gate.clear()
    first = asyncio.create_task(_bill(system, 0))
    await plain.started.wait()
    relay.cut(Link.CLOSED)
    plain.gate.set()
    assert (await first)[1] == "unknown"
    relay.heal()
    await system.until_usable(["plain-0"])
    assert (await _bill(system, 1))[:2] == (409, "unknown")
    assert _executions(system) == 1


@pytest.mark.parametrize("method", ["POST", "PUT", "GET"])
async def test_without_a_key_it_is_not_sent_a_second_time(local_system, method):
    system = await local_system(entries=2, plains=2)
    for plain in system.plains:
        plain.gate.clear()
    ask = asyncio.create_task(system.ask(method, 0, "/billing", {}, data=b"x"))
    await until(lambda: any(plain.executions for plain in system.plains))
    for plain in system.plains:
        if plain.executions:
            await plain.kill()
        plain.gate.set()
    assert (await ask)[1] == "unknown"
    assert sum(plain.executions.get("/billing", 0) for plain in system.plains) == 1


@pytest.mark.parametrize("method", ["POST", "PUT", "GET", "DELETE"])
async def test_a_server_that_lives_breaks_the_connection(local_system, method):
    system = await local_system(entries=1, plains=1)
    (plain,) = system.plains
    plain.breaks_connections = True
    answer = await system.ask(method, 0, "/billing", {}, data=b"x")
    assert answer[1] == "unknown"
    assert plain.executions == {"/billing": 1}


async def test_a_request_that_reached_no_server_is_tried_elsewhere(local_system):
    system = await local_system(entries=1, plains=2)
    await system.plains[0].kill()
    for _ in range(10):
        answer = await system.ask("POST", 0, "/billing", {}, data=b"x")
        assert answer[:2] == (200, "ran")
    assert system.plains[1].executions == {"/billing": 10}
