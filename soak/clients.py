"""Clients that use the system all the while and check what they are promised."""

from __future__ import annotations

import asyncio
import base64
import random

import aiohttp

from fakes.platform_engine import PlatformEngine
from tests.platform.platform_system import HOST, MODEL, PREFIX, configuration

from .programs import Programs

_TIMEOUT = aiohttp.ClientTimeout(total=3)
_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
_PAUSE_S = 0.05


class Clients:
    """A trainer, an operator and readers, with what they saw broken.

    Parameters
    ----------
    programs : Programs
        The processes that are used.
    engines : list of PlatformEngine
        The engines behind them.
    rng : random.Random
        Chooses instances and lengths.
    """

    def __init__(
        self, programs: Programs, engines: list[PlatformEngine], rng: random.Random
    ) -> None:
        self._programs = programs
        self._engines = engines
        self._rng = rng
        self._session = aiohttp.ClientSession(timeout=_TIMEOUT)
        self.broken: list[str] = []
        self.accepted: dict[str, dict[str, int]] = {}
        self.refused: set[str] = set()
        self.results: dict[str, list[dict]] = {}
        self.version = 0
        self.acknowledged = 0
        self.is_over = False

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def hand_in(self, number: int) -> None:
        """Hand in one batch job, again until an answer is clear."""
        name = f"job-{number}"
        lengths = {
            f"{name}-{item}": self._rng.randint(1, 60)
            for item in range(self._rng.randint(2, 10))
        }
        statuses = []
        for _ in range(self._rng.randint(2, 5)):
            status, _ = await self._front("POST", PREFIX + name, name, _body(lengths))
            statuses.append(status)
            if status == 202:
                self.accepted[name] = lengths
                self.results[name] = []
                return
            await asyncio.sleep(_PAUSE_S)
        if statuses and all(status in (429, 503) for status in statuses):
            self.refused.update(lengths)

    async def read_once(self, name: str) -> None:
        """Read a batch job from the start at any entry and compare."""
        status, page = await self._front("GET", f"/-/lots/{name}?after=0")
        if status == 404:
            self.broken.append(f"{name} was accepted and is not found")
        if status != 200:
            return
        known = self.results[name]
        read = page["results"]
        shared = min(len(known), len(read))
        if read[:shared] != known[:shared]:
            self.broken.append(f"{name} shows other results than before")
        if len(read) > len(known):
            self.results[name] = read
        for result in read:
            self._check(name, result)

    async def change_configuration(self) -> None:
        """Send the next configuration and note its acknowledgement."""
        self.version += self._rng.randint(1, 3)
        version = self.version
        status, _ = await self._control(
            "POST", "/-/Config.Replace", configuration(version)
        )
        if status == 200:
            self.acknowledged = max(self.acknowledged, version)

    async def read_configuration(self) -> None:
        """Read the configuration at any control instance."""
        least = self.acknowledged
        status, read = await self._control("GET", "/-/Config.Read")
        if status == 200 and read["version"] < least:
            self.broken.append(f"read {read['version']} after {least} was accepted")

    async def run(self) -> None:
        """Use the system until ``is_over``."""
        number = 0
        while not self.is_over:
            number += 1
            await self.hand_in(number)
            names = list(self.accepted)
            reads = [self.read_once(name) for name in names[-4:]]
            if names:
                reads.append(self.read_once(self._rng.choice(names)))
            await asyncio.gather(*reads, self.read_configuration())
            if self._rng.random() < 0.3:
                await self.change_configuration()
            await asyncio.sleep(_PAUSE_S)

    async def finish(self, timeout_s: float) -> None:
        """Read until every accepted batch job is whole."""
        try:
            async with asyncio.timeout(timeout_s):
                while left := self._unfinished():
                    await asyncio.gather(*(self.read_once(name) for name in left))
                    await asyncio.sleep(_PAUSE_S)
        except TimeoutError:
            self.broken.append(f"unfinished in {timeout_s} s: {self._unfinished()}")
        await self.read_configuration()
        ran = {item for engine in self._engines for item, _ in engine.runs}
        if wrong := ran & self.refused:
            self.broken.append(f"refused as not run, but ran: {sorted(wrong)}")

    def _unfinished(self) -> list[str]:
        return [
            name
            for name, lengths in self.accepted.items()
            if len(self.results[name]) < len(lengths)
        ]

    def _check(self, name: str, result: dict) -> None:
        length = self.accepted[name].get(result["id"])
        lines = result["text"].split("\n")
        numbers = [int(line.partition(".")[0]) for line in lines if line]
        if length is None:
            self.broken.append(f"{name} lists the strange item {result['id']}")
        elif result["state"] != "completed":
            self.broken.append(f"{result['id']} expired")
        elif numbers != list(range(length)):
            self.broken.append(f"{result['id']} has the events {numbers}")
        versions = sorted({int(line.partition(".")[2]) for line in lines if line})
        if result["versions"] != versions:
            self.broken.append(f"{result['id']} names {result['versions']}")

    async def _front(
        self, method: str, path: str, request_id: str = "", body: object = None
    ) -> tuple:
        url = self._programs.http[self._rng.choice(self._programs.entries)]
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "2500"}
        return await self._call(method, url + path, body, headers)

    async def _control(self, method: str, path: str, body: object = None) -> tuple:
        url = self._programs.http[self._rng.choice(self._programs.controls)]
        return await self._call(method, url + path, body, {})

    async def _call(self, method: str, url: str, body: object, headers: dict) -> tuple:
        try:
            async with self._session.request(
                method, url, json=body, headers=headers
            ) as response:
                is_read = response.status == 200 and method == "GET"
                return response.status, await response.json() if is_read else None
        except _ERRORS:
            return 0, None


def _body(lengths: dict[str, int]) -> dict:
    return {
        "model": MODEL,
        "min_version": 1,
        "group_count": 1,
        "requests": [
            {
                "id": item,
                "path": PREFIX + item,
                "headers": {"X-Model": MODEL},
                "body": base64.b64encode(b"%d" % length).decode(),
                "tokens": length,
                "group": "g",
            }
            for item, length in lengths.items()
        ],
    }
