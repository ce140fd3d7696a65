"""Fake callers: counter requests and bevel-angle rollouts at a constant rate."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

_COUNTER_PER_S = 40
_ROLLOUTS_PER_S = 4
_MAX_TOKENS = 30
_MOST_US = 60_000_000


@dataclass
class Seen:
    """What one kind of callers saw; refused requests were told as not run."""

    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MOST_US, 3)
    )
    count: int = 0
    refused: int = 0
    errors: list[str] = field(default_factory=list)

    def note_latency(self, seconds: float) -> None:
        """Add a latency, counted from the moment the request was due."""
        self.latencies.record_value(max(1, min(int(1e6 * seconds), _MOST_US)))

    def summary(self) -> dict:
        """Return the figures as plain values."""
        return {
            "count": self.count,
            "refused": self.refused,
            "errors": self.errors,
            "p50_ms": self.latencies.get_value_at_percentile(50) / 1000,
            "p99_ms": self.latencies.get_value_at_percentile(99) / 1000,
        }


class FakeLoad:
    """Sends requests through the balancer until it is stopped.

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
        self._seen = {"counter": Seen(), "rollouts": Seen()}
        self._tasks: list[asyncio.Task] = []
        self._asks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Begin to send."""
        self._session = aiohttp.ClientSession()
        for rate, ask in (
            (_COUNTER_PER_S, self._ask_counter),
            (_ROLLOUTS_PER_S, self._ask_rollout),
        ):
            self._tasks.append(asyncio.create_task(self._send_always(rate, ask)))

    async def stop(self) -> None:
        """Send no more, wait for the answers and write the report."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._asks, return_exceptions=True)
        await self._session.close()
        report = {name: seen.summary() for name, seen in self._seen.items()}
        self._report_file.write_text(json.dumps(report))

    async def _send_always(self, rate: float, ask) -> None:
        due = time.perf_counter()
        number = 0
        while True:
            due += 1 / rate
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            number += 1
            task = asyncio.create_task(ask(number, due))
            self._asks.add(task)
            task.add_done_callback(self._asks.discard)

    async def _ask_counter(self, number: int, due: float) -> None:
        path = f"/orders/{number}"
        answer = await self._ask("counter", "GET", path, None, due)
        if answer is not None and answer.get("path") != path:
            self._seen["counter"].errors.append(f"{path}: {answer}")

    async def _ask_rollout(self, number: int, due: float) -> None:
        body = {"prompt": f"bevel {number}", "max_tokens": _MAX_TOKENS}
        answer = await self._ask("rollouts", "POST", "/v1/completions", body, due)
        if answer is None:
            return
        tokens = answer.get("choices", [{}])[0].get("text", "").split()
        positions = [int(token.split(":")[0]) for token in tokens]
        if not tokens or positions != list(range(len(tokens))):
            self._seen["rollouts"].errors.append(f"rollout {number}: {answer}")

    async def _ask(
        self, kind: str, method: str, path: str, body: dict | None, due: float
    ) -> dict | None:
        seen = self._seen[kind]
        seen.count += 1
        try:
            async with self._session.request(
                method, self._url + path, json=body
            ) as response:
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            seen.errors.append(f"{path}: {error!r}")
            return None
        if response.headers.get("Pollenlb-Outcome") == "not-run":
            seen.refused += 1
            return None
        seen.note_latency(time.perf_counter() - due)
        return answer
