"""Choice of the backend server for an attempt."""

from __future__ import annotations

import random
from collections.abc import Sequence

from ..connection.backend import BackendServer
from ..ids import BackendServerName

_CHOICES = 2


def choose_server(
    servers: Sequence[BackendServer],
    tried: set[BackendServerName],
    rng: random.Random,
) -> BackendServer | None:
    """Return the less loaded of two backend servers drawn at random.

    Parameters
    ----------
    servers : sequence of BackendServer
        Those that may get new work.
    tried : set of BackendServerName
        Those that failed the request before; never chosen.
    rng : random.Random
        Draws the two.
    """
    fresh = [each for each in servers if each.name not in tried]
    if not fresh:
        return None
    drawn = rng.sample(fresh, min(_CHOICES, len(fresh)))
    return min(drawn, key=lambda each: (each.load, each.latency_s))
