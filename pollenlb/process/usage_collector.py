"""Counts that entry processes report to the leader, until they are in the log."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ..clock import now
from ..connection.control_api import RenewRequest
from ..durable.duties import Counts, DutyTable
from ..durable.duty_commands import EntryUsage
from ..durable.leases import EntryInfo
from ..events import EventLog
from ..ids import BootId, UsageWindow
from ..scheduling.usage_seal import Reporter

# Numbers in one command, about 20 bytes each.
_MAX_COMMAND_COUNTS = 10_000
# Windows whose sealed counts are kept, to notice counts that come too late.
_KEPT_WINDOW_COUNT = 4


@dataclass
class _EntryReport:
    """Latest report of an entry process.

    Attributes
    ----------
    received_at : float
        Monotonic time in seconds.
    """

    entry: EntryInfo
    number: int
    counted_until_s: float
    received_at: float
    counts: dict[UsageWindow, Counts]


class UsageCollector:
    """Latest reports of all entry processes, in the memory of one leader."""

    def __init__(self) -> None:
        self._reports: dict[BootId, _EntryReport] = {}
        self._sealed: dict[UsageWindow, dict[BootId, Counts]] = {}

    def record(self, request: RenewRequest, events: EventLog) -> None:
        """Store the counts of a renewal, unless a later report has arrived."""
        boot = request.entry.boot
        known = self._reports.get(boot)
        if not request.usage_number or (
            known is not None and known.number >= request.usage_number
        ):
            return
        self._reports[boot] = _EntryReport(
            request.entry,
            request.usage_number,
            request.usage_at_s,
            now(),
            request.usage,
        )
        self._record_late_counts(boot, request.usage, events)

    def reporters(self, live: list[EntryInfo], window_start_s: float) -> list[Reporter]:
        """Return the entry processes that may have counted requests in a window.

        Parameters
        ----------
        live : list of EntryInfo
            Entry processes with a lease.
        window_start_s : float
            Wall time of the start of the window, in seconds since the epoch.
        """
        until_s = {entry.boot: 0.0 for entry in live}
        for boot, report in self._reports.items():
            if boot in until_s or report.counted_until_s >= window_start_s:
                until_s[boot] = report.counted_until_s
        return [Reporter(boot, counted_s) for boot, counted_s in until_s.items()]

    def changes(
        self, table: DutyTable, only: UsageWindow | None = None
    ) -> list[EntryUsage]:
        """Return the counts that differ from those in the log, of a bounded number.

        Parameters
        ----------
        table : DutyTable
            Counts in the log.
        only : UsageWindow or None
            The window whose counts are returned; None for all open ones.
        """
        changes: list[EntryUsage] = []
        total = 0
        for boot, window, counts in self._open_counts(table):
            if only is not None and window != only:
                continue
            stored = table.open_counts.get(window, {}).get(boot, {})
            changed = {
                workspace: count
                for workspace, count in counts.items()
                if stored.get(workspace, 0) != count
            }
            if changed:
                changes.append(EntryUsage(boot, window, changed))
                total += len(changed)
            if total >= _MAX_COMMAND_COUNTS:
                break
        return changes

    def record_sealed(self, window: UsageWindow, table: DutyTable) -> None:
        """Remember the counts of a window that is about to be sealed.

        Those of older windows are forgotten.
        """
        self._sealed[window] = {
            boot: dict(counts)
            for boot, counts in table.open_counts.get(window, {}).items()
        }
        for old in [
            each for each in self._sealed if each <= window - _KEPT_WINDOW_COUNT
        ]:
            del self._sealed[old]

    def forget(self, before_s: float) -> None:
        """Forget reports received before a monotonic time in seconds."""
        for boot in [
            boot
            for boot, report in self._reports.items()
            if report.received_at < before_s
        ]:
            del self._reports[boot]

    def _open_counts(
        self, table: DutyTable
    ) -> Iterator[tuple[BootId, UsageWindow, Counts]]:
        for boot, report in self._reports.items():
            for window, counts in report.counts.items():
                if table.accepts(window):
                    yield boot, window, counts

    def _record_late_counts(
        self, boot: BootId, usage: dict[UsageWindow, Counts], events: EventLog
    ) -> None:
        for window, by_boot in self._sealed.items():
            counts = usage.get(window)
            sealed = by_boot.get(boot, {})
            if counts is None or _nonzero(counts) == _nonzero(sealed):
                continue
            events.record(
                "usage.late",
                boot=boot,
                window=window,
                sealed=sum(sealed.values()),
                requests=sum(counts.values()),
            )
            by_boot[boot] = counts


def _nonzero(counts: Counts) -> Counts:
    return {workspace: count for workspace, count in counts.items() if count}
