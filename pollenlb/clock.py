"""Clocks of a process: monotonic deadlines and hybrid logical timestamps.

A ``Deadline`` is a time in seconds on the clock of ``now``.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NewType

import msgspec

Deadline = NewType("Deadline", float)

_NANOSECONDS_PER_MICROSECOND = 1000


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_time_source: Callable[[], float] = _boot_time


def now() -> float:
    """Return the monotonic time in seconds, including time spent in suspend."""
    return _time_source()


def set_time_source(source: Callable[[], float] | None) -> None:
    """Replace the clock behind ``now``, as benchmarks do; None restores it."""
    global _time_source
    _time_source = source or _boot_time


def deadline_in(seconds: float) -> Deadline:
    """Return the deadline that passes in some seconds from now."""
    return Deadline(now() + seconds)


def remaining_time_s(deadline: Deadline) -> float:
    """Return the seconds until a deadline; 0 when it has passed."""
    return max(0.0, deadline - now())


async def sleep_until(deadline: Deadline) -> None:
    """Sleep until a deadline has passed."""
    while (seconds := remaining_time_s(deadline)) > 0:
        await asyncio.sleep(seconds)


class Timestamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A hybrid logical clock timestamp; its text form is ``wall_us.counter``.

    Attributes
    ----------
    wall_us : int
        Microseconds since the epoch, never less than in any observed timestamp.
    counter : int
        Orders events with the same ``wall_us``.
    """

    wall_us: int
    counter: int

    def __str__(self) -> str:
        return f"{self.wall_us}.{self.counter}"

    @classmethod
    def parse(cls, text: str) -> Timestamp:
        """Parse the text form of a timestamp.

        Raises
        ------
        ValueError
            When the text is not two integers separated by a dot.
        """
        wall_us, _, counter = text.partition(".")
        return cls(int(wall_us), int(counter))


class HybridClock:
    """Hybrid logical clock of one process.

    Its timestamps are greater than all earlier ones of this process, and greater
    than all those that it has observed.
    """

    def __init__(self) -> None:
        self._last = Timestamp(0, 0)

    def tick(self) -> Timestamp:
        """Return the timestamp of a new local event."""
        wall_us = time.time_ns() // _NANOSECONDS_PER_MICROSECOND
        if wall_us > self._last.wall_us:
            self._last = Timestamp(wall_us, 0)
        else:
            self._last = Timestamp(self._last.wall_us, self._last.counter + 1)
        return self._last

    def observe(self, received: Timestamp) -> None:
        """Advance the clock to a timestamp that was received with a message."""
        self._last = max(self._last, received)
