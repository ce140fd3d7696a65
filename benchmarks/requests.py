"""Open-loop load of plain requests through the real entry code."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from benchmarks.control import FakeControl
from benchmarks.entries import make_entries
from benchmarks.fake_servers import FakeServer
from benchmarks.policies import Policy
from benchmarks.virtual_time import run
from pollenlb.clock import deadline_in, now
from pollenlb.process.context import EntryContext
from pollenlb.request.caller_request import CallerRequest, RequestBody, RequestClass
from pollenlb.request.outcome import RefusedError
from pollenlb.request.passthrough import run_request as run_request
from pollenlb.settings.cluster import RouteSettings, ServiceSettings

SERVICE = "desk"
_WARM_UP_S = 3.0
_MOST_US = 600_000_000


@dataclass
class Kind:
    """One kind of requests.

    Attributes
    ----------
    rate : float
        Requests a second over all entries.
    median_s : float
        Median of the log-normal work, in seconds.
    """

    request_class: RequestClass
    rate: float
    median_s: float
    sigma: float = 0.5
    timeout_s: float = 30.0


@dataclass
class Load:
    """What is run.

    Attributes
    ----------
    crash_at_s : float or None
        When the first server goes down.
    """

    servers: int
    slots: int
    kinds: list[Kind]
    duration_s: float = 40.0
    spells: list[tuple[float, float, float]] = field(default_factory=list)
    long_share: float = 0.875
    crash_at_s: float | None = None


@dataclass
class FakeHttp:
    """What the entry reads of a caller's HTTP request."""

    method: str
    path_qs: str
    headers: dict
    content_length: int | None = None


@dataclass
class Seen:
    """What callers of one kind saw."""

    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MOST_US, 3)
    )
    refusals: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, _MOST_US, 3))
    sent: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000


@dataclass
class Result:
    """What was seen by class, and what the servers ran."""

    seen: dict[RequestClass, Seen]
    attempts: int
    requests: int

    @property
    def extra_load(self) -> float:
        """Attempts beyond one for each request, as a share."""
        return self.attempts / max(1, self.requests) - 1


def measure(load: Load, make_policy, seed: int) -> Result:
    """Run a load with one policy in virtual time."""
    return run(_measure(load, make_policy, seed))


async def _measure(load: Load, make_policy, seed: int) -> Result:
    rng = random.Random(seed)
    servers = [
        FakeServer(f"server-{n}", SERVICE, load.slots, rng) for n in range(load.servers)
    ]
    servers[0].spells = load.spells
    policy: Policy = make_policy(servers)
    services = {SERVICE: {"kind": "plain", "long_share": load.long_share}}
    control = FakeControl()
    entries = make_entries(servers, services, policy, seed, control=control)
    control.entries = entries
    if not policy.retry_share:
        for entry in entries:
            entry.retry_budget(SERVICE).exhaust()
    await asyncio.sleep(1.0)
    if load.crash_at_s is not None:
        asyncio.get_running_loop().call_later(load.crash_at_s, _crash, servers[0])
    seen = {kind.request_class: Seen() for kind in load.kinds}
    asks: set[asyncio.Task] = set()
    sent: list[int] = []
    arrivals = [
        asyncio.create_task(
            _arrive(
                kind,
                load,
                entries,
                policy,
                random.Random(f"{seed}{n}"),
                seen,
                asks,
                sent,
            )
        )
        for n, kind in enumerate(load.kinds)
    ]
    await asyncio.gather(*arrivals)
    await asyncio.gather(*asks)
    attempts = sum(_counted(each) for each in entries)
    for entry in entries:
        await entry.directory.close()
    return Result(seen, attempts, len(sent))


def _crash(server: FakeServer) -> None:
    server.crash()


def _counted(entry: EntryContext) -> int:
    counters = (entry.metrics.attempts, entry.metrics.hedges)
    return int(
        sum(
            sample.value
            for counter in counters
            for metric in counter.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        )
    )


async def _arrive(kind, load, entries, policy, rng, seen, asks, sent) -> None:
    end_at = now() + load.duration_s
    due = now()
    warm_at = due + _WARM_UP_S
    number = 0
    while True:
        due += rng.expovariate(kind.rate)
        if due > end_at:
            return
        await asyncio.sleep(due - now())
        number += 1
        sent.append(number)
        work_s = rng.lognormvariate(0, kind.sigma) * kind.median_s
        entry = rng.choice(entries)
        target = seen[kind.request_class] if due > warm_at else Seen()
        task = asyncio.create_task(_ask(entry, kind, policy, work_s, target, number))
        asks.add(task)
        task.add_done_callback(asks.discard)


async def _ask(entry, kind, policy, work_s, seen: Seen, number: int) -> None:
    caller = _caller(entry, kind, policy, work_s, number)
    started_at = now()
    seen.sent += 1
    try:
        await run_request(caller, entry)
        latency_s = now() - started_at
        seen.latencies.record_value(max(1, int(1e6 * latency_s)))
        seen.in_time += latency_s <= kind.timeout_s
    except RefusedError as error:
        if error.refusal.status == 503:
            seen.refused += 1
            seen.refusals.record_value(max(1, int(1e6 * (now() - started_at))))
        else:
            seen.failed += 1
    except aiohttp.ClientError:
        seen.failed += 1


def _caller(entry, kind: Kind, policy: Policy, work_s: float, number: int):
    priority = 10 if kind.request_class is RequestClass.LONG else 0
    headers = {"X-Work": repr(work_s), "X-Priority": str(priority)}
    http = FakeHttp("GET", f"/desk/{number}", headers)
    body = RequestBody(http, 1024, 1024)
    body._is_complete = True
    route = RouteSettings.check(
        {"service": SERVICE, "retry_share": policy.retry_share}
    ).unwrap()
    return CallerRequest(
        request_id=f"r{number}-{kind.request_class.value}",
        route=route,
        service_name=SERVICE,
        service=ServiceSettings.check({"kind": "plain"}).unwrap(),
        request_class=kind.request_class,
        deadline=deadline_in(kind.timeout_s),
        is_repeatable=True,
        key=None,
        http_request=http,
        body=body,
        received_at=now(),
    )
