"""Clients that use the system during a run and check its guarantees."""

from __future__ import annotations

import asyncio
import base64
import random

import aiohttp

from fakes.platform_engine import PlatformEngine
from tests.platform.platform_system import (
    HOST,
    MODEL,
    ROLLOUT_PATH_PREFIX,
    configuration,
)

from .programs import Programs
from .scorers import SCORE_PATH_PREFIX, SCORERS, find_violation, reward_call

_TIMEOUT = aiohttp.ClientTimeout(total=3)
_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
_PAUSE_S = 0.05


class Clients:
    """Clients that submit batch jobs, read results and change the configuration.

    Parameters
    ----------
    programs : Programs
        Processes that receive the requests.
    engines : list of PlatformEngine
        Engines that run the items.
    rng : random.Random
        Draws the processes to call, the sizes of batch jobs and other choices.

    Attributes
    ----------
    violations : list of str
        Violated guarantees, one description each.
    accepted_jobs : dict
        Number of events of each item, by batch job and item.
    refused_items : set of str
        Items of batch jobs whose submission was refused as not run.
    results : dict
        Latest results of each accepted batch job.
    sent_version : int
        Version of the last configuration that was sent.
    acknowledged_version : int
        Highest version of a configuration that was accepted; 0 before the first.
    call_count, failed_count : int
        Number of calls, and of those without an answer or with a 5xx status.
    is_stopping : bool
        Whether `run` ends after the current round.
    """

    def __init__(
        self, programs: Programs, engines: list[PlatformEngine], rng: random.Random
    ) -> None:
        self._programs = programs
        self._engines = engines
        self._rng = rng
        self.call_count = 0
        self.failed_count = 0
        self._session = aiohttp.ClientSession(timeout=_TIMEOUT)
        self.violations: list[str] = []
        self.accepted_jobs: dict[str, dict[str, int]] = {}
        self.refused_items: set[str] = set()
        self.results: dict[str, list[dict]] = {}
        self.sent_version = 0
        self.acknowledged_version = 0
        self.is_stopping = False

    async def close(self) -> None:
        """Close the connections to the processes."""
        await self._session.close()

    async def submit_batch_job(self, number: int) -> None:
        """Submit one batch job, up to five times, until it is accepted.

        Its items count as refused if every attempt was answered with 429 or 503.
        """
        name = f"job-{number}"
        lengths = {
            f"{name}-{item}": self._rng.randint(1, 60)
            for item in range(self._rng.randint(2, 10))
        }
        statuses = []
        for _ in range(self._rng.randint(2, 5)):
            status, _ = await self._call_entry(
                "POST", ROLLOUT_PATH_PREFIX + name, name, _batch_job_body(lengths)
            )
            statuses.append(status)
            if status == 202:
                self.accepted_jobs[name] = lengths
                self.results[name] = []
                return
            await asyncio.sleep(_PAUSE_S)
        if statuses and all(status in (429, 503) for status in statuses):
            self.refused_items.update(lengths)

    async def read_batch_job(self, name: str) -> None:
        """Read all results of a batch job and compare them with those read before."""
        status, page = await self._call_entry("GET", f"/-/lots/{name}?after=0")
        if status == 404:
            self.violations.append(f"accepted batch job {name} is not found")
        if status != 200:
            return
        known_results = self.results[name]
        read_results = page["results"]
        shared = min(len(known_results), len(read_results))
        if read_results[:shared] != known_results[:shared]:
            self.violations.append(f"results of batch job {name} changed between reads")
        if len(read_results) > len(known_results):
            self.results[name] = read_results
        for result in read_results:
            self._check_result(name, result)

    async def change_configuration(self) -> None:
        """Send a configuration with a higher version; record whether it is accepted."""
        self.sent_version += self._rng.randint(1, 3)
        version = self.sent_version
        document = configuration(version)
        document["routes"][1] |= {"kind": "streaming", "resumable": True}
        document["services"].append({"name": SCORERS, "health_path": "/healthz"})
        document["routes"].append(
            {
                "name": "r-scores",
                "host": HOST,
                "path_prefix": SCORE_PATH_PREFIX,
                "kind": "safe",
                "timeout_ms": 2000,
                "target_latency_ms": 600,
                "service": SCORERS,
                "max_attempts": 2,
            }
        )
        status, _ = await self._call_control("POST", "/-/Config.Replace", document)
        if status == 200:
            self.acknowledged_version = max(self.acknowledged_version, version)

    async def read_configuration(self) -> None:
        """Check that a control instance reads no version older than acknowledged."""
        min_version = self.acknowledged_version
        status, read = await self._call_control("GET", "/-/Config.Read")
        if status == 200 and read["version"] < min_version:
            self.violations.append(
                f"read configuration {read['version']} after {min_version} was accepted"
            )

    async def run(self) -> None:
        """Use the system in rounds until `is_stopping` is set."""
        number = 0
        while not self.is_stopping:
            number += 1
            await self.submit_batch_job(number)
            names = list(self.accepted_jobs)
            reads = [self.read_batch_job(name) for name in names[-4:]]
            if names:
                reads.append(self.read_batch_job(self._rng.choice(names)))
            await asyncio.gather(*reads, self.read_configuration())
            if self._rng.random() < 0.3:
                await self.change_configuration()
            await asyncio.sleep(_PAUSE_S)

    async def finish(self, timeout_s: float) -> None:
        """Read results until every accepted batch job is complete; run the last checks.

        A batch job that is not complete after ``timeout_s`` seconds and a refused
        item that ran are violations.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while unfinished := self._unfinished_jobs():
                    await asyncio.gather(
                        *(self.read_batch_job(name) for name in unfinished)
                    )
                    await asyncio.sleep(_PAUSE_S)
        except TimeoutError:
            self.violations.append(
                f"batch jobs unfinished after {timeout_s} s: {self._unfinished_jobs()}"
            )
        await self.read_configuration()
        ran_items = {
            item for engine in self._engines for item, _ in engine.received_runs
        }
        if wrong := ran_items & self.refused_items:
            self.violations.append(
                f"items refused as not run, but ran: {sorted(wrong)}"
            )

    def _unfinished_jobs(self) -> list[str]:
        return [
            name
            for name, lengths in self.accepted_jobs.items()
            if len(self.results[name]) < len(lengths)
        ]

    def _check_result(self, name: str, result: dict) -> None:
        length = self.accepted_jobs[name].get(result["id"])
        lines = result["text"].split("\n")
        numbers = [int(line.partition(".")[0]) for line in lines if line]
        if length is None:
            self.violations.append(f"{name} lists the unknown item {result['id']}")
        elif violation := find_violation(result):
            self.violations.append(violation)
        elif result["state"] == "completed" and numbers != list(range(length)):
            self.violations.append(f"{result['id']}: item has the events {numbers}")
        versions = sorted({int(line.partition(".")[2]) for line in lines if line})
        if result["versions"] != versions:
            self.violations.append(
                f"{result['id']}: item reports the versions {result['versions']}"
            )

    async def _call_entry(
        self, method: str, path: str, request_id: str = "", body: object = None
    ) -> tuple:
        url = self._programs.base_urls[self._rng.choice(self._programs.entries)]
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "2500"}
        return await self._send_request(method, url + path, body, headers)

    async def _call_control(self, method: str, path: str, body: object = None) -> tuple:
        url = self._programs.base_urls[self._rng.choice(self._programs.controls)]
        return await self._send_request(method, url + path, body, {})

    async def _send_request(
        self, method: str, url: str, body: object, headers: dict
    ) -> tuple:
        self.call_count += 1
        try:
            async with self._session.request(
                method, url, json=body, headers=headers
            ) as response:
                self.failed_count += response.status >= 500
                is_read = response.status == 200 and method == "GET"
                return response.status, await response.json() if is_read else None
        except _ERRORS:
            self.failed_count += 1
            return 0, None


def _batch_job_body(lengths: dict[str, int]) -> dict:
    return {
        "model": MODEL,
        "min_version": 1,
        "group_count": 1,
        "requests": [
            {
                "id": item,
                "path": ROLLOUT_PATH_PREFIX + item,
                "headers": {"X-Model": MODEL},
                "body": base64.b64encode(b"%d" % length).decode(),
                "tokens": length,
                "group": "g",
                "scorer": reward_call(item),
            }
            for item, length in lengths.items()
        ],
    }
