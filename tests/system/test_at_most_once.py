"""Requests that are not repeatable run at most once.

The outcome "not-run" is only reported when the request did not run at any server.
"""

from __future__ import annotations

import asyncio

import pytest

from fakes.relay import LinkState
from pollenlb.request import at_most_once

from ..local_system import LocalSystem, wait_until

IDEMPOTENCY_KEY = "regrind-17"


async def _send_billing_request(
    system: LocalSystem, number: int, timeout_s: float = 10
) -> tuple:
    headers = {"Idempotency-Key": IDEMPOTENCY_KEY, "Pollenlb-Timeout": str(timeout_s)}
    return await system.send_request(
        "POST", number, "/billing", headers, data=b"one regrind"
    )


def _execution_count(system: LocalSystem) -> int:
    return sum(
        plain.executions.get(IDEMPOTENCY_KEY, 0) for plain in system.plain_services
    )


async def test_a_resend_through_another_entry_gets_the_stored_answer(start_system):
    system = await start_system(plain_services=2)
    first = await _send_billing_request(system, 0)
    assert first[:2] == (200, "ran")
    assert await _send_billing_request(system, 1) == first
    assert _execution_count(system) == 1


async def test_stored_answer_survives_the_crash_of_its_entry(start_system):
    system = await start_system(entries=3, plain_services=1)
    first = await _send_billing_request(system, 0)
    await system.crash_entry(0)
    assert await _send_billing_request(system, 0) == first
    assert await _send_billing_request(system, 1) == first


async def test_the_same_key_for_another_request_is_refused(start_system):
    system = await start_system(plain_services=1)
    await _send_billing_request(system, 0)
    headers = {"Idempotency-Key": IDEMPOTENCY_KEY}
    answer = await system.send_request(
        "POST", 1, "/billing", headers, data=b"two regrinds"
    )
    assert answer[:2] == (422, "not-run")
    assert _execution_count(system) == 1


async def test_request_frozen_between_claim_and_send_runs_once(
    start_system, monkeypatch
):
    system = await start_system(plain_services=1)
    frozen, thawed = asyncio.Event(), asyncio.Event()
    run_request = at_most_once.run_request

    async def run_request_when_thawed(caller, context):
        if context is system.entries[0].context:
            frozen.set()
            await thawed.wait()
        return await run_request(caller, context)

    monkeypatch.setattr(at_most_once, "run_request", run_request_when_thawed)
    first = asyncio.create_task(_send_billing_request(system, 0))
    await frozen.wait()
    assert (await _send_billing_request(system, 1, timeout_s=1))[:2] == (409, "unknown")
    assert _execution_count(system) == 0
    thawed.set()
    assert (await first)[:2] == (200, "ran")
    assert (await _send_billing_request(system, 1))[:2] == (200, "ran")
    assert _execution_count(system) == 1


async def test_outcome_is_unknown_after_the_entry_crashes_with_the_request(
    start_system,
):
    system = await start_system(entries=3, plain_services=1)
    plain = system.plain_services[0]
    plain.may_answer.clear()
    first = asyncio.create_task(_send_billing_request(system, 0))
    await plain.request_received.wait()
    await system.crash_entry(0)
    plain.may_answer.set()
    with pytest.raises(Exception):
        await first
    assert (await _send_billing_request(system, 0))[:2] == (409, "unknown")
    assert _execution_count(system) == 1


async def test_request_is_not_run_when_the_answer_to_its_claim_is_lost(start_system):
    system = await start_system(plain_services=1)
    (relay,) = await system.add_control_relays(0)
    first = asyncio.create_task(_send_billing_request(system, 0, timeout_s=2))
    relay.interrupt()
    status, outcome, _ = await first
    assert outcome == "not-run"
    assert _execution_count(system) == 0
    relay.restore()
    answers = [
        await _send_billing_request(system, 1),
        await _send_billing_request(system, 1),
    ]
    assert _execution_count(system) == sum(answer[1] == "ran" for answer in answers[:1])


async def test_outcome_is_unknown_when_the_servers_answer_is_lost(start_system):
    system = await start_system(entries=2)
    plain = await system.add_plain_service("plain-0", is_relayed=True)
    (relay,) = system.relays
    await system.wait_until_usable(["plain-0"])
    plain.may_answer.clear()
    first = asyncio.create_task(_send_billing_request(system, 0))
    await plain.request_received.wait()
    relay.interrupt(LinkState.CLOSED)
    plain.may_answer.set()
    assert (await first)[1] == "unknown"
    relay.restore()
    await system.wait_until_usable(["plain-0"])
    assert (await _send_billing_request(system, 1))[:2] == (409, "unknown")
    assert _execution_count(system) == 1


@pytest.mark.parametrize("method", ["POST", "PUT", "GET"])
async def test_request_without_key_is_not_retried_after_its_server_fails(
    start_system, method
):
    system = await start_system(entries=2, plain_services=2)
    for plain in system.plain_services:
        plain.may_answer.clear()
    request = asyncio.create_task(
        system.send_request(method, 0, "/billing", {}, data=b"x")
    )
    await wait_until(lambda: any(plain.executions for plain in system.plain_services))
    for plain in system.plain_services:
        if plain.executions:
            await plain.kill()
        plain.may_answer.set()
    assert (await request)[1] == "unknown"
    assert (
        sum(plain.executions.get("/billing", 0) for plain in system.plain_services) == 1
    )


@pytest.mark.parametrize("method", ["POST", "PUT", "GET", "DELETE"])
async def test_request_is_not_retried_after_a_live_server_aborts_the_connection(
    start_system, method
):
    system = await start_system(entries=1, plain_services=1)
    (plain,) = system.plain_services
    plain.aborts_connections = True
    answer = await system.send_request(method, 0, "/billing", {}, data=b"x")
    assert answer[1] == "unknown"
    assert plain.executions == {"/billing": 1}


async def test_request_that_reached_no_server_is_sent_to_another(start_system):
    system = await start_system(entries=1, plain_services=2)
    await system.plain_services[0].kill()
    for _ in range(10):
        answer = await system.send_request("POST", 0, "/billing", {}, data=b"x")
        assert answer[:2] == (200, "ran")
    assert system.plain_services[1].executions == {"/billing": 10}
