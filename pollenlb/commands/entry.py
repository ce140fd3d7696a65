"""Run an entry instance."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from ..process.entry import AddRoutes, EntryProcess
from ..request.dialect import Dialect
from ..settings.entry import EntrySettings


def entry(settings_file: Path) -> None:
    """Run ``pollen-entry`` until it is told to stop.

    Parameters
    ----------
    settings_file : Path
        TOML file of ``EntrySettings``.
    """
    settings = EntrySettings.load(settings_file)
    asyncio.run(run_entry(settings))


async def run_entry(
    settings: EntrySettings,
    dialect: Dialect | None = None,
    add_routes: AddRoutes | None = None,
) -> None:
    """Run an entry process until a signal ends it.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the instance.
    dialect : Dialect, optional
        Protocol towards callers and backend servers; by default our own.
    add_routes : callable, optional
        Adds what the protocol offers beside callers' requests.
    """
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    process = EntryProcess(settings, dialect, add_routes)
    loop.add_signal_handler(signal.SIGHUP, process.note_hangup)
    await process.start()
    await stopped.wait()
    await process.stop()
