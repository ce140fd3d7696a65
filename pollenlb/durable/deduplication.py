"""First answers of commands, so that a resend does nothing twice."""

from __future__ import annotations

import msgspec

from ..ids import CommandId
from .commands import AnyResult

MOST_COMMANDS = 20_000


class CommandTable(msgspec.Struct):
    """Results by command id, oldest first, bounded in number.

    Attributes
    ----------
    results : dict
        First result of each command.
    """

    results: dict[CommandId, AnyResult] = {}

    def find(self, command_id: CommandId | None) -> AnyResult | None:
        """Return the first result of a command, or None when it is new."""
        if command_id is None:
            return None
        return self.results.get(command_id)

    def remember(self, command_id: CommandId | None, result: AnyResult) -> None:
        """Store the first result of a command."""
        if command_id is None:
            return
        self.results[command_id] = result
        while len(self.results) > MOST_COMMANDS:
            del self.results[next(iter(self.results))]
