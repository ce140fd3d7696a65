"""Chooses the entry process that runs a batch job."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ..ids import BootId

MAX_EVENT_LOOP_LAG_S = 0.2  # a greater lag delays every stream of the process
# Bounds the CPU load of an entry process: with half of this number of items
# running, one used 0.22 of a core in an enlarged scale test.
MAX_OPEN_ITEM_COUNT = 600


@dataclass(frozen=True)
class Candidate:
    """An entry process that may run batch jobs.

    Attributes
    ----------
    boot : BootId
        Identifies the entry process.
    lag_s : float
        Smoothed lag of its event loop, in seconds.
    is_draining : bool
        Whether it is shutting down.
    open_items : int
        Number of items of its batch jobs that have no result.
    is_stranded : bool
        Whether it is taken to reach no backend server.
    """

    boot: BootId
    lag_s: float
    is_draining: bool
    open_items: int
    is_stranded: bool = False

    @property
    def can_take_over(self) -> bool:
        """Whether it may run batch jobs of another one that reaches no server."""
        return not (self.is_draining or self.is_stranded)


def choose_owner(
    candidates: Sequence[Candidate], owners: Sequence[BootId]
) -> BootId | None:
    """Return the entry process to run a new batch job, or None without candidates.

    When several trainers submit steps to the same engines, one entry process
    runs all of them, so that it knows what runs where without asking other
    processes. With one owner per trainer, items queued at engines that two
    owners both took to be free.

    The step goes to another entry process when the owner's event loop lags
    because its machine is slow, when it runs as many items as it can, when it
    reaches no backend server, or when it shuts down.

    Parameters
    ----------
    candidates : sequence of Candidate
        Entry processes with a valid lease.
    owners : sequence of BootId
        Entry processes that run batch jobs of the service, the latest first.
    """
    accepting = [candidate for candidate in candidates if not candidate.is_draining]
    in_contact = [candidate for candidate in accepting if candidate.can_take_over]
    preferred = in_contact or accepting
    responsive = [
        candidate for candidate in preferred if candidate.lag_s < MAX_EVENT_LOOP_LAG_S
    ]
    with_capacity = {
        candidate.boot
        for candidate in responsive
        if candidate.open_items < MAX_OPEN_ITEM_COUNT
    }
    for boot in owners:
        if boot in with_capacity:
            return boot
    pool = responsive or preferred or list(candidates)
    chosen = min(
        pool,
        key=lambda candidate: (candidate.open_items, candidate.boot),
        default=None,
    )
    return chosen.boot if chosen is not None else None


def add_open_items(
    candidates: Sequence[Candidate], boot: BootId, count: int
) -> list[Candidate]:
    """Return the candidates after one of them was given items without a result."""
    return [
        (
            replace(candidate, open_items=candidate.open_items + count)
            if candidate.boot == boot
            else candidate
        )
        for candidate in candidates
    ]
