"""An accepted change applies at every entry that serves and is never reverted."""

from __future__ import annotations

import asyncio

from pollenlb.clock import now
from pollenlb.durable.configuration_commands import ChangeConfiguration
from pollenlb.ids import Revision

from ..local_system import LocalSystem, wait_until

# Time after which an accepted change applies at every entry, as the users state it.
_APPLIED_WITHIN_S = 2.5
CONFIGURATION_PATH = "/pollenlb/v1/operator/configuration"


def _make_change(value: int, based_on: int) -> dict:
    changes = {"routes.shop.timeout_s": value}
    return {"changes": changes, "based_on": based_on, "operator": f"op{value}"}


async def _send_change(
    system: LocalSystem, number: int, body: dict, command_id: str
) -> tuple:
    headers = {"Pollenlb-Command-Id": command_id}
    status, _, answer = await system.send_request(
        "POST", number, CONFIGURATION_PATH, headers, json=body
    )
    return status, answer


async def test_of_two_concurrent_changes_the_refused_one_gets_the_winner(start_system):
    system = await start_system(entries=2)
    answers = await asyncio.gather(
        _send_change(system, 0, _make_change(11, 1), "a"),
        _send_change(system, 1, _make_change(12, 1), "b"),
    )
    (accepted, _), (refused, conflict) = sorted(answers)
    assert (accepted, refused) == (200, 409)
    value = system.entries[0].context.configuration.settings.routes["shop"].timeout_s
    assert conflict["winner"]["changes"] == {"routes.shop.timeout_s": int(value)}


async def test_resent_change_gets_the_first_answer_after_a_failover(start_system):
    options = {"snapshot_every": 10}
    system = await start_system(controls=3, entries=2, control_options=options)
    first = await _send_change(system, 0, _make_change(11, 1), "a")
    assert await _send_change(system, 1, _make_change(11, 1), "a") == first
    for value in range(20, 35):
        revision = system.entries[0].context.configuration.revision
        assert (
            await _send_change(system, 0, _make_change(value, revision), f"c{value}")
        )[0] == 200
    leader = system.leader
    assert leader.replica.storage.first_index > 1
    system.controls.remove(leader)
    await leader.stop()
    assert await _send_change(system, 1, _make_change(11, 1), "a") == first
    assert (
        system.entries[1].context.configuration.settings.routes["shop"].timeout_s == 34
    )


async def test_isolated_entry_stops_serving_before_a_change_is_accepted(start_system):
    system = await start_system(entries=2, plain_services=1)
    isolated = system.entries[1].context
    for relay in await system.add_control_relays(1):
        relay.interrupt()
    status, _ = await _send_change(system, 0, _make_change(11, 1), "a")
    assert status == 200
    assert not isolated.configuration.is_leased
    assert await system.get(1, "/shop/1") == (503, "not-run", _ANYTHING)
    assert (await system.get(0, "/shop/1"))[1] == "ran"
    assert system.plain_services[0].executions == {"/shop/1": 1}
    for relay in system.relays:
        relay.restore()
    await wait_until(lambda: isolated.configuration.is_leased)
    assert isolated.configuration.revision == 2


async def test_leases_of_isolated_entries_expire_before_a_change_is_accepted(
    start_system,
):
    system = await start_system(entries=3)
    for number in (1, 2):
        for relay in await system.add_control_relays(number):
            relay.interrupt()
    status, _ = await _send_change(system, 0, _make_change(11, 1), "a")
    accepted_at = now()
    assert status == 200
    for entry in system.entries[1:]:
        assert entry.context.configuration._lease_expires_at <= accepted_at


async def test_new_entry_serves_nothing_before_it_has_a_configuration(start_system):
    system = await start_system(controls=3, entries=1, plain_services=1)
    leader = system.leader
    for control in system.controls:
        if control is not leader:
            await control.stop()
    system.controls[:] = [leader]
    new_entry = await system.add_entry(5)
    await wait_until(lambda: not system.entries[0].context.configuration.is_leased)
    assert await system.get(1, "/shop/1") == (503, "not-run", _ANYTHING)
    assert new_entry.context.configuration.revision == -1
    assert system.plain_services[0].executions == {}


async def test_split_control_instances_do_not_keep_entries_from_the_new_leader(
    start_system,
):
    # Guards against an entry that goes back and forth between a leader that lost its
    # quorum and a follower beside it, while another leader accepts changes.
    options = {"tolerated_losses": 2}
    system = await start_system(controls=5, entries=1, control_options=options)
    deposed = system.leader
    position = system.controls.index(deposed)
    beside = system.controls[(position + 1) % len(system.controls)]
    majority = [c for c in system.controls if c not in (deposed, beside)]
    system.split_controls([deposed, beside], majority)
    await wait_until(
        lambda: any(control.replica.leadership for control in majority)
        and deposed.replica.leadership is None
    )
    new_leader = next(control for control in majority if control.replica.leadership)
    changes = {"routes.shop.timeout_s": 11}
    await new_leader.execute(ChangeConfiguration(changes, Revision(1)))
    configuration = system.entries[0].context.configuration
    await wait_until(lambda: configuration.revision == 2, _APPLIED_WITHIN_S)


class _EqualToAnything:
    def __eq__(self, other: object) -> bool:
        return True


_ANYTHING = _EqualToAnything()
