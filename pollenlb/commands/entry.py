"""Run an entry instance."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from ..process.entry import EntryProcess
from ..settings.entry import EntrySettings


def entry(settings_file: Path) -> None:
    """Run ``pollen-entry`` until it is told to stop.

    Parameters
    ----------
    settings_file : Path
        TOML file of ``EntrySettings``.
    """
    settings = EntrySettings.load(settings_file)
    asyncio.run(_run(settings))


async def _run(settings: EntrySettings) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    process = EntryProcess(settings)
    await process.start()
    await stopped.wait()
    await process.stop()
