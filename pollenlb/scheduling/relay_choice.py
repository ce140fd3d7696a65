"""Which other entries get a request that this one cannot send to a backend server."""

from __future__ import annotations

import random
from collections.abc import Collection, Set

from ..durable.leases import EntryInfo
from ..ids import BootId


def choose_peers(
    entries: Collection[EntryInfo],
    own: BootId,
    stranded: Set[BootId],
    failed: Set[BootId],
    rng: random.Random,
) -> list[EntryInfo]:
    """Return the entries that may get a relayed request, the first choice first.

    The order is random, so that the peers share the requests of a stranded entry;
    neither load nor failure domain counts.

    Parameters
    ----------
    entries : collection of EntryInfo
        Live entries.
    own : BootId
        This entry.
    stranded : set of BootId
        Entries that report that they reach no backend server; they get none.
    failed : set of BootId
        Entries that could not take a request a moment ago; they come last.
    rng : random.Random
        Source of the order.
    """
    peers = [
        entry
        for entry in entries
        if entry.relay and entry.boot != own and entry.boot not in stranded
    ]
    rng.shuffle(peers)
    return sorted(peers, key=lambda entry: entry.boot in failed)
