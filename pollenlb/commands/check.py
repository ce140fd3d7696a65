"""Check a settings file."""

from __future__ import annotations

from pathlib import Path

from ..settings.control import ControlSettings
from ..settings.ctl import CtlSettings
from ..settings.entry import EntrySettings
from ..settings.options import Settings


def check_control(settings_file: Path) -> None:
    """Print every problem of a ``pollen-control`` settings file."""
    _check(ControlSettings, settings_file)


def check_entry(settings_file: Path) -> None:
    """Print every problem of a ``pollen-entry`` settings file."""
    _check(EntrySettings, settings_file)


def check_ctl(settings_file: Path) -> None:
    """Print every problem of a ``pollenctl`` settings file."""
    _check(CtlSettings, settings_file)


def _check(settings_class: type[Settings], settings_file: Path) -> None:
    settings = settings_class.load(settings_file)
    for problem in settings.further_problems():
        print(problem)
    print(f"{settings_file} is valid")
