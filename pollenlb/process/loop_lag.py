"""Measurement of the lag of a process's event loop."""

from __future__ import annotations

import asyncio
import time

_INTERVAL_S = 0.2
# Weight of the latest measurement in the exponential moving average.
_SMOOTHING_RATIO = 0.3


class LoopLag:
    """Measures how late the event loop in which it is started runs due tasks."""

    def __init__(self) -> None:
        self._lag_s = 0.0
        self._task: asyncio.Task | None = None

    @property
    def lag_s(self) -> float:
        """Lag in seconds, as an exponential moving average."""
        return self._lag_s

    def start(self) -> None:
        """Start the measurement task."""
        self._task = asyncio.get_running_loop().create_task(self._measure())

    def stop(self) -> None:
        """Cancel the measurement task."""
        if self._task is not None:
            self._task.cancel()

    async def _measure(self) -> None:
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(_INTERVAL_S)
            late_s = time.monotonic() - started_at - _INTERVAL_S
            self._lag_s += _SMOOTHING_RATIO * (late_s - self._lag_s)
