"""Accepted configuration is in force everywhere and never reverts."""

from __future__ import annotations

import asyncio

from pollenlb.clock import now

from ..local_system import LocalSystem, until

URL = "/pollenlb/v1/operator/configuration"


def _change(value: int, based_on: int) -> dict:
    changes = {"routes.shop.timeout_s": value}
    return {"changes": changes, "based_on": based_on, "operator": f"op{value}"}


async def _send(system: LocalSystem, number: int, body: dict, command: str) -> tuple:
    headers = {"Pollenlb-Command-Id": command}
    status, _, answer = await system.ask("POST", number, URL, headers, json=body)
    return status, answer


async def test_of_two_operators_one_wins_and_the_other_sees_what_won(local_system):
    system = await local_system(entries=2)
    answers = await asyncio.gather(
        _send(system, 0, _change(11, 1), "a"), _send(system, 1, _change(12, 1), "b")
    )
    (won, _), (lost, conflict) = sorted(answers)
    assert (won, lost) == (200, 409)
    value = system.entries[0].context.configuration.settings.routes["shop"].timeout_s
    assert conflict["winner"]["changes"] == {"routes.shop.timeout_s": int(value)}


async def test_a_resend_gets_the_first_answer(local_system):
    options = {"snapshot_every": 10}
    system = await local_system(controls=3, entries=2, control_options=options)
    first = await _send(system, 0, _change(11, 1), "a")
    assert await _send(system, 1, _change(11, 1), "a") == first
    for value in range(20, 35):
        revision = system.entries[0].context.configuration.revision
        assert (await _send(system, 0, _change(value, revision), f"c{value}"))[0] == 200
    leader = system.leader
    assert leader.replica.storage.first_index > 1
    system.controls.remove(leader)
    await leader.stop()
    assert await _send(system, 1, _change(11, 1), "a") == first
    assert (
        system.entries[1].context.configuration.settings.routes["shop"].timeout_s == 34
    )


async def test_an_isolated_entry_stops_before_a_change_is_accepted(local_system):
    system = await local_system(entries=2, plains=1)
    isolated = system.entries[1].context
    for relay in await system.relay_control(1):
        relay.cut()
    status, _ = await _send(system, 0, _change(11, 1), "a")
    assert status == 200
    assert not isolated.configuration.is_leased
    assert await system.get(1, "/shop/1") == (503, "not-run", _any)
    assert (await system.get(0, "/shop/1"))[1] == "ran"
    assert system.plains[0].executions == {"/shop/1": 1}
    for relay in system.relays:
        relay.heal()
    await until(lambda: isolated.configuration.is_leased)
    assert isolated.configuration.revision == 2


async def test_a_lease_is_never_longer_than_the_leader_waits(local_system):
    system = await local_system(entries=3)
    for number in (1, 2):
        for relay in await system.relay_control(number):
            relay.cut()
    status, _ = await _send(system, 0, _change(11, 1), "a")
    accepted_at = now()
    assert status == 200
    for entry in system.entries[1:]:
        assert entry.context.configuration._lease_until <= accepted_at


async def test_a_new_entry_serves_nothing_before_it_has_the_revision(local_system):
    system = await local_system(controls=3, entries=1, plains=1)
    leader = system.leader
    for control in system.controls:
        if control is not leader:
            await control.stop()
    system.controls[:] = [leader]
    late = await system.add_entry(5)
    await until(lambda: not system.entries[0].context.configuration.is_leased)
    assert await system.get(1, "/shop/1") == (503, "not-run", _any)
    assert late.context.configuration.revision == -1
    assert system.plains[0].executions == {}


class _Any:
    def __eq__(self, other: object) -> bool:
        return True


_any = _Any()
