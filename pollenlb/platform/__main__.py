"""Starts a process on the platform: ``python3 -m pollenlb.platform ROLE``."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from ..exceptions import PollenError

SETTINGS_VARIABLE = "POLLENLB_CONFIG"  # path of the rendered template


def main(role: str) -> None:
    """Run one process until it is told to stop.

    Parameters
    ----------
    role : str
        ``entry`` or ``control``.
    """
    settings_file = Path(os.environ[SETTINGS_VARIABLE])
    if role == "entry":
        from ..commands.entry import run_entry
        from ..settings.entry import EntrySettings
        from .front import platform_protocol

        entry = EntrySettings.load(settings_file)
        asyncio.run(run_entry(entry, platform_protocol()))
    elif role == "control":
        from ..commands.control import run_control
        from ..settings.control import ControlSettings
        from .control import make_control_application
        from .orders import PlatformOrderChannel

        control = ControlSettings.load(settings_file)
        asyncio.run(
            run_control(control, make_control_application, PlatformOrderChannel())
        )
    else:
        raise PollenError(f"there is no role {role!r}; known are entry, control")


if __name__ == "__main__":
    try:
        main(" ".join(sys.argv[1:]))
    except PollenError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
