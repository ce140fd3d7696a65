"""Slots of engines around loads of weights: known loads, refusals and lost orders."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from pollenlb.connection.control_api import PlannedLoad
from pollenlb.scheduling.engine_availability import EngineAvailability, ItemRun

_SLOTS = 8


class _Engine:
    """What the decision reads of a backend server."""

    def __init__(self, version: int = 1, boot: str = "boot-1") -> None:
        self.name = "engine"
        self.boot = boot
        self.version = version
        self.load = SimpleNamespace(slots=_SLOTS)

    def model_version(self, model: str) -> int:
        return self.version if model == "a" else 0


def _load(version: int = 2, boot: str = "boot-1", fencing: int = 1) -> PlannedLoad:
    return PlannedLoad(boot, "a", version, fencing)


def _usable_slots(availability, engine, at, runs=(), unavailable=0):
    return availability.usable_slots(engine, unavailable, runs, at)


def test_no_items_are_placed_during_a_load_and_all_slots_are_used_after_it():
    availability = EngineAvailability()
    engine = _Engine()
    availability.apply_loads({"engine": _load()}, at=0.0)
    assert _usable_slots(availability, engine, 0.5) == 0
    engine.version = 2
    assert _usable_slots(availability, engine, 1.0) == _SLOTS


def test_a_load_that_was_abandoned_ends():
    availability = EngineAvailability()
    availability.apply_loads({"engine": _load()}, at=0.0)
    availability.apply_loads({}, at=0.1)
    assert _usable_slots(availability, _Engine(), 0.2) == _SLOTS


def test_a_load_that_nobody_ends_expires_although_the_view_is_sent_again():
    # The leader that ordered it may be gone, and its successor may be unreachable.
    availability = EngineAvailability()
    for number in range(50):
        availability.apply_loads({"engine": _load()}, at=0.1 * number)
    assert _usable_slots(availability, _Engine(), 5.0) == _SLOTS


def test_a_new_order_of_the_same_load_starts_the_time_again():
    availability = EngineAvailability()
    availability.apply_loads({"engine": _load(fencing=1)}, at=0.0)
    availability.apply_loads({"engine": _load(fencing=2)}, at=3.9)
    assert _usable_slots(availability, _Engine(), 4.5) == 0


def test_a_load_of_an_earlier_process_of_the_engine_does_not_count():
    availability = EngineAvailability()
    availability.apply_loads({"engine": _load()}, at=0.0)
    assert _usable_slots(availability, _Engine(boot="boot-2"), 0.1) == _SLOTS


def test_an_engine_that_refused_an_item_without_a_load_gets_one_item_at_a_time():
    availability = EngineAvailability()
    engine = _Engine()
    assert not availability.record_refusal(engine, at=0.0)
    assert _usable_slots(availability, engine, 0.1) == 0
    assert _usable_slots(availability, engine, 0.3, unavailable=2) == 3
    silent_run = ItemRun(started_at=0.3, last_event_at=0.3)
    assert _usable_slots(availability, engine, 0.4, [silent_run]) == 0
    run = ItemRun(started_at=0.3, last_event_at=0.5)
    assert _usable_slots(availability, engine, 0.5, [run]) == _SLOTS
    assert _usable_slots(availability, engine, 0.6) == _SLOTS


@pytest.mark.parametrize("is_known_first", [True, False])
def test_a_refusal_during_a_load_does_not_slow_the_engine_down_after_it(is_known_first):
    availability = EngineAvailability()
    engine = _Engine()
    if is_known_first:
        availability.apply_loads({"engine": _load()}, at=0.0)
    assert availability.record_refusal(engine, at=0.1) is is_known_first
    availability.apply_loads({"engine": _load()}, at=0.2)
    assert _usable_slots(availability, engine, 0.3) == 0
    engine.version = 2
    assert _usable_slots(availability, engine, 1.2) == _SLOTS
