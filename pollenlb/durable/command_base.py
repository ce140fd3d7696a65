"""Base of all commands and their results."""

from __future__ import annotations

import msgspec


class Command(msgspec.Struct, frozen=True, tag=True):
    """Base of all commands."""


class CommandResult(msgspec.Struct, frozen=True, tag=True):
    """Base of all results of commands."""


class Done(CommandResult, frozen=True):
    """The command took effect, now or when it was first sent."""


class Refused(CommandResult, frozen=True):
    """The command changed nothing.

    Attributes
    ----------
    reason : str
        Why, in one sentence.
    """

    reason: str
