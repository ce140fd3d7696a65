"""Orders of a leader that was isolated take no effect."""

from __future__ import annotations

import types

import pytest

from fakes.relay import Relay
from pollenlb.connection.rpc import RpcChannel
from pollenlb.process.control import ControlProcess

from ..local_system import SERVICES, LocalSystem, until

_LIFETIME_S = 2.0


async def _relay_replicas(system: LocalSystem) -> dict[str, list[Relay]]:
    """Put relays between the control instances; return those of each one."""
    found: dict[str, list[Relay]] = {}
    for control in system.controls:
        relays = {}
        for other in system.controls:
            address = other.replica.settings.listen
            relay = await system.relay(int(address.rpartition(":")[2]))
            relays[address] = relay
            if other is not control:
                found.setdefault(control.replica.settings.name, []).append(relay)
                found.setdefault(other.replica.settings.name, []).append(relay)
        _use_relays(control, relays)
    return found


def _use_relays(control: ControlProcess, relays: dict[str, Relay]) -> None:
    replica = control.replica
    channels: dict[str, RpcChannel] = {}

    def channel(self, address: str) -> RpcChannel:
        if address not in channels:
            target = f"127.0.0.1:{relays[address].port}"
            channels[address] = RpcChannel(target, replica.events)
            replica._channels[address] = channels[address]
        return channels[address]

    replica.channel = types.MethodType(channel, replica)


async def _release(system: LocalSystem, version: int) -> None:
    body = {"service": "model", "version": version}
    url = "/pollenlb/v1/operator/releases"
    status, _, answer = await system.ask("POST", 0, url, {}, json=body)
    assert status == 200, answer


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_an_isolated_leader_gives_no_order_that_takes_effect(
    local_system, checks_fencing
):
    model = {**SERVICES["model"], "checks_fencing": checks_fencing}
    system = await local_system(
        controls=3,
        engines=2,
        engine_options={"checks_fencing": checks_fencing, "swap_s": 0.05},
        services={**SERVICES, "model": model},
    )
    relays = await _relay_replicas(system)
    await _release(system, 2)
    await until(lambda: all(engine.version == 2 for engine in system.engines))
    old = system.leader
    for relay in relays[old.replica.settings.name]:
        relay.cut()
    await until(lambda: old.replica.leadership is None)
    others = [each for each in system.controls if each is not old]
    await until(lambda: any(each.replica.leadership for each in others))
    system.controls[:] = others
    await _release(system, 3)
    await until(lambda: all(engine.version == 3 for engine in system.engines))
    for relay in relays[old.replica.settings.name]:
        relay.heal()
    await until(lambda: old.replica.commit_index >= others[0].replica.commit_index)
    system.controls.append(old)
    for engine in system.engines:
        versions = [order["version"] for order in engine.orders]
        assert versions == sorted(versions)
        terms = [order["fencing"][0] for order in engine.orders]
        assert terms == sorted(terms)


async def test_an_old_order_is_refused_by_an_engine_that_checks(local_system):
    system = await local_system(engines=1, engine_options={"swap_s": 0.05})
    await _release(system, 2)
    (engine,) = system.engines
    await until(lambda: engine.version == 2)
    late = {"kind": "swap", "version": 1, "fencing": [0, 9], "valid_ms": 5000}
    url = f"http://127.0.0.1:{engine.port}/pollenlb/order"
    async with system.session.post(url, json=late) as response:
        assert response.status == 409
    assert engine.version == 2


async def test_a_new_leader_waits_before_it_orders_an_engine_that_does_not_check(
    local_system,
):
    model = {**SERVICES["model"], "checks_fencing": False}
    system = await local_system(
        controls=3,
        engines=1,
        services={**SERVICES, "model": model},
        control_options={"order_lifetime_s": _LIFETIME_S},
    )
    engine = system.engines[0]
    await _release(system, 2)
    await until(lambda: engine.version == 2)
    old = system.leader
    system.controls.remove(old)
    await old.stop()
    await until(lambda: any(each.replica.leadership for each in system.controls))
    await _release(system, 3)
    await until(lambda: engine.version == 3)
    first, second = engine.ordered_at
    assert second - first > _LIFETIME_S


async def test_a_failed_swap_is_ordered_again(local_system):
    system = await local_system(engines=2, engine_options={"swap_s": 0.05})
    system.engines[0].does_next_swap_fail = True
    await _release(system, 2)
    await until(lambda: all(engine.version == 2 for engine in system.engines))
    assert len(system.engines[0].orders) == 2
