"""Open-loop load of plain requests through the real code of entries."""

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
from benchmarks.virtual_time import run_in_virtual_time
from pollenlb.clock import deadline_in, now
from pollenlb.process.context import EntryContext
from pollenlb.request.caller_request import CallerRequest, RequestBody, RequestClass
from pollenlb.request.outcome import RefusedError
from pollenlb.request.passthrough import run_request
from pollenlb.settings.cluster import RouteSettings, ServiceSettings

SERVICE = "desk"
_WARM_UP_S = 3.0  # requests that are due earlier are sent but not counted
_MAX_LATENCY_US = 600_000_000


@dataclass
class RequestProfile:
    """Arrival rate and work of the requests of one class.

    Attributes
    ----------
    rate_per_s : float
        Mean rate of the Poisson arrivals, over all entries.
    median_work_s : float
        Median of the log-normal work at a server of full speed, in seconds.
    sigma : float
        Standard deviation of the logarithm of the work.
    timeout_s : float
        Time that a caller waits for an answer, in seconds.
    """

    request_class: RequestClass
    rate_per_s: float
    median_work_s: float
    sigma: float = 0.5
    timeout_s: float = 30.0


@dataclass
class Workload:
    """Servers and requests of one scenario.

    Attributes
    ----------
    duration_s : float
        Time over which requests arrive, in seconds.
    slow_periods : list of tuple
        Start, end and slowdown of each slow period of the first server.
    long_share : float
        Share of a server's slots that long requests may take.
    crash_at_s : float or None
        Seconds after the start of the load at which the first server goes down.
    """

    server_count: int
    slots_per_server: int
    profiles: list[RequestProfile]
    duration_s: float = 40.0
    slow_periods: list[tuple[float, float, float]] = field(default_factory=list)
    long_share: float = 0.875
    crash_at_s: float | None = None


@dataclass
class FakeHttpRequest:
    """The part of a caller's aiohttp request that entries use."""

    method: str
    path_qs: str
    headers: dict
    content_length: int | None = None

    @property
    def raw_path(self) -> str:
        """Path and query as they were sent."""
        return self.path_qs


@dataclass
class CallerStatistics:
    """Outcomes that callers of one request class observed after the warm-up.

    Attributes
    ----------
    latencies, refusal_latencies : HdrHistogram
        Time to a complete answer and to a refusal, in microseconds.
    sent, in_time, refused, failed : int
        Requests sent, and of these those answered within the caller's timeout, refused
        with status 503, and ended by any other error.
    """

    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, 3)
    )
    refusal_latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, 3)
    )
    sent: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000


@dataclass
class RequestResult:
    """Outcomes by request class, and the load on the servers.

    Attributes
    ----------
    attempt_count : int
        Requests that entries sent to servers, with retries and hedges.
    request_count : int
        Requests that callers sent, with those of the warm-up.
    """

    statistics: dict[RequestClass, CallerStatistics]
    attempt_count: int
    request_count: int

    @property
    def extra_load(self) -> float:
        """Attempts beyond one for each request, as a share of the requests."""
        return self.attempt_count / max(1, self.request_count) - 1


def measure_requests(workload: Workload, make_policy, seed: int) -> RequestResult:
    """Run a workload with one policy in virtual time."""
    return run_in_virtual_time(_measure(workload, make_policy, seed))


async def _measure(workload: Workload, make_policy, seed: int) -> RequestResult:
    rng = random.Random(seed)
    servers = [
        FakeServer(f"server-{n}", SERVICE, workload.slots_per_server, rng)
        for n in range(workload.server_count)
    ]
    servers[0].slow_periods = workload.slow_periods
    policy: Policy = make_policy(servers)
    services = {SERVICE: {"kind": "plain", "long_share": workload.long_share}}
    control = FakeControl()
    entries = make_entries(servers, services, policy, seed, control=control)
    control.entries = entries
    if not policy.retry_share:
        for entry in entries:
            entry.retry_budget(SERVICE).exhaust()
    await asyncio.sleep(1.0)
    if workload.crash_at_s is not None:
        asyncio.get_running_loop().call_later(workload.crash_at_s, _crash, servers[0])
    statistics = {
        profile.request_class: CallerStatistics() for profile in workload.profiles
    }
    requests: set[asyncio.Task] = set()
    sent_numbers: list[int] = []
    arrivals = [
        asyncio.create_task(
            _generate_requests(
                profile,
                workload,
                entries,
                policy,
                random.Random(f"{seed}{n}"),
                statistics,
                requests,
                sent_numbers,
            )
        )
        for n, profile in enumerate(workload.profiles)
    ]
    await asyncio.gather(*arrivals)
    await asyncio.gather(*requests)
    attempts = sum(_count_attempts(entry) for entry in entries)
    for entry in entries:
        await entry.directory.close()
    return RequestResult(statistics, attempts, len(sent_numbers))


def _crash(server: FakeServer) -> None:
    server.crash()


def _count_attempts(entry: EntryContext) -> int:
    """Return the number of attempts and hedges of an entry."""
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


async def _generate_requests(
    profile, workload, entries, policy, rng, statistics, requests, sent_numbers
) -> None:
    """Send requests at Poisson arrival times, each from a task of its own."""
    end_at = now() + workload.duration_s
    due_at = now()
    warm_at = due_at + _WARM_UP_S
    number = 0
    while True:
        due_at += rng.expovariate(profile.rate_per_s)
        if due_at > end_at:
            return
        await asyncio.sleep(due_at - now())
        number += 1
        sent_numbers.append(number)
        work_s = rng.lognormvariate(0, profile.sigma) * profile.median_work_s
        entry = rng.choice(entries)
        observed = (
            statistics[profile.request_class]
            if due_at > warm_at
            else CallerStatistics()
        )
        task = asyncio.create_task(
            _send_request(entry, profile, policy, work_s, observed, number)
        )
        requests.add(task)
        task.add_done_callback(requests.discard)


async def _send_request(
    entry, profile, policy, work_s, observed: CallerStatistics, number: int
) -> None:
    """Run a request at an entry and record its outcome."""
    caller = _make_caller_request(entry, profile, policy, work_s, number)
    started_at = now()
    observed.sent += 1
    try:
        await run_request(caller, entry)
        latency_s = now() - started_at
        observed.latencies.record_value(max(1, int(1e6 * latency_s)))
        observed.in_time += latency_s <= profile.timeout_s
    except RefusedError as error:
        if error.refusal.status == 503:
            observed.refused += 1
            observed.refusal_latencies.record_value(
                max(1, int(1e6 * (now() - started_at)))
            )
        else:
            observed.failed += 1
    except aiohttp.ClientError:
        observed.failed += 1


def _make_caller_request(
    entry, profile: RequestProfile, policy: Policy, work_s: float, number: int
):
    priority = 10 if profile.request_class is RequestClass.LONG else 0
    headers = {"X-Work": repr(work_s), "X-Priority": str(priority)}
    http_request = FakeHttpRequest("GET", f"/desk/{number}", headers)
    body = RequestBody(http_request, 1024, 1024)
    body._is_complete = True
    route = RouteSettings.check(
        {"service": SERVICE, "retry_share": policy.retry_share}
    ).unwrap()
    return CallerRequest(
        request_id=f"r{number}-{profile.request_class.value}",
        route=route,
        service_name=SERVICE,
        service=ServiceSettings.check({"kind": "plain"}).unwrap(),
        request_class=profile.request_class,
        deadline=deadline_in(profile.timeout_s),
        is_repeatable=True,
        key=None,
        http_request=http_request,
        body=body,
        received_at=now(),
    )
