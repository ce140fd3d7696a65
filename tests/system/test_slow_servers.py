"""Servers that are slow and sound, and connections that are dead."""

from __future__ import annotations

import asyncio

import pytest

from pollenlb.clock import now

from ..local_system import LocalSystem

_PROGRESS_TIMEOUT_S = 0.4
_SLOW_S = 3 * _PROGRESS_TIMEOUT_S


async def _start(start_system, servers: int, **route) -> LocalSystem:
    options = {"progress_timeout_s": _PROGRESS_TIMEOUT_S}
    system = await start_system(
        entries=1, plain_services=servers, entry_options=options
    )
    changes = {f"routes.shop.{name}": value for name, value in route.items()}
    if changes:
        await system.change_configuration(changes)
    for plain in system.plain_services:
        plain.processing_s = _SLOW_S
    return system


def _runs(system: LocalSystem) -> int:
    return sum(sum(plain.executions.values()) for plain in system.plain_services)


# Guards against a request that is given up although its server is at work on it.
@pytest.mark.parametrize("servers", [1, 2])
async def test_request_without_further_attempts_waits_for_a_slow_server(
    start_system, servers
):
    system = await _start(start_system, servers, max_attempts=1)
    for number in range(3):
        status, outcome, _ = await system.get(0, f"/shop/{number}")
        assert (status, outcome) == (200, "ran")
    assert _runs(system) == 3


async def test_slow_servers_answer_the_first_attempt(start_system):
    system = await _start(start_system, 2)
    started_at = now()
    status, outcome, _ = await system.get(0, "/shop/1")
    assert (status, outcome) == (200, "ran")
    assert now() < started_at + _SLOW_S + _PROGRESS_TIMEOUT_S


async def test_without_retry_budget_a_slow_server_is_waited_for(start_system):
    system = await _start(start_system, 2, retry_share=0.0)
    answers = await asyncio.gather(
        *(system.get(0, f"/shop/{number}") for number in range(12))
    )
    assert [answer[1] for answer in answers] == ["ran"] * 12


async def test_large_body_that_cannot_be_sent_again_waits_for_a_slow_server(
    start_system,
):
    system = await _start(start_system, 1)
    body = b"x" * 3_000_000
    status, outcome, answer = await system.send_request(
        "POST", 0, "/shop/1", {}, data=body
    )
    assert (status, outcome, answer["length"]) == (200, "ran", len(body))


async def test_dead_connection_to_the_only_server_is_left_early(start_system):
    options = {"progress_timeout_s": _PROGRESS_TIMEOUT_S}
    system = await start_system(entries=1, entry_options=options)
    await system.add_plain_service("plain-0", is_relayed=True)
    await system.wait_until_usable(["plain-0"])
    assert (await system.get(0, "/shop/1"))[1] == "ran"
    (relay,) = system.relays
    relay.silence_open_connections()
    started_at = now()
    assert (await system.get(0, "/shop/2"))[1] == "ran"
    assert now() < started_at + 3 * _PROGRESS_TIMEOUT_S
