"""Fair shares of a service among workspaces, estimated by each entry on its own.

The load that this addresses: 49 entries that each see a fiftieth of the requests. One
workspace sends twenty times its share, 80 others one request a second each, which is
one request in 49 s at an entry. An entry's own queue is nearly always empty then, so
that its order alone protects nobody.

The method is core-stateless fair queueing (Stoica, Shenker and Zhang, SIGCOMM 1998).
From what arrived and what was served in the last seconds, each entry computes the
fair level: the number of requests for each unit of weight at which the workspaces
together use what was served. A workspace earns credit at that rate, and a request with
credit is within its share. Requests beyond the shares are sent while the backend
servers' reports show free slots, so that unused shares are lent at once. The load that
reaches an entry is a random sample of all load, so that the entries agree without
exchanging messages.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Mapping

from .fair_queue import Flow

# Weights of past requests fall to 1/e within this time. Shorter, an entry sees too few
# requests of a workspace; longer, a change of the load is noticed too late.
WINDOW_S = 10.0
# Loads are requests that a server runs and queues beyond its slots, as a mean over
# answers. Requests beyond the shares are sent below this load: a queue of one or two
# requests keeps the slots of a server busy, whatever their number.
_LENDING_LOAD = 1.5
# The same for requests that are less urgent than others of the last seconds: on
# average a slot is free at each server.
_LESS_URGENT_LENDING_LOAD = -1.0
# Load that a refusal of a full server counts as, at least.
_FULL_LOAD = 3.0
# Load that is assumed without recent reports. Servers that have never reported any
# count as idle, so that the order of the waiting requests alone decides.
_UNKNOWN_LOAD = 0.0
# Requests are held to shares once this part of the recent ones met a full server, and
# at least this many. While servers accept nearly all, there is nothing to share, and
# single refusals have other reasons, such as a change of weights.
_OVERLOAD_RATIO = 0.1
_MIN_REFUSED_COUNT = 2.5
# Change of the shares for each unit of load below or above the lending load.
_CAPACITY_PER_LOAD = 0.5
_MIN_CAPACITY_FACTOR = 0.5
_MAX_CAPACITY_FACTOR = 1.3
# Part of the shares that follows the demand. Without it, an entry that has served few
# requests by chance would go on with small shares; with it, entries that see the same
# load of the servers tend to serve the same part of their demand.
_DEMAND_RATIO = 0.15
# No flow gets a smaller part of its demand than this part of what all of its priority
# get of theirs.
_LEAST_RATIO = 0.25
# A level is used for this long before it is computed again.
_LEVEL_VALID_S = 0.1
_LOAD_EWMA_WEIGHT = 0.2
# The load is forgotten after this many of the usual intervals between reports, within
# the bounds below.
_LOAD_VALID_INTERVALS = 8.0
_MIN_LOAD_VALID_S = 0.25
_MAX_LOAD_VALID_S = 4.0
# Credit beyond one request, as the time in which it is earned.
_CREDIT_TIME_S = 0.5
# Shorter measurements say nothing of the rate at which room appears.
_MIN_MEASURED_S = 0.1
# Flows with less decayed demand than this are forgotten.
_MIN_DEMAND = 0.02
# Credit that a request needs which comes back after a refusal; a new one needs 1.
_RETURNING_CREDIT = 0.5
_MIN_RETRY_AFTER_S = 0.2
_MAX_RETRY_AFTER_S = 5.0


class _DecayingCount:
    """Number of recent events, each weighted less the older it is."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at = 0.0

    def add(self, number: float, at: float) -> None:
        self._value = max(0.0, self.value(at) + number)
        self._at = at

    def value(self, at: float) -> float:
        return self._value * math.exp(-max(0.0, at - self._at) / WINDOW_S)


class _Credit:
    """Requests that a flow may send within its share."""

    def __init__(self, credit: float, at: float) -> None:
        self._credit = credit
        self._at = at

    def accrue(self, per_s: float, at: float) -> float:
        most = 1.0 + _CREDIT_TIME_S * per_s
        earned = per_s * max(0.0, at - self._at)
        self._credit = min(most, self._credit + earned)
        self._at = at
        return self._credit

    def spend(self) -> None:
        self._credit -= 1.0

    def refund(self) -> None:
        self._credit += 1.0


class FairShares:
    """Shares of one service that one entry observes and enforces.

    All times are monotonic, in seconds.

    Parameters
    ----------
    rng : random.Random
        Draws the first credit of a workspace and the spread of retries.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._demand: dict[Flow, _DecayingCount] = {}
        self._credit: dict[Flow, _Credit] = {}
        self._retries_until: dict[Flow, float] = {}
        self._served = _DecayingCount()
        self._lent = _DecayingCount()
        self._refused = _DecayingCount()
        self._queued_s = _DecayingCount()
        self._served_from_queue = _DecayingCount()
        self._levels: Mapping[int, float] = {}
        self._served_ratios: Mapping[int, float] = {}
        self._levels_at = -math.inf
        self._load = 0.0
        self._load_at = -math.inf
        self._report_interval_s = _MAX_LOAD_VALID_S

    def record_arrival(self, flow: Flow, at: float) -> None:
        """Record a new request, before any other call for it."""
        if flow not in self._demand:
            self._demand[flow] = _DecayingCount()
            if flow.priority not in self._levels:
                self._levels_at = -math.inf
        self._demand[flow].add(1.0, at)
        if flow not in self._credit:
            # A new workspace's chance of credit is that of its fair level, so that many
            # workspaces with few requests each do not exceed the servers together.
            chance = min(1.0, self._level(flow, at) * flow.weight)
            self._credit[flow] = _Credit(min(1.0, self._rng.random() + chance), at)

    def record_load(self, in_flight: float, slots: int, at: float) -> None:
        """Record what a backend server reported in an answer.

        Parameters
        ----------
        in_flight : float
            Requests that it runs and queues.
        slots : int
            Requests that it runs concurrently.
        """
        self._record_load(in_flight - slots, at)

    def record_full_server(self, at: float) -> None:
        """Record that a backend server refused a request because it was full."""
        self._refused.add(1.0, at)
        self._record_load(max(_FULL_LOAD, self._load), at)

    def record_no_room(self, at: float) -> None:
        """Record that this entry may not have another request at any server."""
        self._refused.add(1.0, at)

    def _record_load(self, load: float, at: float) -> None:
        interval_s = min(_MAX_LOAD_VALID_S, max(0.0, at - self._load_at))
        weight = _LOAD_EWMA_WEIGHT
        self._report_interval_s += weight * (interval_s - self._report_interval_s)
        self._load += weight * (load - self._load)
        self._load_at = at

    def record_sent(self, flow: Flow, at: float, is_returning: bool = False) -> bool:
        """Record that a request is sent, and return whether it is within its share."""
        is_within_share = self._has_credit(flow, _needed_credit(is_returning), at)
        if not is_within_share:
            self._lent.add(1.0, at)
        elif not math.isinf(self._level(flow, at)):
            self._credit[flow].spend()
        self._served.add(1.0, at)
        return is_within_share

    def record_not_served(self, flow: Flow, is_within_share: bool, at: float) -> None:
        """Record that a request that was sent was not run.

        Parameters
        ----------
        flow : Flow
            Workspace and priority of the request.
        is_within_share : bool
            What ``record_sent`` returned for it.
        """
        self._served.add(-1.0, at)
        if not is_within_share:
            self._lent.add(-1.0, at)
        elif flow in self._credit:
            self._credit[flow].refund()

    def record_queue(self, seconds: float, served: int, at: float) -> None:
        """Record how many requests got room while others waited for it.

        Parameters
        ----------
        seconds : float
            Time since the last record, during which requests waited.
        served : int
            Requests that were sent in that time.
        """
        self._queued_s.add(seconds, at)
        self._served_from_queue.add(served, at)

    def may_send(self, flow: Flow, at: float, is_returning: bool = False) -> bool:
        """Return whether a request may be sent now.

        Parameters
        ----------
        flow : Flow
            Workspace and priority of the request.
        is_returning : bool
            Whether it comes back after a refusal; it needs less credit than a new one.
        """
        if not self._is_overloaded(at):
            return True
        if self._load_now(at) < self._lending_load(flow, at):
            return True
        return self._has_credit(flow, _needed_credit(is_returning), at)

    def expected_wait_s(
        self, flow: Flow, ahead: int, has_room: bool, at: float
    ) -> float:
        """Return the seconds after which a request is expected to be sent.

        Infinite when the measured rate shows that it will not be sent; 0 as long as
        nothing is known of the rate. Room for waiting requests appears at the rate
        measured while others waited, as requests in quiet times say nothing of it.

        Parameters
        ----------
        flow : Flow
            Workspace and priority of the request.
        ahead : int
            Number of requests that are sent before it.
        has_room : bool
            Whether this entry may have another request at some server.
        """
        if not has_room:
            measured_s = self._queued_s.value(at)
            if measured_s < _MIN_MEASURED_S:
                return 0.0
            # One more could have been served at any moment.
            served = self._served_from_queue.value(at) + 1
            return _wait_s(ahead, served / measured_s)
        if self.may_send(flow, at):
            return 0.0
        missing = 1.0 - self._accrued_credit(flow, at)
        per_s = self._share_per_s(flow, at)
        own_share_s = max(0.0, missing) / per_s if per_s > 0 else math.inf
        return min(own_share_s, _wait_s(ahead, self._lent.value(at) / WINDOW_S))

    def retry_after_s(self, flow: Flow, at: float) -> float:
        """Return the seconds after which a refused caller may come back.

        Each refusal of a workspace takes the next turn of its share, so that its
        callers come back at the rate at which they can be served.
        """
        per_s = min(self._share_per_s(flow, at), self._served.value(at) / WINDOW_S)
        interval_s = min(_MAX_RETRY_AFTER_S, 1 / per_s if per_s else math.inf)
        earliest = at + _MIN_RETRY_AFTER_S
        turn_at = max(earliest, self._retries_until.get(flow, 0.0))
        if turn_at > at + _MAX_RETRY_AFTER_S:
            return self._rng.uniform(_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S)
        self._retries_until[flow] = turn_at + interval_s
        return turn_at - at + self._rng.random() * interval_s

    def _is_overloaded(self, at: float) -> bool:
        refused = self._refused.value(at)
        least = max(_MIN_REFUSED_COUNT, _OVERLOAD_RATIO * self._served.value(at))
        return refused >= least

    def _load_now(self, at: float) -> float:
        if math.isinf(self._load_at):
            return -math.inf
        valid_s = _LOAD_VALID_INTERVALS * self._report_interval_s
        valid_s = min(_MAX_LOAD_VALID_S, max(_MIN_LOAD_VALID_S, valid_s))
        return self._load if at < self._load_at + valid_s else _UNKNOWN_LOAD

    def _lending_load(self, flow: Flow, at: float) -> float:
        self._update_levels(at)
        if flow.priority <= min(self._levels, default=flow.priority):
            return _LENDING_LOAD
        return _LESS_URGENT_LENDING_LOAD

    def _has_credit(self, flow: Flow, needed: float, at: float) -> bool:
        level = self._level(flow, at)
        if level <= 0:
            return False
        return math.isinf(level) or self._accrued_credit(flow, at) >= needed

    def _accrued_credit(self, flow: Flow, at: float) -> float:
        level = self._level(flow, at)
        per_s = 0.0 if math.isinf(level) else self._share_per_s(flow, at)
        credit = self._credit.get(flow)
        return credit.accrue(per_s, at) if credit is not None else 0.0

    def _share_per_s(self, flow: Flow, at: float) -> float:
        """Return the requests a second within the share of a flow at this entry."""
        level = self._level(flow, at)
        if level <= 0:
            return 0.0
        demand = self._demand[flow].value(at) if flow in self._demand else 0.0
        least = _LEAST_RATIO * self._served_ratios.get(flow.priority, 1.0) * demand
        return max(level * flow.weight, least) / WINDOW_S

    def _level(self, flow: Flow, at: float) -> float:
        self._update_levels(at)
        return self._levels.get(flow.priority, math.inf)

    def _update_levels(self, at: float) -> None:
        if at < self._levels_at + _LEVEL_VALID_S:
            return
        self._forget_idle_flows(at)
        demand = {flow: count.value(at) for flow, count in self._demand.items()}
        capacity = self._capacity(math.fsum(demand.values()), at)
        self._levels = fair_levels(demand, capacity)
        self._served_ratios = _served_ratios(demand, capacity)
        self._levels_at = at

    def _capacity(self, demand: float, at: float) -> float:
        """Return how many recent requests could have been served."""
        excess = self._load_now(at) - _LENDING_LOAD
        factor = math.exp(min(1.0, -_CAPACITY_PER_LOAD * excess))
        factor = max(_MIN_CAPACITY_FACTOR, min(_MAX_CAPACITY_FACTOR, factor))
        served = self._served.value(at)
        return (1 - _DEMAND_RATIO) * factor * served + _DEMAND_RATIO * demand

    def _forget_idle_flows(self, at: float) -> None:
        idle = [
            flow
            for flow, count in self._demand.items()
            if count.value(at) < _MIN_DEMAND
        ]
        for flow in idle:
            del self._demand[flow]
            self._credit.pop(flow, None)
            self._retries_until.pop(flow, None)


def fair_levels(demand: Mapping[Flow, float], capacity: float) -> dict[int, float]:
    """Return the largest number of requests for each unit of weight, by priority.

    Max-min fairness within a priority: flows that want less than their share leave the
    rest to others. Less urgent priorities get what more urgent ones leave.

    Parameters
    ----------
    demand : mapping
        Number of requests that each flow wants to send.
    capacity : float
        Number of requests that can be served.

    Returns
    -------
    dict
        Infinite for a priority whose demand can be served, 0 for one for which nothing
        is left.
    """
    levels = {}
    for priority, flows, capacity_left in _by_priority(demand, capacity):
        wants = [(demand[flow], flow.weight) for flow in flows]
        levels[priority] = _fill(wants, capacity_left)
    return levels


def _by_priority(
    demand: Mapping[Flow, float], capacity: float
) -> Iterator[tuple[int, list[Flow], float]]:
    """Yield each priority with its flows and what more urgent ones leave for it.

    Numbers of requests fluctuate by their square root, so that this much more than the
    demand is kept for the more urgent ones.
    """
    for priority in sorted({flow.priority for flow in demand}):
        flows = [flow for flow in demand if flow.priority == priority]
        yield priority, flows, capacity
        wanted = math.fsum(demand[flow] for flow in flows)
        capacity = max(0.0, capacity - wanted - math.sqrt(wanted))


def _served_ratios(demand: Mapping[Flow, float], capacity: float) -> dict[int, float]:
    """Return the part of its demand that each priority gets."""
    ratios = {}
    for priority, flows, capacity_left in _by_priority(demand, capacity):
        wanted = math.fsum(demand[flow] for flow in flows)
        ratios[priority] = min(1.0, capacity_left / wanted) if wanted else 1.0
    return ratios


def _wait_s(ahead: int, rate_per_s: float) -> float:
    return (ahead + 1) / rate_per_s if rate_per_s > 0 else math.inf


def _needed_credit(is_returning: bool) -> float:
    return _RETURNING_CREDIT if is_returning else 1.0


def _fill(wants: list[tuple[float, float]], capacity: float) -> float:
    """Return the level at which demands with their weights use a capacity."""
    wants.sort(key=lambda want: want[0] / want[1])
    weight_left = math.fsum(weight for _, weight in wants)
    for number, weight in wants:
        # The subtractions may leave less than the last weight.
        weight_left = max(weight, weight_left)
        if number * weight_left > capacity * weight:
            return capacity / weight_left
        capacity -= number
        weight_left -= weight
    return math.inf
