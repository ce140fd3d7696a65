"""Connections to engines are reused by the next items and requests."""

from __future__ import annotations

import asyncio

from .platform_system import batch_job


def _opened(system, entry: int = 0) -> float:
    counter = system.entries[entry].context.metrics.opened_connections
    return sum(
        sample.value
        for metric in counter.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    )


# Guards against a connection that is closed after each item.
async def test_items_reuse_the_connections_of_former_items(platform_system):
    system = await platform_system(entries=1)
    lengths = {f"item-{number}": 3 for number in range(8)}
    await system.submit(0, "job-0", batch_job(lengths))
    await system.read_all_results(0, "job-0")
    opened = _opened(system)
    assert 0 < opened <= len(lengths)
    for number in range(1, 4):
        again = {f"{number}-{item}": 3 for item in lengths}
        await system.submit(0, f"job-{number}", batch_job(again))
        await system.read_all_results(0, f"job-{number}")
    # Items may be spread a little differently over the engines each time.
    assert _opened(system) <= opened + 4


# Guards against a connection that is opened for each request that engines refuse.
async def test_refusals_keep_their_connections(platform_system):
    system = await platform_system(entries=1)
    for engine in system.engines:
        engine.is_busy = True
    for number in range(6):
        status, _, _ = await system.call_entry(
            "POST", 0, f"/safe/{number}", 2, X_Request_Id=f"r{number}"
        )
        assert status == 503
    await asyncio.sleep(0.05)
    assert _opened(system) <= len(system.engines)
