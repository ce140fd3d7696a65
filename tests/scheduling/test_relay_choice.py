"""Requests of a stranded entry go to peers that can take them."""

from __future__ import annotations

import random
from collections import Counter

from pollenlb.durable.leases import EntryInfo
from pollenlb.scheduling.relay_choice import choose_peers


def _entry(number: int, relay: str = "r") -> EntryInfo:
    return EntryInfo(f"entry-{number}", f"boot-{number}", "h", "d", relay)


_ENTRIES = [_entry(number) for number in range(5)]


def _choose(entries=_ENTRIES, stranded=frozenset(), failed=frozenset(), seed=1):
    rng = random.Random(seed)
    peers = choose_peers(entries, "boot-0", stranded, failed, rng)
    return [peer.boot for peer in peers]


def test_own_entry_and_those_without_relay_or_servers_get_no_request():
    entries = [*_ENTRIES, _entry(5, relay="")]
    chosen = _choose(entries, stranded={"boot-1", "boot-2"})
    assert sorted(chosen) == ["boot-3", "boot-4"]


def test_peers_that_failed_come_last():
    for seed in range(20):
        chosen = _choose(failed={"boot-1", "boot-3"}, seed=seed)
        assert set(chosen[2:]) == {"boot-1", "boot-3"}


def test_requests_are_spread_over_all_peers():
    firsts = Counter(_choose(seed=seed)[0] for seed in range(400))
    assert len(firsts) == 4
    assert max(firsts.values()) < 2 * min(firsts.values())
