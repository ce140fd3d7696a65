"""The live entry processes, as one of them knows them."""

from __future__ import annotations

from ..durable.leases import EntryInfo
from ..ids import BootId
from .control_api import EntriesView


class LiveEntries:
    """Entry processes with a live lease, this one included."""

    def __init__(self) -> None:
        self._version = 0
        self._entries: list[EntryInfo] = []
        self._stranded: set[BootId] = set()

    @property
    def version(self) -> int:
        """Version of the list that was applied last; 0 before the first."""
        return self._version

    @property
    def all(self) -> list[EntryInfo]:
        """A copy of the list of live entry processes."""
        return list(self._entries)

    @property
    def stranded(self) -> set[BootId]:
        """A copy of the set of those that reported to reach no backend server."""
        return set(self._stranded)

    def apply(self, view: EntriesView) -> None:
        """Replace the list of live entry processes."""
        self._version = view.version
        self._entries = view.entries
        self._stranded = set(view.stranded)
