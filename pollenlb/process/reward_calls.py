"""Runs the reward calls of items: waits for slots, sends them and repeats them."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
from result import Err, Ok, Result

from ..clock import Deadline, deadline_in, now, remaining_time_s, sleep_until
from ..connection.backend import BackendServer
from ..ids import BackendServerName, GroupName, ItemId, Revision, ServiceName
from ..request.reward_call import (
    RewardAnswer,
    RewardCallEnd,
    RewardCallFailure,
    RewardRequest,
    send_reward_call,
)
from ..scheduling.reward_placement import (
    ScorerCapacity,
    WaitingCall,
    place_reward_calls,
)
from ..settings.cluster import RouteSettings
from .context import EntryContext

# Slots become free, and routes and servers known, without a notice to this process.
_PLACEMENT_INTERVAL_S = 0.04
# A call avoids a server for this long after an attempt there that failed.
_AVOID_SERVER_S = 0.5
_DEFAULT_TIMEOUT_S = 30.0
# Duration of a call that is taken before the first, the least one, and the weight of
# one call in its moving average.
_DEFAULT_CALL_S = 0.1
_MIN_CALL_S = 0.001
_CALL_SMOOTHING_RATIO = 0.1
_MIN_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 1.0
# A call without a route waits for so long, in case a change of the configuration
# that adds the route has not reached this process yet.
_MAX_ROUTE_WAIT_S = 5.0


@dataclass
class ScoredItem:
    """An item whose output is complete, and what its place in the order depends on.

    Attributes
    ----------
    item : ItemId
        The item.
    group : GroupName
        Its group.
    due_at : Deadline
        When the results of its batch job are due.
    expires_at : Deadline
        When the item is abandoned.
    max_attempts : int
        Failed attempts after which the item may be abandoned.
    missing_items : Counter of GroupName
        Items without a result by group of the batch job; kept up to date by the
        owner of the batch job.
    """

    item: ItemId
    group: GroupName
    due_at: Deadline
    expires_at: Deadline
    max_attempts: int
    missing_items: Counter[GroupName]


@dataclass(eq=False)
class _Call:
    """Progress of one reward call.

    Attributes
    ----------
    target : ServiceName or None
        Service that its route names; None without a route.
    revision : Revision
        Configuration revision in which the route was looked up.
    turn : asyncio.Future
        Resolved with the server of the next attempt, or None without a route.
    """

    request: RewardRequest
    scored: ScoredItem
    route_missing_since: float | None = None
    target: ServiceName | None = None
    revision: Revision = Revision(-2)
    turn: asyncio.Future[BackendServer | None] | None = None
    avoided: dict[BackendServerName, Deadline] = field(default_factory=dict)
    failures: int = 0
    failed_answers: int = 0
    timeouts: int = 0


class RewardCalls:
    """Reward calls of the items that this process runs.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._waiting: list[_Call] = []
        self._chosen: Counter[BackendServerName] = Counter()
        self._call_s: dict[ServiceName, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def run(
        self, request: RewardRequest, scored: ScoredItem
    ) -> Result[RewardAnswer, RewardCallFailure]:
        """Send a reward call until it succeeds, and return its answer.

        It is given up when it can never succeed, when its server answered that it
        failed as often as the item or the route allows, or when the item expires.

        Parameters
        ----------
        request : RewardRequest
            The call.
        scored : ScoredItem
            The item that it scores.
        """
        call = _Call(request, scored)
        while remaining_time_s(scored.expires_at):
            failure = self._find_route(call)
            if failure is None:
                match await self._attempt(call):
                    case Ok(answer):
                        return Ok(answer)
                    case Err(failure):
                        pass
            assert failure is not None
            if request.may_be_given_up and self._is_hopeless(call, failure):
                return Err(failure)
            await self._pause(call)
        reason = "the item expired before its reward call succeeded"
        return Err(RewardCallFailure(RewardCallEnd.IMPOSSIBLE, reason))

    async def _attempt(self, call: _Call) -> Result[RewardAnswer, RewardCallFailure]:
        waits_since = now()
        server = await self._wait_for_server(call)
        if server is None:
            reason = "the call lost its route, or the item expired first"
            return Err(RewardCallFailure(RewardCallEnd.NOT_RUN, reason))
        started_at = now()
        try:
            result = await send_reward_call(
                call.request,
                server,
                self._session(call),
                self._attempt_deadline(call),
                self._context,
            )
        finally:
            self._place_soon()
        self._record_attempt(call, server, result, waits_since, started_at)
        return result

    def _session(self, call: _Call) -> aiohttp.ClientSession:
        # An idle connection may be dead, which shows only as a timeout.
        if call.timeouts:
            return self._context.after_timeout_session
        return self._context.session

    def _attempt_deadline(self, call: _Call) -> Deadline:
        """Return when the next attempt is given up, as its answer may be lost.

        The time doubles with each timeout, in case the servers are slow.
        """
        route = self._route_of(call.request)
        timeout_s = _DEFAULT_TIMEOUT_S
        if route is not None:
            wanted_s = route.target_latency_s * 2**call.timeouts
            timeout_s = min(wanted_s or route.timeout_s, route.timeout_s)
        return Deadline(min(deadline_in(timeout_s), call.scored.expires_at))

    def _record_attempt(
        self,
        call: _Call,
        server: BackendServer,
        result: Result[RewardAnswer, RewardCallFailure],
        waits_since: float,
        started_at: float,
    ) -> None:
        metrics = self._context.metrics
        service = server.announcement.service
        if isinstance(result, Ok):
            metrics.reward_calls.labels(service, "scored").inc()
            self._record_duration(service, now() - started_at)
            metrics.record_latency(f"{service}/reward", now() - started_at)
            self._context.events.record(
                "item.scored",
                item=call.scored.item,
                request=call.request.request_id,
                server=server.name,
                seconds=round(now() - started_at, 3),
                waited_s=round(started_at - waits_since, 3),
            )
            return
        failure = result.err_value
        metrics.reward_calls.labels(service, failure.end.value).inc()
        self._context.events.record(
            "reward_call.failed",
            item=call.scored.item,
            request=call.request.request_id,
            server=server.name,
            end=failure.end.value,
            reason=failure.reason,
            seconds=round(now() - started_at, 3),
        )
        call.avoided[server.name] = deadline_in(_AVOID_SERVER_S)
        call.failures += 1
        call.failed_answers += failure.end is RewardCallEnd.FAILED
        call.timeouts += failure.is_timeout

    def _is_hopeless(self, call: _Call, failure: RewardCallFailure) -> bool:
        if failure.end is RewardCallEnd.IMPOSSIBLE:
            return True
        route = self._route_of(call.request)
        route_attempts = route.max_attempts if route is not None else 0
        return call.failed_answers >= max(call.scored.max_attempts, route_attempts)

    async def _pause(self, call: _Call) -> None:
        delay_s = min(
            _MAX_RETRY_DELAY_S, _MIN_RETRY_DELAY_S * 2 ** max(0, call.failures - 1)
        )
        await sleep_until(Deadline(min(deadline_in(delay_s), call.scored.expires_at)))

    def _route_of(self, request: RewardRequest) -> RouteSettings | None:
        if request.service is not None:
            return None
        return self._context.configuration.settings.route_for(
            request.host, request.path, "POST"
        )

    def _find_route(self, call: _Call) -> RewardCallFailure | None:
        """Look up the service of a call; return a failure when it has no route."""
        configuration = self._context.configuration
        if call.target is not None and call.revision == configuration.revision:
            return None
        call.revision = configuration.revision
        if call.request.service is not None:
            call.target = call.request.service
            return None
        route = self._route_of(call.request)
        if route is None:
            call.target = None
            return self._missing_route_failure(call)
        call.route_missing_since = None
        if call.target not in route.service_weights:
            names, weights = zip(*route.service_weights.items())
            call.target = ServiceName(self._context.rng.choices(names, weights)[0])
        return None

    def _missing_route_failure(self, call: _Call) -> RewardCallFailure:
        if call.route_missing_since is None:
            call.route_missing_since = now()
        is_final = now() >= call.route_missing_since + _MAX_ROUTE_WAIT_S
        reason = f"no route matches POST {call.request.path} at {call.request.host}"
        call.failures += 1
        return RewardCallFailure(
            RewardCallEnd.IMPOSSIBLE if is_final else RewardCallEnd.NOT_RUN, reason
        )

    async def _wait_for_server(self, call: _Call) -> BackendServer | None:
        """Return the server of the next attempt once one has a free slot.

        Returns
        -------
        BackendServer or None
            None when the item expires first, or the call has no route any more.
        """
        call.turn = asyncio.get_running_loop().create_future()
        self._waiting.append(call)
        self._place_soon()
        try:
            async with asyncio.timeout(remaining_time_s(call.scored.expires_at)):
                server = await call.turn
        except TimeoutError:
            return None
        finally:
            if call in self._waiting:
                self._waiting.remove(call)
            self._forget_turn(call)
        if server is not None:
            server.request_limit.spend()
        return server

    def _forget_turn(self, call: _Call) -> None:
        turn, call.turn = call.turn, None
        if turn is None or not turn.done() or turn.cancelled():
            return
        server = turn.result()
        if server is not None:
            self._chosen[server.name] -= 1

    def _place_soon(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(0, self._place)

    def _place(self) -> None:
        self._timer = None
        by_service: dict[ServiceName, list[_Call]] = {}
        for call in list(self._waiting):
            if self._find_route(call) is not None:
                self._end_turn(call, None)
            elif call.target is not None:
                by_service.setdefault(call.target, []).append(call)
        for service, calls in by_service.items():
            self._place_at(service, calls)
        if self._waiting:
            self._timer = asyncio.get_running_loop().call_later(
                _PLACEMENT_INTERVAL_S, self._place
            )

    def _place_at(self, service: ServiceName, calls: list[_Call]) -> None:
        servers = self._context.usable_servers(service)
        self._context.rng.shuffle(servers)
        for server in servers:
            server.request_limit.record_waiting_items(len(calls))
        by_name = {server.name: server for server in servers}
        placed = place_reward_calls(
            [_waiting_call(index, call) for index, call in enumerate(calls)],
            [self._capacity_of(server) for server in servers],
        )
        for index, name in placed:
            self._end_turn(calls[index], by_name[name])

    def _end_turn(self, call: _Call, server: BackendServer | None) -> None:
        self._waiting.remove(call)
        if call.turn is None or call.turn.done():
            return
        if server is not None:
            self._chosen[server.name] += 1
        call.turn.set_result(server)

    def _far_cost(self, server: BackendServer) -> float:
        """Return what the path to a server costs, in durations of a call."""
        if not server.is_far:
            return 0.0
        service = server.announcement.service
        call_s = self._call_s.get(service, _DEFAULT_CALL_S)
        return self._context.far_cost_s(service) / max(_MIN_CALL_S, call_s)

    def _record_duration(self, service: ServiceName, seconds: float) -> None:
        known_s = self._call_s.get(service, seconds)
        change_s = _CALL_SMOOTHING_RATIO * (seconds - known_s)
        self._call_s[service] = known_s + change_s

    def _capacity_of(self, server: BackendServer) -> ScorerCapacity:
        load = server.load
        reserved = load.slots - self._context.max_long_requests(server)
        used = max(load.expected_in_flight, load.long_in_flight + reserved)
        return ScorerCapacity(
            server.name,
            load.slots,
            used + self._chosen[server.name],
            max(1.0, load.reported_slowness),
            server.request_limit.allowed_requests - self._chosen[server.name],
            server.idle_connections - self._chosen[server.name],
            self._far_cost(server),
        )


def _waiting_call(key: int, call: _Call) -> WaitingCall[int]:
    for server in [
        name
        for name, wait_until in call.avoided.items()
        if not remaining_time_s(wait_until)
    ]:
        del call.avoided[server]
    scored = call.scored
    return WaitingCall(
        key, scored.due_at, scored.missing_items[scored.group], frozenset(call.avoided)
    )
