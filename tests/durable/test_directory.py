"""Announcements that come late, twice, or from another process."""

from __future__ import annotations

from hypothesis import given, strategies as st

from pollenlb.durable.command_base import Done, Refused
from pollenlb.durable.configuration_commands import (
    Announcement,
    AnnounceServer,
    NoteModelVersion,
    NoteOrder,
    ReleaseVersion,
    ServerState,
    VersionSuperseded,
    WithdrawServer,
)
from pollenlb.durable.directory import Directory


def _announcement(server="a", started=100, sequence=1, **options) -> Announcement:
    values = {
        "service": "model",
        "address": "10.0.0.1:80",
        "failure_domain": "north",
        "boot": f"{server}/{started}",
        "slots": 4,
        **options,
    }
    return Announcement(
        server=server, started_at_ms=started, sequence=sequence, **values
    )


def _announce(directory: Directory, *args, **options):
    return directory.announce(AnnounceServer(_announcement(*args, **options)))


def test_a_late_announcement_changes_nothing():
    directory = Directory()
    _announce(directory, sequence=5, state=ServerState.LEAVING)
    assert isinstance(_announce(directory, sequence=4), Refused)
    assert directory.servers["a"].state is ServerState.LEAVING


def test_a_leaving_server_does_not_come_back_within_its_boot():
    directory = Directory()
    _announce(directory, sequence=5, state=ServerState.LEAVING)
    _announce(directory, sequence=6)
    assert directory.servers["a"].state is ServerState.LEAVING


def test_a_server_started_again_under_its_name_serves():
    directory = Directory()
    _announce(directory, sequence=5, state=ServerState.LEAVING)
    assert _announce(directory, started=200, sequence=0) == Done()
    assert directory.servers["a"].state is ServerState.SERVING


def test_an_announcement_after_the_withdrawal_changes_nothing():
    directory = Directory()
    _announce(directory)
    directory.withdraw(WithdrawServer("a"))
    assert isinstance(_announce(directory, sequence=9), Refused)
    assert directory.servers == {}
    assert _announce(directory, started=200) == Done()


def test_a_late_withdrawal_does_not_remove_the_next_boot():
    directory = Directory()
    _announce(directory, started=200)
    directory.withdraw(WithdrawServer("a", 100))
    assert "a" in directory.servers


def test_the_latest_start_keeps_an_address():
    directory = Directory()
    _announce(directory, "a", started=100)
    assert _announce(directory, "b", started=200) == Done()
    assert set(directory.servers) == {"b"}
    assert isinstance(_announce(directory, "a", started=100, sequence=9), Refused)


@given(
    order=st.permutations(
        [("a", 100, 1), ("a", 100, 2), ("a", 300, 0), ("b", 200, 1), ("b", 200, 2)]
    )
)
def test_any_order_of_announcements_ends_with_the_latest_start(order):
    directory = Directory()
    for server, started, sequence in order:
        _announce(directory, server, started, sequence)
    assert set(directory.servers) == {"a"}
    assert directory.servers["a"].started_at_ms == 300


def test_a_version_of_an_earlier_boot_is_not_entered():
    directory = Directory()
    _announce(directory, started=200, models={"m": 1})
    stale = NoteModelVersion("a", "a/100", "m", 2)
    assert isinstance(directory.note_version(stale), Refused)
    assert directory.servers["a"].models == {"m": 1}


def test_releases_only_rise():
    directory = Directory()
    directory.release(ReleaseVersion("m", 3))
    assert directory.release(ReleaseVersion("m", 2)) == VersionSuperseded(3)
    assert directory.releases == {"m": 3}


def test_numbers_of_orders_only_rise():
    directory = Directory()
    assert directory.note_order(NoteOrder("a", 1), 0) == Done()
    assert isinstance(directory.note_order(NoteOrder("b", 1), 0), Refused)
    assert directory.note_order(NoteOrder("b", 2), 0) == Done()
