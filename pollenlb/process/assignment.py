"""Which entry process runs a batch job."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..ids import BootId

BUSY_LAG_S = 0.2  # an event loop that is later than this delays every stream
# With half of these running an entry took 0.22 of a core (a grown scale day).
MOST_OPEN_ITEMS = 600


@dataclass(frozen=True)
class Candidate:
    """An entry process that may run batch jobs.

    Attributes
    ----------
    open_items : int
        Items of its batch jobs that have no result.
    """

    boot: BootId
    lag_s: float
    is_draining: bool
    open_items: int


def choose_owner(
    candidates: Sequence[Candidate], owners: Sequence[BootId]
) -> BootId | None:
    """Return the entry process that should run a new batch job.

    Answers the load of several trainers that hand in steps to the same engines:
    all steps stay with one entry, which so knows what runs where without asking
    anybody. With an owner for each trainer, items met in the queues of engines
    that both took for free. An entry that is late, because its machine is slow,
    that runs as much as it can or shuts down passes the next step on.

    Parameters
    ----------
    candidates : sequence of Candidate
        Entry processes with a live lease.
    owners : sequence of BootId
        Entry processes that run batch jobs of the service, the latest first.
    """
    fit = [each for each in candidates if not each.is_draining]
    prompt = [each for each in fit if each.lag_s < BUSY_LAG_S]
    with_room = {each.boot for each in prompt if each.open_items < MOST_OPEN_ITEMS}
    for boot in owners:
        if boot in with_room:
            return boot
    pool = prompt or fit or list(candidates)
    chosen = min(pool, key=lambda each: (each.open_items, each.boot), default=None)
    return chosen.boot if chosen is not None else None
