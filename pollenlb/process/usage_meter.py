"""Counts of the requests that an entry process began, by workspace and window."""

from __future__ import annotations

import time

from ..events import EventLog
from ..ids import UsageWindow, WorkspaceName
from .metrics import Metrics

# Windows that a leader has not sealed for longer are past the time at which their
# reports are due; without a leader their number must not grow.
_MAX_WINDOW_COUNT = 32


class UsageMeter:
    """Cumulative counts of requests, until the leader has sealed their window.

    Nothing is counted until the leader has told the duration of a window.

    Parameters
    ----------
    events : EventLog
        Records counts that are lost.
    metrics : Metrics
        Counts requests by what became of their count.
    """

    def __init__(self, events: EventLog, metrics: Metrics) -> None:
        self._events = events
        self._metrics = metrics
        self._window_s = 0.0
        self._first_window = UsageWindow(0)
        self._counts: dict[UsageWindow, dict[WorkspaceName, int]] = {}
        self._report_number = 0

    @property
    def is_enabled(self) -> bool:
        """Whether requests are counted."""
        return self._window_s > 0

    def configure(self, window_s: float, first_window: UsageWindow) -> None:
        """Apply what the leader answered to a renewal.

        Parameters
        ----------
        window_s : float
            Duration of a window in seconds; 0 changes nothing, since a leader of an
            earlier release does not send it.
        first_window : UsageWindow
            First window whose counts may still change; those before are forgotten.
        """
        if not window_s:
            return
        if window_s != self._window_s:
            self._counts.clear()
            self._first_window = first_window
        self._window_s = window_s
        self._first_window = max(self._first_window, first_window)
        for window in [each for each in self._counts if each < self._first_window]:
            del self._counts[window]

    def start_request(self, workspace: WorkspaceName | None) -> RequestUsage | None:
        """Return the record of a request; None if it is not to be counted."""
        if workspace is None or not self.is_enabled:
            return None
        return RequestUsage(self, workspace)

    def record_begin(self, workspace: WorkspaceName, at_s: float) -> UsageWindow:
        """Count a request by the wall time at which it was sent, and return its window.

        Parameters
        ----------
        workspace : WorkspaceName
            Workspace for which it runs.
        at_s : float
            Wall time in seconds since the epoch.
        """
        window = UsageWindow(int(at_s // self._window_s))
        self._add(workspace, window, 1)
        self._metrics.usage.labels("counted").inc()
        return window

    def withdraw(self, workspace: WorkspaceName, window: UsageWindow) -> None:
        """Take back the count of a request that did not run."""
        self._add(workspace, window, -1)
        self._metrics.usage.labels("withdrawn").inc()

    def next_report(self) -> tuple[int, dict[UsageWindow, dict[WorkspaceName, int]]]:
        """Return the number of the next report and a copy of all counts.

        Counts are cumulative, so that a report that is lost or repeated changes
        nothing.
        """
        self._report_number += 1
        return self._report_number, {
            window: dict(counts) for window, counts in self._counts.items()
        }

    def _add(self, workspace: WorkspaceName, window: UsageWindow, change: int) -> None:
        if window < self._first_window:
            self._metrics.usage.labels("late").inc()
            self._events.record(
                "usage.late", workspace=workspace, window=window, change=change
            )
            return
        counts = self._counts.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + change
        if len(self._counts) > _MAX_WINDOW_COUNT:
            dropped = min(self._counts)
            lost = sum(self._counts.pop(dropped).values())
            self._events.record("usage.dropped", window=dropped, requests=lost)


class RequestUsage:
    """Count of one request: of its first attempt that was not refused unrun.

    A request counts once, whatever the number of servers that ran it. An attempt
    counts from the time at which it was sent, since its outcome may only be known
    after the window is sealed.

    Parameters
    ----------
    meter : UsageMeter
        Where the request counts.
    workspace : WorkspaceName
        Workspace for which it runs.
    """

    def __init__(self, meter: UsageMeter, workspace: WorkspaceName) -> None:
        self._meter = meter
        self._workspace = workspace
        self._sent_at_s: dict[int, float] = {}
        self._attempt_count = 0
        self._window: UsageWindow | None = None

    def start_attempt(self) -> AttemptUsage:
        """Return the record of the next attempt."""
        self._attempt_count += 1
        return AttemptUsage(self, self._attempt_count)

    def record_sent(self, attempt: int) -> None:
        """Record that the first byte of an attempt may have been sent."""
        self._sent_at_s[attempt] = time.time()
        if self._window is None:
            self._window = self._meter.record_begin(
                self._workspace, self._sent_at_s[attempt]
            )

    def record_not_run(self, attempt: int) -> None:
        """Record that an attempt did not run; the request counts by the next one."""
        self._sent_at_s.pop(attempt, None)
        if self._window is None:
            return
        self._meter.withdraw(self._workspace, self._window)
        self._window = None
        if self._sent_at_s:
            first_s = min(self._sent_at_s.values())
            self._window = self._meter.record_begin(self._workspace, first_s)


class AttemptUsage:
    """One attempt of a request that counts.

    Parameters
    ----------
    request : RequestUsage
        Count of the request.
    number : int
        Number of the attempt.
    """

    def __init__(self, request: RequestUsage, number: int) -> None:
        self._request = request
        self._number = number

    def record_sent(self) -> None:
        """Record that the first byte of the attempt may have been sent."""
        self._request.record_sent(self._number)

    def record_not_run(self) -> None:
        """Record that the attempt did not run."""
        self._request.record_not_run(self._number)
