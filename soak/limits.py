"""Limits that engines name during a run, and a check of the arrivals there."""

from __future__ import annotations

import asyncio
import random

from fakes.platform_engine import PlatformEngine

# The users' rule: from _CONTACT_S after a server first named its limit, no _WINDOW_S
# may hold more than _MAX_RATIO times what it allows, and _SLACK_COUNT more.
_CONTACT_S = 3.0
_WINDOW_S = 4.0
_MAX_RATIO = 1.5
_SLACK_COUNT = 5


class NamedLimits:
    """Lets engines name limits now and then, and checks what arrives.

    Parameters
    ----------
    engines : list of PlatformEngine
        Engines that may name a limit.
    rng : random.Random
        Draws the engines, limits and times.

    Attributes
    ----------
    violations : list of str
        Exceeded limits, one description each.
    """

    def __init__(self, engines: list[PlatformEngine], rng: random.Random) -> None:
        self._engines = engines
        self._rng = rng
        self.violations: list[str] = []

    async def run(self) -> None:
        """Name limits until the task is cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            engine = self._rng.choice(self._engines)
            await self._name_limit(engine, self._rng.uniform(4.0, 20.0))

    async def _name_limit(self, engine: PlatformEngine, limit_per_s: float) -> None:
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        engine.request_limit_per_s = limit_per_s
        try:
            await asyncio.sleep(_CONTACT_S + _WINDOW_S + self._rng.uniform(0.5, 3.0))
        finally:
            engine.request_limit_per_s = None
            self._check(engine, limit_per_s, begun_at + _CONTACT_S, loop.time())

    def _check(
        self, engine: PlatformEngine, limit_per_s: float, start: float, end: float
    ) -> None:
        times = [time for time in engine.received_at if start <= time < end]
        allowed = _MAX_RATIO * limit_per_s * _WINDOW_S + _SLACK_COUNT
        for first in times:
            count = sum(first <= time < first + _WINDOW_S for time in times)
            if count > allowed:
                self.violations.append(
                    f"{engine.name} got {count} requests in {_WINDOW_S:g} s at a limit "
                    f"of {limit_per_s:.1f} a second"
                )
                return
