"""Replicated record of the duties: their holder, and the usage of each window."""

from __future__ import annotations

import msgspec

from ..ids import BootId, InstanceName, UsageWindow, WorkspaceName
from .command_base import Done, Refused
from .duty_commands import (
    CloseUsage,
    DutyCall,
    EndReplicaOrder,
    OpenUsage,
    OrderReplicas,
    RecordUsage,
    ReplicaSubject,
    SealUsage,
    SkipUsage,
    TakeDuties,
)

# Counts of windows further ahead than this are not stored: the clock of the entry
# process that sent them is wrong.
MAX_OPEN_WINDOW_COUNT = 64

Counts = dict[WorkspaceName, int]


class ReplicaOrder(msgspec.Struct):
    """Latest order of a number of backend servers.

    Attributes
    ----------
    count : int
        Number that is in force, or was ordered.
    earlier_count : int
        Number that was in force before.
    reason : str
        Why it was ordered.
    at_ms : int
        Wall time of the order, milliseconds since the epoch.
    call : DutyCall or None
        Last call with a final response; None while there is none.
    """

    subject: ReplicaSubject
    count: int
    earlier_count: int
    reason: str
    at_ms: int
    call: DutyCall | None = None


class DutyTable(msgspec.Struct):
    """Holder of the duties, and the counts of requests by window.

    Attributes
    ----------
    holder : InstanceName
        Control instance that may make calls; empty before the first one.
    fencing : int
        Fencing number of the holder, higher than that of any holder before.
    next_window : UsageWindow or None
        First window that is not sealed; None before the first lease of an entry.
    open_counts : dict
        Counts by workspace, by entry process, by window that is not sealed.
    sealed_counts : dict
        Counts by workspace, by sealed window whose report is not accepted yet.
    last_call : DutyCall or None
        Last call that was accepted.
    replica_orders : list of ReplicaOrder
        Latest order of each subject.
    """

    holder: InstanceName = InstanceName("")
    fencing: int = 0
    next_window: UsageWindow | None = None
    open_counts: dict[UsageWindow, dict[BootId, Counts]] = {}
    sealed_counts: dict[UsageWindow, Counts] = {}
    last_call: DutyCall | None = None
    replica_orders: list[ReplicaOrder] = []

    def replica_order(self, subject: ReplicaSubject) -> ReplicaOrder | None:
        """Return the latest order of a subject, or None."""
        for order in self.replica_orders:
            if order.subject == subject:
                return order
        return None

    def order_replicas(self, command: OrderReplicas, at_ms: int) -> Done:
        """Record an order before it is sent."""
        self.replica_orders = [
            order for order in self.replica_orders if order.subject != command.subject
        ]
        self.replica_orders.append(
            ReplicaOrder(
                command.subject,
                command.count,
                command.earlier_count,
                command.reason,
                at_ms,
            )
        )
        return Done()

    def end_replica_order(self, command: EndReplicaOrder) -> Done:
        """Record a response, unless another number has been ordered since."""
        order = self.replica_order(command.subject)
        if order is not None and order.count == command.count:
            order.call = command.call
            if not command.is_accepted:
                order.count = order.earlier_count
        if command.is_accepted:
            self.last_call = command.call
        return Done()

    def take(self, command: TakeDuties) -> Done:
        """Change the holder and raise the fencing number."""
        self.holder = command.holder
        self.fencing += 1
        return Done()

    def open(self, command: OpenUsage) -> Done:
        """Set the first window, unless there is one."""
        if self.next_window is None:
            self.next_window = command.window
        return Done()

    def accepts(self, window: UsageWindow) -> bool:
        """Return whether counts of a window are stored."""
        if self.next_window is None:
            return False
        return 0 <= window - self.next_window < MAX_OPEN_WINDOW_COUNT

    def record(self, command: RecordUsage) -> Done:
        """Replace counts; those of windows that are not open are ignored."""
        for usage in command.counts:
            if self.accepts(usage.window):
                by_boot = self.open_counts.setdefault(usage.window, {})
                by_boot.setdefault(usage.boot, {}).update(usage.counts)
        return Done()

    def seal(self, command: SealUsage) -> Done | Refused:
        """Fix the counts of the first window that is not sealed."""
        if command.window != self.next_window:
            return Refused(f"the first window that is not sealed is {self.next_window}")
        totals: Counts = {}
        for counts in self.open_counts.pop(command.window, {}).values():
            for workspace, count in counts.items():
                totals[workspace] = totals.get(workspace, 0) + count
        self.sealed_counts[command.window] = {
            workspace: count for workspace, count in totals.items() if count
        }
        self.next_window = UsageWindow(command.window + 1)
        return Done()

    def skip(self, command: SkipUsage) -> Done:
        """Leave out windows that are not sealed."""
        if self.next_window is not None and command.before > self.next_window:
            self.next_window = command.before
            for window in [each for each in self.open_counts if each < command.before]:
                del self.open_counts[window]
        return Done()

    def close(self, command: CloseUsage) -> Done:
        """End the report of a sealed window."""
        self.sealed_counts.pop(command.window, None)
        if command.call is not None:
            self.last_call = command.call
        return Done()
