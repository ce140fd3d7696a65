"""Command lines of the three programs."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from .exceptions import PollenError

SettingsFile = Annotated[
    Path, cappa.Arg(long="--settings", help="Settings file in TOML.")
]


@dataclass
class Check:
    """Check the settings file and print every problem."""


@dataclass
class Init:
    """Format the data folder for the first start of a new cluster."""


@cappa.command(name="pollen-control")
@dataclass
class Control:
    """Run a control instance: a replica of the log."""

    settings: SettingsFile
    action: cappa.Subcommands[Check | Init | None] = None


@cappa.command(name="pollen-entry")
@dataclass
class Entry:
    """Run an entry instance: takes requests and routes them."""

    settings: SettingsFile
    action: cappa.Subcommands[Check | None] = None


def run_control() -> None:
    """Start ``pollen-control``."""
    arguments = cappa.parse(Control)
    from .commands import check, control

    if isinstance(arguments.action, Check):
        _end(check.check_control, arguments.settings)
    elif isinstance(arguments.action, Init):
        _end(control.init, arguments.settings)
    else:
        _end(control.control, arguments.settings)


def run_entry() -> None:
    """Start ``pollen-entry``."""
    arguments = cappa.parse(Entry)
    from .commands import check, entry

    if isinstance(arguments.action, Check):
        _end(check.check_entry, arguments.settings)
    else:
        _end(entry.entry, arguments.settings)


def _end(command, *arguments) -> None:
    try:
        command(*arguments)
    except PollenError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    except OSError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(1)
