"""Duties in the replicated state: holders, and windows that are sealed once."""

from __future__ import annotations

from pollenlb.durable.command_base import Done, Refused
from pollenlb.durable.duties import MAX_OPEN_WINDOW_COUNT, DutyTable
from pollenlb.durable.duty_commands import (
    CloseUsage,
    DutyCall,
    EndReplicaOrder,
    EntryUsage,
    OpenUsage,
    OrderReplicas,
    RecordUsage,
    ReplicaSubject,
    SealUsage,
    SkipUsage,
    TakeDuties,
)

from .test_state_machine import AppliedLog


def _opened() -> tuple[AppliedLog, DutyTable]:
    log = AppliedLog()
    log.apply(OpenUsage(5))
    return log, log.machine.state.duties


def test_each_holder_gets_a_higher_fencing_number():
    """Guards against two holders with one number."""
    log = AppliedLog()
    numbers = []
    for holder in ("a", "b", "a"):
        log.apply(TakeDuties(holder))
        numbers.append(log.machine.state.duties.fencing)
    assert numbers == [1, 2, 3]


def test_a_window_is_sealed_once_and_in_order():
    """Guards against a second report with other counts."""
    log, table = _opened()
    log.apply(RecordUsage([EntryUsage("boot-1", 5, {"w": 2})]))
    assert isinstance(log.apply(SealUsage(6)), Refused)
    assert log.apply(SealUsage(5)) == Done()
    log.apply(RecordUsage([EntryUsage("boot-1", 5, {"w": 9})]))
    assert isinstance(log.apply(SealUsage(5)), Refused)
    assert table.sealed_counts == {5: {"w": 2}}
    log.apply(CloseUsage(5, DutyCall("usage 5", 1, 200)))
    assert isinstance(log.apply(SealUsage(5)), Refused)
    assert not table.sealed_counts and not table.open_counts


def test_the_first_window_stays_and_nothing_counts_before_it():
    """Guards against reports of windows before the first lease."""
    log = AppliedLog()
    log.apply(RecordUsage([EntryUsage("boot-1", 4, {"w": 2})]))
    log.apply(OpenUsage(5))
    log.apply(OpenUsage(3))
    log.apply(RecordUsage([EntryUsage("boot-1", 4, {"w": 2})]))
    table = log.machine.state.duties
    assert table.next_window == 5
    assert not table.open_counts


def test_skipped_windows_leave_no_counts():
    """Guards against state that grows with windows that are never reported."""
    log, table = _opened()
    for window in (5, 6, 7):
        log.apply(RecordUsage([EntryUsage("boot-1", window, {"w": 2})]))
    log.apply(SkipUsage(7))
    log.apply(SkipUsage(6))
    assert table.next_window == 7
    assert set(table.open_counts) == {7}


def test_counts_of_a_wrong_clock_are_not_stored():
    """Guards against state that an entry with a wrong clock fills."""
    log, table = _opened()
    ahead = 5 + MAX_OPEN_WINDOW_COUNT
    log.apply(RecordUsage([EntryUsage("boot-1", ahead, {"w": 2})]))
    assert not table.open_counts


def test_duties_survive_a_snapshot():
    """Guards against counts and numbers that a restart loses."""
    log, table = _opened()
    log.apply(TakeDuties("a"))
    log.apply(RecordUsage([EntryUsage("boot-1", 5, {"w": 2})]))
    log.apply(SealUsage(5))
    log.apply(RecordUsage([EntryUsage("boot-1", 6, {"w": 3})]))
    restored = AppliedLog()
    restored.machine.restore(log.machine.snapshot())
    assert restored.machine.state.duties == table


def test_a_refused_order_leaves_the_number_before_it():
    """Guards against later orders that start from a number which is not in force."""
    log = AppliedLog()
    subject = ReplicaSubject("service", "north", False)
    call = DutyCall("replicas", 1, 409)
    log.apply(OrderReplicas(subject, 3, 2, "reason"))
    log.apply(EndReplicaOrder(subject, 3, True, call))
    log.apply(OrderReplicas(subject, 5, 3, "reason"))
    order = log.machine.state.duties.replica_order(subject)
    assert (order.count, order.call) == (5, None)
    log.apply(EndReplicaOrder(subject, 4, False, call))
    assert (order.count, order.call) == (5, None)
    log.apply(EndReplicaOrder(subject, 5, False, call))
    order = log.machine.state.duties.replica_order(subject)
    assert (order.count, order.call) == (3, call)
