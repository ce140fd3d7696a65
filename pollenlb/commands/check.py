"""The ``check`` commands: check a settings file."""

from __future__ import annotations

from pathlib import Path

from ..settings.control import ControlSettings
from ..settings.ctl import CtlSettings
from ..settings.entry import EntrySettings
from ..settings.options import Settings


def check_control(settings_file: Path) -> None:
    """Check a ``pollen-control`` settings file and print its warnings.

    Raises
    ------
    SettingsError
        When the file cannot be read or has errors; lists all of them.
    """
    _check(ControlSettings, settings_file)


def check_entry(settings_file: Path) -> None:
    """Check a ``pollen-entry`` settings file and print its warnings.

    Raises
    ------
    SettingsError
        When the file cannot be read or has errors; lists all of them.
    """
    _check(EntrySettings, settings_file)


def check_ctl(settings_file: Path) -> None:
    """Check a ``pollenctl`` settings file and print its warnings.

    Raises
    ------
    SettingsError
        When the file cannot be read or has errors; lists all of them.
    """
    _check(CtlSettings, settings_file)


def _check(settings_class: type[Settings], settings_file: Path) -> None:
    settings = settings_class.load(settings_file)
    for problem in settings.cross_option_problems():
        print(problem)
    print(f"{settings_file} is valid")
