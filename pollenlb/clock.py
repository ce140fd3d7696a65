"""Clocks of a process: monotonic deadlines and hybrid logical timestamps."""

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


_source: Callable[[], float] = _boot_time


def now() -> float:
    """Return monotonic seconds that also count while the machine is suspended."""
    return _source()


def use_source(source: Callable[[], float] | None) -> None:
    """Take the time from elsewhere, as benchmarks do; None for the real clock."""
    global _source
    _source = source or _boot_time


def deadline_in(seconds: float) -> Deadline:
    """Return the deadline that lies some seconds ahead."""
    return Deadline(now() + seconds)


def remaining(deadline: Deadline) -> float:
    """Return the seconds until a deadline, 0 when it has passed."""
    return max(0.0, deadline - now())


async def sleep_until(deadline: Deadline) -> None:
    """Sleep until a deadline has passed."""
    while (seconds := remaining(deadline)) > 0:
        await asyncio.sleep(seconds)


class Timestamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A hybrid logical timestamp.

    Attributes
    ----------
    wall_us : int
        Microseconds since the epoch, never behind any timestamp seen.
    counter : int
        Orders events within the same microsecond.
    """

    wall_us: int
    counter: int

    def __str__(self) -> str:
        return f"{self.wall_us}.{self.counter}"

    @classmethod
    def parse(cls, text: str) -> Timestamp:
        """Read a timestamp from its text form.

        Raises
        ------
        ValueError
            When the text is not two whole numbers with a dot between.
        """
        wall_us, _, counter = text.partition(".")
        return cls(int(wall_us), int(counter))


class HybridClock:
    """Hybrid logical clock of one process.

    Orders an event after every event whose timestamp reached this process.
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

    def observe(self, seen: Timestamp) -> None:
        """Take note of a timestamp that came with a message."""
        self._last = max(self._last, seen)
