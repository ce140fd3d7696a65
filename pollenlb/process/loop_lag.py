"""How late the event loop of a process runs what is due."""

from __future__ import annotations

import asyncio
import time

_INTERVAL_S = 0.2
_SMOOTHING_RATIO = 0.3  # of the latest reading in the smoothed value


class LoopLag:
    """Measures the lag of the event loop it is started in."""

    def __init__(self) -> None:
        self._lag_s = 0.0
        self._task: asyncio.Task | None = None

    @property
    def lag_s(self) -> float:
        """Smoothed lag in seconds."""
        return self._lag_s

    def start(self) -> None:
        """Start to measure."""
        self._task = asyncio.get_running_loop().create_task(self._measure())

    def stop(self) -> None:
        """Stop to measure."""
        if self._task is not None:
            self._task.cancel()

    async def _measure(self) -> None:
        while True:
            asleep_at = time.monotonic()
            await asyncio.sleep(_INTERVAL_S)
            late_s = time.monotonic() - asleep_at - _INTERVAL_S
            self._lag_s += _SMOOTHING_RATIO * (late_s - self._lag_s)
