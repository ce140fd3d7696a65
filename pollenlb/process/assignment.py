"""Which entry process runs a batch job."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..ids import BootId

BUSY_LAG_S = 0.2  # an event loop that is later than this delays every stream


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
    candidates: Sequence[Candidate], previous: BootId | None
) -> BootId | None:
    """Return the entry process that should run a new batch job.

    Answers the load of a trainer that hands in a step each few seconds: its
    steps stay with one entry, which so knows all that runs at the engines of
    the trainer's model without asking anybody. An entry that is late, because
    its machine is slow, or that shuts down passes the next step on.

    Parameters
    ----------
    candidates : sequence of Candidate
        Entry processes with a live lease.
    previous : BootId or None
        Entry process that ran the model's last batch job.
    """
    fit = [each for each in candidates if not each.is_draining]
    prompt = [each for each in fit if each.lag_s < BUSY_LAG_S]
    for each in prompt:
        if each.boot == previous:
            return previous
    pool = prompt or fit or list(candidates)
    chosen = min(pool, key=lambda each: (each.open_items, each.boot), default=None)
    return chosen.boot if chosen is not None else None
