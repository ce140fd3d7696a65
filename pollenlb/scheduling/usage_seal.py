"""When the counts of a window are complete enough to be fixed and reported.

Load pattern: many entry processes that count requests at the same time report their
counts with delays of up to a second; some freeze, end or lose their connection
before they have reported.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ..ids import BootId

# Parts of the time between the end of a window and the time at which its report is
# due. An entry reports about once a second, so that the first part leaves it three
# attempts with the usual 10 s; the second leaves 4 s for the report itself.
_EARLIEST_RATIO = 0.3
_LATEST_RATIO = 0.6


class SealAction(Enum):
    """What to do with a window that is not sealed."""

    WAIT = "wait"
    SEAL = "seal"
    SKIP = "skip"


@dataclass(frozen=True)
class Reporter:
    """An entry process that may have counted requests in a window.

    Attributes
    ----------
    counted_until_s : float
        Wall time up to which its counts have arrived, in seconds since the epoch.
    """

    boot: BootId
    counted_until_s: float


@dataclass(frozen=True)
class SealDecision:
    """What to do with a window, and whose counts are missing.

    Attributes
    ----------
    missing : list of BootId
        Entry processes whose counts of the window may be incomplete.
    """

    action: SealAction
    missing: list[BootId]


def decide_seal(
    window_end_s: float,
    wall_s: float,
    late_s: float,
    reporters: Iterable[Reporter],
    is_settled: bool,
) -> SealDecision:
    """Decide whether a window is sealed now.

    Parameters
    ----------
    window_end_s : float
        Wall time of its end, in seconds since the epoch.
    wall_s : float
        Wall time now.
    late_s : float
        Seconds after the end by which the report is due.
    reporters : iterable of Reporter
        Entry processes that may have counted requests in the window.
    is_settled : bool
        Whether this leader has led for so long that every live entry process has
        had the time to report to it.
    """
    missing = [each.boot for each in reporters if each.counted_until_s < window_end_s]
    elapsed_s = wall_s - window_end_s
    if elapsed_s >= late_s:
        # The report would be late and its counts may be incomplete: processes that
        # ended since then have reported to nobody.
        return SealDecision(SealAction.SKIP, missing)
    if elapsed_s < _EARLIEST_RATIO * late_s or not is_settled:
        return SealDecision(SealAction.WAIT, missing)
    if missing and elapsed_s < _LATEST_RATIO * late_s:
        return SealDecision(SealAction.WAIT, missing)
    return SealDecision(SealAction.SEAL, missing)
