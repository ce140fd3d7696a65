"""Start a process on the platform with ``python3 -m pollenlb.platform ROLE``."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from ..exceptions import PollenError

# Environment variable that holds the path of the settings file, which the platform
# renders from a template.
SETTINGS_PATH_VARIABLE = "POLLENLB_CONFIG"


def main(role: str) -> None:
    """Run an entry process or a control instance until it is signalled to stop.

    The settings file is the one that the environment variable
    ``POLLENLB_CONFIG`` names.

    Parameters
    ----------
    role : str
        ``entry`` or ``control``.

    Raises
    ------
    KeyError
        When the environment variable is not set.
    PollenError
        When the role is unknown, the settings are invalid, or the storage of
        a control instance fails.
    OSError
        When an address to listen on cannot be bound.
    """
    environment = os.environ
    settings_file = Path(environment[SETTINGS_PATH_VARIABLE])
    if role == "entry":
        from ..commands.entry import run_entry
        from ..settings.entry import EntrySettings
        from .entry_protocol import platform_protocol

        entry = EntrySettings.load(settings_file)
        asyncio.run(run_entry(entry, platform_protocol()))
    elif role == "control":
        from ..commands.control import run_control
        from ..settings.control import ControlSettings
        from .control import make_control_application
        from .duties import PlatformDutyChannel
        from .duty_settings import read_duty_settings
        from .orders import PlatformOrderChannel

        control = ControlSettings.load(settings_file, read_duty_settings(environment))
        asyncio.run(
            run_control(
                control,
                make_control_application,
                PlatformOrderChannel(),
                PlatformDutyChannel(),
            )
        )
    else:
        raise PollenError(f"unknown role {role!r}; expected entry or control")


if __name__ == "__main__":
    try:
        main(" ".join(sys.argv[1:]))
    except PollenError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
