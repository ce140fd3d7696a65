"""Views that the leader compresses once for all entries."""

from __future__ import annotations

import msgspec

from pollenlb.connection.control_api import (
    CallStatus,
    ConfigurationView,
    EntriesView,
    RenewAnswer,
)
from pollenlb.connection.packed_views import PackedViews, unpack_views
from pollenlb.durable.leases import EntryInfo
from pollenlb.ids import Address

_ROUTE_COUNT = 1332


def _configuration(revision: int) -> ConfigurationView:
    routes = {
        f"r-{number}": {
            "service": "shop",
            "host": f"h{number % 40}.example",
            "path_prefix": f"/p{number}/",
            "timeout_s": 1.5,
            "max_attempts": 2,
        }
        for number in range(_ROUTE_COUNT)
    }
    return ConfigurationView(revision, {"routes": routes})


def test_unpacked_answer_has_the_views_in_their_fields():
    views = PackedViews()
    entries = EntriesView(4, [EntryInfo("entry", "boot", Address("127.0.0.1:1"), "n")])
    answer = RenewAnswer(
        CallStatus.DONE,
        packed={
            "configuration": views.pack("configuration", 3, lambda: _configuration(3)),
            "entries": views.pack("entries", 4, lambda: entries),
        },
    )
    unpacked = unpack_views(answer)
    assert unpacked.configuration == _configuration(3)
    assert unpacked.entries == entries
    assert unpacked.directory is None and unpacked.packed == {}


def test_a_version_is_built_once_for_all_entries():
    built: list[int] = []

    def build(revision: int) -> ConfigurationView:
        built.append(revision)
        return _configuration(revision)

    views = PackedViews()
    for revision in (1, 1, 1, 2, 2):
        views.pack("configuration", revision, lambda: build(revision))
    assert built == [1, 2]


def test_a_large_configuration_is_sent_in_a_small_part_of_its_size():
    packed = PackedViews().pack("configuration", 1, lambda: _configuration(1))
    assert 8 * len(packed) < len(msgspec.msgpack.encode(_configuration(1)))


def test_views_that_this_release_does_not_know_are_left_out():
    answer = RenewAnswer(CallStatus.DONE, packed={"later": b"anything"})
    assert unpack_views(answer) == RenewAnswer(CallStatus.DONE)
