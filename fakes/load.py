"""Fake callers that send counter requests and rollouts at a constant rate."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

_COUNTER_REQUESTS_PER_S = 40
_ROLLOUTS_PER_S = 4
_MAX_TOKENS = 30
_MAX_LATENCY_US = 60_000_000  # longer latencies are recorded as this one


@dataclass
class CallerStatistics:
    """What one kind of callers observed.

    Attributes
    ----------
    latencies : HdrHistogram
        Latencies of answered requests, in microseconds.
    count : int
        Requests sent.
    refused : int
        Requests whose outcome was reported as not run.
    errors : list of str
        Failed requests and wrong answers.
    """

    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, 3)
    )
    count: int = 0
    refused: int = 0
    errors: list[str] = field(default_factory=list)

    def record_latency(self, seconds: float) -> None:
        """Record the seconds from the time at which a request was due to its answer."""
        self.latencies.record_value(max(1, min(int(1e6 * seconds), _MAX_LATENCY_US)))

    def summary(self) -> dict:
        """Return counts, errors and latency percentiles, as values for JSON."""
        return {
            "count": self.count,
            "refused": self.refused,
            "errors": self.errors,
            "p50_ms": self.latencies.get_value_at_percentile(50) / 1000,
            "p99_ms": self.latencies.get_value_at_percentile(99) / 1000,
        }


class FakeLoad:
    """Sends requests through the balancer, at fixed rates, until it is stopped.

    Parameters
    ----------
    url : str
        Base URL of the balancer.
    report_file : Path
        Where the report is written as JSON.
    """

    def __init__(self, url: str, report_file: Path) -> None:
        self._url = url
        self._report_file = report_file
        self._statistics = {
            "counter": CallerStatistics(),
            "rollouts": CallerStatistics(),
        }
        self._sender_tasks: list[asyncio.Task] = []
        self._request_tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start to send requests."""
        self._session = aiohttp.ClientSession()
        for rate_per_s, send in (
            (_COUNTER_REQUESTS_PER_S, self._send_counter_request),
            (_ROLLOUTS_PER_S, self._send_rollout_request),
        ):
            self._sender_tasks.append(
                asyncio.create_task(self._send_at_rate(rate_per_s, send))
            )

    async def stop(self) -> None:
        """Stop sending, wait for outstanding answers and write the report."""
        for task in self._sender_tasks:
            task.cancel()
        await asyncio.gather(*self._request_tasks, return_exceptions=True)
        await self._session.close()
        report = {
            kind: statistics.summary() for kind, statistics in self._statistics.items()
        }
        self._report_file.write_text(json.dumps(report))

    async def _send_at_rate(self, rate_per_s: float, send) -> None:
        due_at = time.perf_counter()
        number = 0
        while True:
            due_at += 1 / rate_per_s
            await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
            number += 1
            task = asyncio.create_task(send(number, due_at))
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)

    async def _send_counter_request(self, number: int, due_at: float) -> None:
        path = f"/orders/{number}"
        answer = await self._send_request("counter", "GET", path, None, due_at)
        if answer is not None and answer.get("path") != path:
            self._statistics["counter"].errors.append(f"{path}: {answer}")

    async def _send_rollout_request(self, number: int, due_at: float) -> None:
        body = {"prompt": f"bevel {number}", "max_tokens": _MAX_TOKENS}
        answer = await self._send_request(
            "rollouts", "POST", "/v1/completions", body, due_at
        )
        if answer is None:
            return
        tokens = answer.get("choices", [{}])[0].get("text", "").split()
        positions = [int(token.split(":")[0]) for token in tokens]
        if not tokens or positions != list(range(len(tokens))):
            self._statistics["rollouts"].errors.append(f"rollout {number}: {answer}")

    async def _send_request(
        self, kind: str, method: str, path: str, body: dict | None, due_at: float
    ) -> dict | None:
        statistics = self._statistics[kind]
        statistics.count += 1
        try:
            async with self._session.request(
                method, self._url + path, json=body
            ) as response:
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            statistics.errors.append(f"{path}: {error!r}")
            return None
        if response.headers.get("Pollenlb-Outcome") == "not-run":
            statistics.refused += 1
            return None
        statistics.record_latency(time.perf_counter() - due_at)
        return answer
