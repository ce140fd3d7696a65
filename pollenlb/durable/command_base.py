"""Base classes of replicated commands and their results."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from ..ids import FormatVersion


class Command(msgspec.Struct, frozen=True, tag=True):
    """Base class of all commands.

    The class name is the tag in the replicated log.

    Attributes
    ----------
    needed_format : FormatVersion
        Format since which releases read the command.
    """

    needed_format: ClassVar[FormatVersion] = FormatVersion(0)


class CommandResult(msgspec.Struct, frozen=True, tag=True):
    """Base class of all results of commands.

    The class name is the tag in snapshots and in messages.
    """


class Done(CommandResult, frozen=True):
    """The command took effect, now or at an earlier attempt."""


class Refused(CommandResult, frozen=True):
    """The command changed nothing.

    Attributes
    ----------
    reason : str
        Why the command was refused, in one sentence.
    """

    reason: str
