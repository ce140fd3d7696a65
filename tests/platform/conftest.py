"""Fixtures of the platform's tests."""

from __future__ import annotations

import pytest

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
