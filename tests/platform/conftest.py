"""Fixtures of the platform's tests."""

from __future__ import annotations

import pytest

from .entry_links import EntryLinks
from .platform_system import PlatformSystem, configuration


@pytest.fixture
async def platform_system(tmp_path):
    """Return a function that starts a system and sends its first configuration.

    The system serves requests when the function returns.
    The keyword arguments of the function are those of ``PlatformSystem``.
    """
    started: list[PlatformSystem] = []

    async def start(**options) -> PlatformSystem:
        system = PlatformSystem(tmp_path, **options)
        started.append(system)
        await system.start()
        while (await system.call_control("POST", "/-/Config.Replace", configuration()))[
            0
        ] != 200:
            pass
        await system.wait_until_served()
        return system

    yield start
    for system in started:
        await system.stop()


@pytest.fixture
async def linked_system(platform_system):
    """Return a function that starts a system, and the links of each of its entries.

    There are two entries and three engines.
    """
    started: list[EntryLinks] = []

    async def start() -> tuple[PlatformSystem, list[EntryLinks]]:
        system = await platform_system(entries=2, engines=3)
        for entry in system.entries:
            started.append(EntryLinks(system, entry))
            await started[-1].start()
        return system, started

    yield start
    for links in started:
        await links.stop()
