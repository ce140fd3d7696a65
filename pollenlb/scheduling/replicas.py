"""How many backend servers of a service each failure domain should have.

Load pattern: demand that stays above or below what the servers of a service can run.
Bursts that end before a new server could serve, and the pauses between two steps of a
trainer, must not change the number.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from ..ids import FailureDomain

# Use above which no server is given up; the gap to the one above keeps a number from
# going up and down with small changes of demand.
_REDUCTION_USE = 0.6
# A mistaken reduction costs callers one start-up time of waiting; demand must have
# been low for this many of them, and so for longer than the pauses between steps.
_REDUCTION_STARTS = 5.0
_MIN_REDUCTION_WINDOW_S = 20.0
_MIN_INCREASE_WINDOW_S = 2.0


@dataclass(frozen=True)
class ScalingRules:
    """Bounds and costs of the servers of one service.

    Attributes
    ----------
    min_count, max_count : int
        Bounds of the number in a failure domain, of both kinds together.
    start_s : float
        Seconds from an order until a new server serves.
    reclaimable_price : float
        Price of a reclaimable server, relative to another one in its domain.
    prices : dict
        Price of a server by failure domain; domains without one cost 1.
    target_use : float
        Use of slots above which callers wait.
    """

    min_count: int
    max_count: int
    start_s: float
    reclaimable_price: float
    prices: dict[FailureDomain, float]
    target_use: float

    @property
    def increase_window_s(self) -> float:
        """Seconds for which demand must be high; a shorter burst ends too early."""
        return max(_MIN_INCREASE_WINDOW_S, self.start_s)

    @property
    def reduction_window_s(self) -> float:
        """Seconds for which demand must be low."""
        return max(_MIN_REDUCTION_WINDOW_S, _REDUCTION_STARTS * self.start_s)


@dataclass(frozen=True)
class DemandSample:
    """Work of one service at one time.

    Attributes
    ----------
    at_s : float
        Monotonic time in seconds.
    running : float
        Requests and items that run, in slots.
    waiting : float
        Items that wait for a slot.
    entries : int
        Entry processes that reported.
    """

    at_s: float
    running: float
    waiting: float = 0.0
    entries: int = 0

    @property
    def needed_slots(self) -> float:
        """Slots with which what waits starts within the time of one item.

        Items that wait are as many as those that run after half of that time.
        """
        return max(self.running, (self.running + self.waiting) / 2)


@dataclass(frozen=True)
class DomainServers:
    """Servers of one service in one failure domain.

    Attributes
    ----------
    regular, reclaimable : int
        Numbers that are ordered, or present where nothing was ordered.
    present : int
        Servers of both kinds that serve or may serve.
    starting : int
        Servers that were ordered lately and are not present yet.
    running : float
        Requests and items that run there, in slots.
    is_certain : bool
        Whether all servers there are in contact, and their number is stable.
    """

    domain: FailureDomain
    regular: int
    reclaimable: int
    present: int
    starting: int
    running: float
    is_certain: bool

    @property
    def ordered(self) -> int:
        """Servers of both kinds that are ordered."""
        return self.regular + self.reclaimable


@dataclass(frozen=True)
class CountOrder:
    """The number of servers of one kind that a failure domain should have.

    Attributes
    ----------
    reason : str
        Why, for operators.
    """

    domain: FailureDomain
    is_reclaimable: bool
    count: int
    reason: str


def plan_order(
    rules: ScalingRules,
    slots: int,
    samples: Sequence[DemandSample],
    domains: Sequence[DomainServers],
    unavailable: Collection[tuple[FailureDomain, bool]],
    at_s: float,
) -> CountOrder | None:
    """Return the next change of a number; None to keep all.

    Parameters
    ----------
    rules : ScalingRules
        Bounds and costs.
    slots : int
        Requests that one server runs concurrently.
    samples : sequence of DemandSample
        Recent demand, oldest first.
    domains : sequence of DomainServers
        All failure domains with servers of the service.
    unavailable : collection of tuple
        Domains and kinds of which there are no more servers now; the kind is
        whether they are reclaimable.
    at_s : float
        Monotonic time in seconds.
    """
    recent = _within(samples, at_s, rules.increase_window_s)
    if recent:
        needed = min(sample.needed_slots for sample in recent)
        order = _increase(rules, slots, needed, domains, unavailable)
        if order is not None:
            return order
    long_past = _within(samples, at_s, rules.reduction_window_s)
    # An entry process that stopped to report may still send requests.
    is_complete = len({sample.entries for sample in long_past}) == 1
    if is_complete and all(domain.is_certain for domain in domains):
        peak = max(sample.running + sample.waiting for sample in long_past)
        return _reduction(rules, slots, peak, domains)
    return None


def _within(
    samples: Sequence[DemandSample], at_s: float, window_s: float
) -> list[DemandSample]:
    """Return the samples of a window; none unless they cover all of it."""
    if not samples or samples[0].at_s > at_s - window_s:
        return []
    return [sample for sample in samples if sample.at_s >= at_s - window_s]


def _increase(
    rules: ScalingRules,
    slots: int,
    needed: float,
    domains: Sequence[DomainServers],
    unavailable: Collection[tuple[FailureDomain, bool]],
) -> CountOrder | None:
    available = sum(each.present + each.starting for each in domains)
    wanted = math.ceil(needed / (rules.target_use * slots))
    if wanted <= available:
        return None
    regular = sum(each.regular for each in domains)
    # Reclaimable servers may all end at once. They are only a reserve beside others
    # that can run everything.
    may_reclaim = rules.reclaimable_price < 1 and regular * slots >= needed
    choices = [
        (
            rules.prices.get(each.domain, 1.0)
            * (rules.reclaimable_price if is_reclaimable else 1.0),
            each.ordered,
            each,
            is_reclaimable,
        )
        for each in domains
        for is_reclaimable in ((True, False) if may_reclaim else (False,))
        if each.is_certain
        and each.ordered < rules.max_count
        and (each.domain, is_reclaimable) not in unavailable
    ]
    if not choices:
        return None
    _, _, chosen, is_reclaimable = min(choices, key=lambda choice: choice[:2])
    added = min(wanted - available, rules.max_count - chosen.ordered)
    if is_reclaimable:
        count = chosen.reclaimable + added
    else:
        count = chosen.regular + added
    return CountOrder(
        chosen.domain,
        is_reclaimable,
        count,
        f"{needed:.0f} slots needed for {rules.increase_window_s:g} s, "
        f"{available} servers of {slots}",
    )


def _reduction(
    rules: ScalingRules, slots: int, peak: float, domains: Sequence[DomainServers]
) -> CountOrder | None:
    total = sum(each.ordered for each in domains)
    regular = sum(each.regular for each in domains)
    if (total - 1) * slots * _REDUCTION_USE < peak:
        return None
    choices = []
    for each in domains:
        if each.ordered <= max(1, rules.min_count):
            continue
        if (each.ordered - 1) * slots * _REDUCTION_USE < each.running:
            continue
        price = rules.prices.get(each.domain, 1.0)
        if each.reclaimable:
            choices.append((price * rules.reclaimable_price, each, True))
        if each.regular and (regular - 1) * slots >= peak:
            choices.append((price, each, False))
    if not choices:
        return None
    _, chosen, is_reclaimable = max(
        choices, key=lambda choice: (choice[0], choice[1].ordered)
    )
    count = chosen.reclaimable if is_reclaimable else chosen.regular
    return CountOrder(
        chosen.domain,
        is_reclaimable,
        count - 1,
        f"at most {peak:.0f} slots used for {rules.reduction_window_s:g} s, "
        f"{total} servers of {slots}",
    )
