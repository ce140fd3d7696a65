"""Command with which the log begins to use a newer format."""

from __future__ import annotations

from typing import ClassVar

from ..ids import FormatVersion
from ..release import WORKSPACES_APART
from .command_base import Command


class AdoptFormat(Command, frozen=True):
    """Gives the commands after it the effect that they have in a format.

    Replicas of all releases apply one log to one state, so that a command may have
    another effect only from an agreed place in the log on.

    Attributes
    ----------
    format : FormatVersion
        The format; an earlier one than that in use changes nothing.
    """

    needed_format: ClassVar[FormatVersion] = WORKSPACES_APART

    format: FormatVersion
