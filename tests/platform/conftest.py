"""Fixtures of the platform's tests."""

from __future__ import annotations

import pytest

from .platform_system import PlatformSystem, configuration


@pytest.fixture
async def platform_system(tmp_path):
    """Return a function that starts a system with its first configuration."""
    started: list[PlatformSystem] = []

    async def start(**options) -> PlatformSystem:
        system = PlatformSystem(tmp_path, **options)
        started.append(system)
        await system.start()
        while (await system.control("POST", "/-/Config.Replace", configuration()))[
            0
        ] != 200:
            pass
        await system.until_served()
        return system

    yield start
    for system in started:
        await system.stop()
