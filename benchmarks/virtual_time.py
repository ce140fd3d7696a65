"""An event loop whose time jumps from one timer to the next."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from pollenlb import clock


class _JumpingSelector(selectors.SelectSelector):
    """Waits by moving the loop's time on instead of sleeping."""

    def __init__(self) -> None:
        super().__init__()
        self.time_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Move the time on by the timeout."""
        found = super().select(0)
        if not found:
            if timeout is None:
                raise RuntimeError("nothing is left to wait for")
            self.time_s += max(0.0, timeout)
        return found


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time, the same way for the same seed."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._jumping.time_s


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time and return its result."""
    loop = VirtualTimeLoop()
    loop._clock_resolution = 1e-9
    clock.use_source(loop.time)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        clock.use_source(None)
        asyncio.set_event_loop(None)
        loop.close()
