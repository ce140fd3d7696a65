"""Callers of streams that take them up at another entry after an interruption."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass

import aiohttp

from fakes.platform_engine import PlatformEngine
from tests.platform.platform_system import HOST

from .programs import Programs

STREAM_PATH_PREFIX = "/safe/"
_TIMEOUT = aiohttp.ClientTimeout(total=4)
_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
_MAX_TRY_COUNT = 4
_PAUSE_S = 0.05


@dataclass
class _Stream:
    """A stream of one caller over all its tries.

    Attributes
    ----------
    began_as : str
        Request that brought the first event; empty before.
    """

    name: str
    length: int
    began_as: str = ""
    last_event: int = -1

    @property
    def is_complete(self) -> bool:
        """Whether all events were received."""
        return self.last_event == self.length - 1


class StreamCallers:
    """Callers that read streams and check the order of their events.

    Parameters
    ----------
    programs : Programs
        Entries that receive the requests.
    engines : list of PlatformEngine
        Engines of several software versions.
    rng : random.Random
        Draws lengths, entries and when a caller leaves.

    Attributes
    ----------
    violations : list of str
        Violated guarantees, one description each.
    complete_count : int
        Number of streams that were received completely.
    is_stopping : bool
        Whether `run` ends after the current stream.
    """

    def __init__(
        self, programs: Programs, engines: list[PlatformEngine], rng: random.Random
    ) -> None:
        self._programs = programs
        self._engines = engines
        self._rng = rng
        self.violations: list[str] = []
        self.complete_count = 0
        self.is_stopping = False

    async def run(self) -> None:
        """Read one stream after the other until `is_stopping` is set."""
        number = 0
        async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
            while not self.is_stopping:
                number += 1
                stream = _Stream(f"stream-{number}", self._rng.randint(5, 80))
                for attempt in range(_MAX_TRY_COUNT):
                    await self._try(session, stream, f"{stream.name}-{attempt}")
                    if stream.is_complete:
                        self.complete_count += 1
                        break
                    await asyncio.sleep(_PAUSE_S)

    def check_versions(self) -> None:
        """Check that no engine continued a stream of another software version."""
        began = defaultdict(set)
        for engine in self._engines:
            for request, last_event in engine.received_runs:
                if last_event < 0:
                    began[_stream_name(request)].add(engine.software)
        for engine in self._engines:
            for request, last_event in engine.received_runs:
                name = _stream_name(request)
                if last_event >= 0 and engine.software not in began[name]:
                    self.violations.append(
                        f"{request} went on at version {engine.software}, and began at "
                        f"{sorted(began[name])}"
                    )

    async def _try(
        self, session: aiohttp.ClientSession, stream: _Stream, request: str
    ) -> None:
        """Make one try, which the caller sometimes abandons after some events."""
        leaves_at = self._rng.choice([None, stream.last_event + 3])
        headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "3500"}
        if stream.began_as:
            headers["Last-Event-Id"] = str(stream.last_event)
            headers["Resumes"] = stream.began_as
        url = self._programs.base_urls[self._rng.choice(self._programs.entries)]
        try:
            async with session.post(
                url + STREAM_PATH_PREFIX, json=stream.length, headers=headers
            ) as response:
                if response.status != 200:
                    return
                async for line in response.content:
                    if not line.startswith(b"id: "):
                        continue
                    number = int(line[4:])
                    if number != stream.last_event + 1:
                        self.violations.append(
                            f"{request}: event {number} after {stream.last_event}"
                        )
                    stream.last_event = number
                    stream.began_as = stream.began_as or request
                    if number == leaves_at:
                        response.close()
                        return
        except _ERRORS:
            return


def _stream_name(request: str) -> str:
    """Return the stream of a request; an item of a batch job is its own."""
    return request.rpartition("-")[0] if request.startswith("stream-") else request
