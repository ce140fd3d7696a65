"""An event loop in virtual time, which skips all waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from pollenlb import clock


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual time instead of sleeping until the next timer.

    Attributes
    ----------
    time_s : float
        Virtual time, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.time_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return ready events, or advance the time by the timeout if there are none.

        Raises
        ------
        RuntimeError
            When there is no ready event and no timer, so that the loop would wait
            forever.
        """
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError(
                    f"event loop has no ready event and no timer at {self.time_s:.3f} s"
                )
            self.time_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, in which equal seeds give equal runs."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds, which starts at 0."""
        return self._virtual_selector.time_s


def run_in_virtual_time(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time and return its result.

    ``pollenlb.clock`` reads the virtual time meanwhile. Tasks that are left when the
    coroutine ends are cancelled.
    """
    loop = VirtualTimeLoop()
    loop._clock_resolution = 1e-9
    clock.set_time_source(loop.time)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        clock.set_time_source(None)
        asyncio.set_event_loop(None)
        loop.close()
