"""Decides how many slots of an engine items may use while it loads new weights.

Answers this load: a trainer releases a weight version with each step, so engines load
versions all the time, one takes 0.9 s or more, and the engine refuses new items until
it is done. Items are placed in bursts, so that dozens of them are refused unless their
owner knows of the load. An engine that refuses items for a reason that is not known
gets one item at a time until one of them has generated an event.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..connection.backend import BackendServer
from ..connection.control_api import PlannedLoad
from ..ids import BackendServerName

# A load that has not ended within this time is assumed to have failed. One takes
# 0.9 s to 2 s, and the leader abandons one that an engine refuses.
_MAX_LOAD_S = 4.0
# An engine that refused an item is tried again after this delay, so that the end of
# a change of weights that was not announced is found soon.
_REFUSAL_RETRY_DELAY_S = 0.2


@dataclass(frozen=True)
class ItemRun:
    """A run of an item at an engine.

    Attributes
    ----------
    started_at : float
        Monotonic time at which it started, in seconds.
    last_event_at : float
        Monotonic time of its last event, or of its start before the first one.
    """

    started_at: float
    last_event_at: float


class EngineAvailability:
    """Planned loads of weights and refusals, as one owner of batch jobs knows them."""

    def __init__(self) -> None:
        self._loads: dict[BackendServerName, tuple[PlannedLoad, float]] = {}
        self._refused_at: dict[BackendServerName, float] = {}

    def apply_loads(
        self, loads: Mapping[BackendServerName, PlannedLoad], at: float
    ) -> None:
        """Replace the planned loads; one that is missing has been abandoned.

        Parameters
        ----------
        loads : mapping
            Planned load by engine.
        at : float
            Monotonic time in seconds.
        """
        known = self._loads
        self._loads = {}
        for server, load in loads.items():
            known_load, known_at = known.get(server, (None, at))
            self._loads[server] = (load, known_at if known_load == load else at)

    def is_loading(self, server: BackendServer, at: float) -> bool:
        """Return whether an engine is about to load or is loading a version.

        The load ends when the engine serves the version, when another process of
        the engine runs, or after a bounded time.

        Parameters
        ----------
        server : BackendServer
            The engine.
        at : float
            Monotonic time in seconds.
        """
        load, known_at = self._loads.get(server.name, (None, 0.0))
        if load is None or load.boot != server.boot or at >= known_at + _MAX_LOAD_S:
            return False
        return server.model_version(load.model) < load.version

    def record_refusal(self, server: BackendServer, at: float) -> bool:
        """Record that an engine refused an item; return whether a load explains it.

        Parameters
        ----------
        server : BackendServer
            The engine.
        at : float
            Monotonic time in seconds.
        """
        is_loading = self.is_loading(server, at)
        if not is_loading:
            self._refused_at[server.name] = at
        return is_loading

    def usable_slots(
        self,
        server: BackendServer,
        unavailable_slots: int,
        runs: Iterable[ItemRun],
        at: float,
    ) -> int:
        """Return the number of an engine's slots to use.

        None are used during a load. An engine that refused an item gets one item at
        a time until one of them has generated an event.

        Parameters
        ----------
        server : BackendServer
            The engine.
        unavailable_slots : int
            Number of slots that are in use or reserved.
        runs : iterable of ItemRun
            The runs of items at the engine.
        at : float
            Monotonic time in seconds.
        """
        if self.is_loading(server, at):
            # The load explains a refusal before it was known.
            self._refused_at.pop(server.name, None)
            return 0
        refused_at = self._refused_at.get(server.name)
        if refused_at is None:
            return server.load.slots
        retries = [run for run in runs if run.started_at > refused_at]
        if any(run.last_event_at > run.started_at for run in retries):
            del self._refused_at[server.name]
            return server.load.slots
        if retries or at < refused_at + _REFUSAL_RETRY_DELAY_S:
            return 0
        return min(server.load.slots, unavailable_slots + 1)

    def forget_unlisted(self, listed: Iterable[BackendServerName]) -> None:
        """Forget refusals of engines that are no longer in the directory."""
        for server in self._refused_at.keys() - set(listed):
            del self._refused_at[server]
