"""Owners of batch jobs know of loads of weights before the engines refuse items."""

from __future__ import annotations

import asyncio

from pollenlb.durable.configuration_commands import AssignEngines, NoteOrder

from ..local_system import wait_until
from .platform_system import MODEL, PlatformSystem, batch_job, configuration

# Much longer than it takes to submit a batch job.
_LOAD_S = 1.5


def _items(name: str, count: int, length: int = 10) -> dict[str, int]:
    return {f"{name}-{number}": length for number in range(count)}


async def _release(system: PlatformSystem, version: int) -> None:
    body = {"model": MODEL, "version": version}
    assert (await system.call_control("POST", "/-/version-put", body))[0] == 200


async def _start_system(platform_system) -> PlatformSystem:
    system = await platform_system()
    for engine in system.engines:
        engine.swap_s = _LOAD_S
    return system


def _refused_counts(system: PlatformSystem) -> list[int]:
    return [engine.refused_count for engine in system.engines]


def _refusals(system: PlatformSystem, load: str) -> float:
    return sum(
        entry.context.metrics.refused_items.labels("engines", load)._value.get()
        for entry in system.entries
    )


async def test_a_batch_job_submitted_during_loads_sends_no_item_to_loading_engines(
    platform_system,
):
    system = await _start_system(platform_system)
    await _release(system, 2)
    await wait_until(lambda: any(engine.is_busy for engine in system.engines))
    await system.submit(0, "job", batch_job(_items("item", 20)))
    assert len(await system.read_all_results(0, "job")) == 20
    assert _refused_counts(system) == [0, 0]


async def test_an_owner_knows_of_a_load_that_starts_while_its_items_run(
    platform_system,
):
    system = await _start_system(platform_system)
    await system.submit(0, "long", batch_job({"long": 500}))
    await wait_until(lambda: any(engine.running for engine in system.engines))
    idle = next(engine for engine in system.engines if not engine.running)
    await _release(system, 2)
    await wait_until(lambda: idle.is_busy)
    for number in range(4):
        await system.submit(0, f"job-{number}", batch_job(_items(f"j-{number}", 6)))
        await system.read_all_results(0, f"job-{number}")
    assert idle.is_busy
    assert idle.refused_count == 0
    await wait_until(
        lambda: all(
            entry.context.directory.servers[idle.name].model_version(MODEL) == 2
            for entry in system.entries
        )
    )
    await system.submit(0, "last", batch_job(_items("last", 12)))
    await system.read_all_results(0, "last")
    assert any(request.startswith("last") for request, _ in idle.received_runs)
    assert _refusals(system, "unknown") == 0


async def test_a_load_whose_order_was_lost_is_abandoned(platform_system):
    # A leader may stop between publishing a load and sending the order.
    system = await platform_system(engines=1)
    (engine,) = system.engines
    (control,) = system.controls
    server = control.machine.state.directory.servers[engine.name]
    fencing = control.machine.state.directory.fencing + 1
    order = NoteOrder(engine.name, fencing, server.boot, MODEL, 2)
    await control.execute(order)
    await system.submit(0, "job", batch_job(_items("item", 3)))
    await asyncio.sleep(0.5)
    assert engine.received_runs == []
    assert len(await system.read_all_results(0, "job")) == 3
    # The owner stops waiting by its own clock, before or after the leader.
    await wait_until(lambda: not control.machine.state.directory.planned_loads())


async def test_a_load_that_the_engine_refuses_is_abandoned(platform_system):
    system = await platform_system(engines=1)
    (engine,) = system.engines
    engine.refuses_orders = True
    await _release(system, 2)
    await wait_until(lambda: engine.refused_order_count > 0)
    await system.submit(0, "job", batch_job(_items("item", 3)))
    assert len(await system.read_all_results(0, "job")) == 3
    engine.refuses_orders = False
    await wait_until(lambda: engine.version == 2)


async def test_items_run_at_an_engine_that_restarts_while_it_loads(platform_system):
    system = await _start_system(platform_system)
    first, second = system.engines
    await _release(system, 2)
    await wait_until(lambda: first.is_busy or second.is_busy)
    loading = first if first.is_busy else second
    loading.started_at_ms += 5_000
    loading.is_busy = False
    loading.orders.clear()
    await loading.send_heartbeat()
    await system.submit(0, "job", batch_job(_items("item", 16, length=40)))
    assert len(await system.read_all_results(0, "job")) == 16
    await wait_until(lambda: loading.version == 2)


async def test_owners_use_the_division_of_engines_that_the_log_holds(platform_system):
    system = await platform_system()
    (control,) = system.controls
    for engine in system.engines:
        engine.other_models = {"other": 1}
        await engine.send_heartbeat()
    changed = configuration(2)
    models = [{"name": MODEL}, {"name": "other"}]
    changed["services"][0]["engine"]["models"] = models
    assert (await system.call_control("POST", "/-/Config.Replace", changed))[0] == 200
    for number, own in enumerate(system.engines):
        assigned = {engine.name: "other" for engine in system.engines}
        await control.execute(AssignEngines("engines", {**assigned, own.name: MODEL}))
        items = _items(f"job-{number}", 3)
        await system.submit(0, f"job-{number}", batch_job(items))
        assert len(await system.read_all_results(0, f"job-{number}")) == 3
        ran = {request for request, _ in own.received_runs}
        assert items.keys() <= ran
