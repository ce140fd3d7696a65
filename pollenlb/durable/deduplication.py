"""Deduplication: stored results of commands, so that a resend takes effect once."""

from __future__ import annotations

import msgspec

from ..ids import CommandId
from .commands import AnyResult

MAX_COMMAND_COUNT = 20_000  # a resend after so many later commands is applied again


class CommandResultTable(msgspec.Struct):
    """Results of the latest commands that have an id.

    Attributes
    ----------
    results : dict
        First result of each command by command id, oldest first; bounded by
        ``MAX_COMMAND_COUNT``.
    """

    results: dict[CommandId, AnyResult] = {}

    def find(self, command_id: CommandId | None) -> AnyResult | None:
        """Return the first result of a command, or None when it is new or has no id."""
        if command_id is None:
            return None
        return self.results.get(command_id)

    def store(self, command_id: CommandId | None, result: AnyResult) -> None:
        """Store the first result of a command that has an id."""
        if command_id is None:
            return
        self.results[command_id] = result
        while len(self.results) > MAX_COMMAND_COUNT:
            del self.results[next(iter(self.results))]
