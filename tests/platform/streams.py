"""Streams of callers, on a system with engines of several software versions."""

from __future__ import annotations

from ..local_system import wait_until
from .platform_system import HOST, PlatformSystem, configuration

STREAM_PATH = "/safe/1"


async def start_streaming_system(
    platform_system, software: list[str], entries=2
) -> PlatformSystem:
    """Start a system with engines of the given software versions."""
    system = await platform_system(entries=entries, engines=0, controls=3)
    for number, version in enumerate(software):
        await system.add_engine(f"i-{number}", version)
    changed = configuration(2)
    changed["routes"][1] |= {"kind": "streaming", "resumable": True, "max_attempts": 3}
    await system.call_control("POST", "/-/Config.Replace", changed)
    await system.wait_until_served()
    await wait_until(
        lambda: all(
            entry.context.configuration.revision >= 2 for entry in system.entries
        )
    )
    return system


async def read_events(system: PlatformSystem, entry: int, request: str, count: int):
    """Begin a stream, read some events and leave; return the number of the last."""
    url = f"http://{system.entries[entry].context.identity.http}{STREAM_PATH}"
    headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "5000"}
    async with system.session.post(url, json=400, headers=headers) as response:
        assert response.status == 200
        last = -1
        while last + 1 < count:
            line = await response.content.readline()
            if line.startswith(b"id: "):
                last = int(line[4:])
        response.close()
    return last


async def resume(
    system: PlatformSystem, entry: int, request: str, began_as: str, last_event: int
) -> tuple:
    """Take a stream up at an entry for three events; return what the entry answers."""
    return await system.call_entry(
        "POST",
        entry,
        STREAM_PATH,
        last_event + 4,
        X_Request_Id=request,
        X_Deadline_Ms="5000",
        Last_Event_Id=str(last_event),
        Resumes=began_as,
    )


def software_of(system: PlatformSystem, request: str) -> set[str]:
    """Return the software versions of the engines that ran a request."""
    return {
        engine.software
        for engine in system.engines
        for run, _ in engine.received_runs
        if run == request
    }
