"""Swap orders of a leader that was isolated take no effect."""

from __future__ import annotations

import types

import pytest

from fakes.relay import Relay
from pollenlb.connection.rpc import RpcChannel
from pollenlb.process.control import ControlProcess

from ..local_system import SERVICES, LocalSystem, wait_until

_ORDER_LIFETIME_S = 2.0


async def _relay_replicas(system: LocalSystem) -> dict[str, list[Relay]]:
    """Put relays between the control instances; return each instance's by name."""
    relays_by_name: dict[str, list[Relay]] = {}
    for control in system.controls:
        relays = {}
        for other in system.controls:
            address = other.replica.settings.listen
            relay = await system.add_relay(int(address.rpartition(":")[2]))
            relays[address] = relay
            if other is not control:
                relays_by_name.setdefault(control.replica.settings.name, []).append(
                    relay
                )
                relays_by_name.setdefault(other.replica.settings.name, []).append(relay)
        _connect_through_relays(control, relays)
    return relays_by_name


def _connect_through_relays(control: ControlProcess, relays: dict[str, Relay]) -> None:
    replica = control.replica
    channels: dict[str, RpcChannel] = {}

    def channel(self, address: str) -> RpcChannel:
        if address not in channels:
            target = f"127.0.0.1:{relays[address].port}"
            channels[address] = RpcChannel(target, replica.events)
            replica._channels[address] = channels[address]
        return channels[address]

    replica.channel = types.MethodType(channel, replica)


async def _release_version(system: LocalSystem, version: int) -> None:
    body = {"service": "model", "version": version}
    url = "/pollenlb/v1/operator/releases"
    status, _, answer = await system.send_request("POST", 0, url, {}, json=body)
    assert status == 200, answer


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_orders_of_an_isolated_leader_take_no_effect(
    start_system, checks_fencing
):
    model = {**SERVICES["model"], "checks_fencing": checks_fencing}
    system = await start_system(
        controls=3,
        engines=2,
        engine_options={"checks_fencing": checks_fencing, "swap_s": 0.05},
        services={**SERVICES, "model": model},
    )
    relays = await _relay_replicas(system)
    await _release_version(system, 2)
    await wait_until(lambda: all(engine.version == 2 for engine in system.engines))
    old_leader = system.leader
    for relay in relays[old_leader.replica.settings.name]:
        relay.interrupt()
    await wait_until(lambda: old_leader.replica.leadership is None)
    others = [control for control in system.controls if control is not old_leader]
    await wait_until(lambda: any(control.replica.leadership for control in others))
    system.controls[:] = others
    await _release_version(system, 3)
    await wait_until(lambda: all(engine.version == 3 for engine in system.engines))
    for relay in relays[old_leader.replica.settings.name]:
        relay.restore()
    await wait_until(
        lambda: old_leader.replica.commit_index >= others[0].replica.commit_index
    )
    system.controls.append(old_leader)
    for engine in system.engines:
        versions = [order["version"] for order in engine.orders]
        assert versions == sorted(versions)
        terms = [order["fencing"][0] for order in engine.orders]
        assert terms == sorted(terms)


async def test_engine_that_checks_fencing_refuses_an_order_of_an_old_term(start_system):
    system = await start_system(engines=1, engine_options={"swap_s": 0.05})
    await _release_version(system, 2)
    (engine,) = system.engines
    await wait_until(lambda: engine.version == 2)
    old_order = {"kind": "swap", "version": 1, "fencing": [0, 9], "valid_ms": 5000}
    url = f"http://127.0.0.1:{engine.port}/pollenlb/order"
    async with system.session.post(url, json=old_order) as response:
        assert response.status == 409
    assert engine.version == 2


async def test_new_leader_waits_for_old_orders_to_expire_without_fencing_checks(
    start_system,
):
    model = {**SERVICES["model"], "checks_fencing": False}
    system = await start_system(
        controls=3,
        engines=1,
        services={**SERVICES, "model": model},
        control_options={"order_lifetime_s": _ORDER_LIFETIME_S},
    )
    engine = system.engines[0]
    await _release_version(system, 2)
    await wait_until(lambda: engine.version == 2)
    old_leader = system.leader
    system.controls.remove(old_leader)
    await old_leader.stop()
    await wait_until(
        lambda: any(control.replica.leadership for control in system.controls)
    )
    await _release_version(system, 3)
    await wait_until(lambda: engine.version == 3)
    first, second = engine.order_times_s
    assert second - first > _ORDER_LIFETIME_S


async def test_a_failed_swap_is_ordered_again(start_system):
    system = await start_system(engines=2, engine_options={"swap_s": 0.05})
    system.engines[0].fails_next_swap = True
    await _release_version(system, 2)
    await wait_until(lambda: all(engine.version == 2 for engine in system.engines))
    assert len(system.engines[0].orders) == 2
