"""Directory: late, repeated and conflicting announcements, releases and orders."""

from __future__ import annotations

from hypothesis import given, strategies as st

from pollenlb.durable.command_base import Done, Refused
from pollenlb.durable.configuration_commands import (
    AbandonLoad,
    Announcement,
    AnnounceServer,
    AssignEngines,
    NoteModelVersion,
    NoteOrder,
    ReleaseVersion,
    ServerState,
    VersionSuperseded,
    WithdrawServer,
)
from pollenlb.durable.directory import Directory


def _announcement(server="a", started_at_ms=100, sequence=1, **options) -> Announcement:
    values = {
        "service": "model",
        "address": "10.0.0.1:80",
        "failure_domain": "north",
        "boot": f"{server}/{started_at_ms}",
        "slots": 4,
        **options,
    }
    return Announcement(
        server=server, started_at_ms=started_at_ms, sequence=sequence, **values
    )


def _announce(directory: Directory, *args, **options):
    return directory.announce(AnnounceServer(_announcement(*args, **options)))


def test_an_announcement_older_than_the_known_one_is_refused():
    directory = Directory()
    _announce(directory, sequence=5, state=ServerState.LEAVING)
    assert isinstance(_announce(directory, sequence=4), Refused)
    assert directory.servers["a"].state is ServerState.LEAVING


def test_a_leaving_server_stays_leaving_until_its_process_restarts():
    directory = Directory()
    _announce(directory, sequence=5, state=ServerState.LEAVING)
    _announce(directory, sequence=6)
    assert directory.servers["a"].state is ServerState.LEAVING


def test_a_restarted_server_serves_again_under_its_name():
    directory = Directory()
    _announce(directory, sequence=5, state=ServerState.LEAVING)
    assert _announce(directory, started_at_ms=200, sequence=0) == Done()
    assert directory.servers["a"].state is ServerState.SERVING


def test_an_announcement_after_the_withdrawal_is_refused():
    directory = Directory()
    _announce(directory)
    directory.withdraw(WithdrawServer("a"))
    assert isinstance(_announce(directory, sequence=9), Refused)
    assert directory.servers == {}
    assert _announce(directory, started_at_ms=200) == Done()


def test_a_late_withdrawal_does_not_remove_a_restarted_server():
    directory = Directory()
    _announce(directory, started_at_ms=200)
    directory.withdraw(WithdrawServer("a", 100))
    assert "a" in directory.servers


def test_the_server_started_last_owns_an_address():
    directory = Directory()
    _announce(directory, "a", started_at_ms=100)
    assert _announce(directory, "b", started_at_ms=200) == Done()
    assert set(directory.servers) == {"b"}
    assert isinstance(_announce(directory, "a", started_at_ms=100, sequence=9), Refused)


@given(
    announcements=st.permutations(
        [("a", 100, 1), ("a", 100, 2), ("a", 300, 0), ("b", 200, 1), ("b", 200, 2)]
    )
)
def test_any_order_of_announcements_ends_with_the_latest_start(announcements):
    directory = Directory()
    for server, started_at_ms, sequence in announcements:
        _announce(directory, server, started_at_ms, sequence)
    assert set(directory.servers) == {"a"}
    assert directory.servers["a"].started_at_ms == 300


def test_a_model_version_of_an_earlier_boot_is_refused():
    directory = Directory()
    _announce(directory, started_at_ms=200, models={"m": 1})
    stale = NoteModelVersion("a", "a/100", "m", 2)
    assert isinstance(directory.record_version(stale), Refused)
    assert directory.servers["a"].models == {"m": 1}


def test_a_release_of_an_older_version_is_superseded():
    directory = Directory()
    directory.release(ReleaseVersion("m", 3))
    assert directory.release(ReleaseVersion("m", 2)) == VersionSuperseded(3)
    assert directory.releases == {"m": 3}


def test_an_order_with_a_used_fencing_number_is_refused():
    directory = Directory()
    assert directory.record_order(NoteOrder("a", 1), 0) == Done()
    assert isinstance(directory.record_order(NoteOrder("b", 1), 0), Refused)
    assert directory.record_order(NoteOrder("b", 2), 0) == Done()


def _order(fencing=1, version=2, boot="a/100") -> NoteOrder:
    return NoteOrder("a", fencing, boot, "m", version)


def test_a_load_is_planned_until_the_server_serves_the_version():
    directory = Directory()
    _announce(directory, models={"m": 1})
    directory.record_order(_order(), 0)
    assert directory.planned_loads()["a"].version == 2
    directory.record_version(NoteModelVersion("a", "a/100", "m", 2))
    assert directory.planned_loads() == {}


def test_a_load_ends_with_the_process_that_was_ordered_to_load():
    directory = Directory()
    _announce(directory, models={"m": 1})
    directory.record_order(_order(), 0)
    _announce(directory, started_at_ms=200, models={"m": 1})
    assert directory.planned_loads() == {}


def test_an_abandoned_load_is_no_longer_planned_and_its_fencing_number_stays_used():
    directory = Directory()
    _announce(directory, models={"m": 1})
    directory.record_order(_order(fencing=1), 0)
    assert directory.abandon_load(AbandonLoad("a", 1)) == Done()
    assert directory.planned_loads() == {}
    assert isinstance(directory.record_order(_order(fencing=1), 0), Refused)


def test_a_late_end_of_an_earlier_load_does_not_end_a_later_one():
    directory = Directory()
    _announce(directory, models={"m": 1})
    directory.record_order(_order(fencing=1), 0)
    directory.record_order(_order(fencing=2, version=3), 0)
    directory.abandon_load(AbandonLoad("a", 1))
    assert directory.planned_loads()["a"].fencing == 2


def test_an_order_without_a_model_plans_no_load():
    directory = Directory()
    _announce(directory, models={"m": 1})
    directory.record_order(NoteOrder("a", 1), 0)
    assert directory.planned_loads() == {}


def test_a_division_of_engines_replaces_the_one_before():
    directory = Directory()
    directory.assign_engines(AssignEngines("model", {"a": "m", "b": "n"}))
    directory.assign_engines(AssignEngines("model", {"a": "n"}))
    assert directory.assigned == {"model": {"a": "n"}}
