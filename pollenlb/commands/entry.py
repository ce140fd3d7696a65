"""Run an entry instance."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from ..process.entry import EntryProcess, EntryProtocol
from ..settings.entry import EntrySettings


def entry(settings_file: Path) -> None:
    """Run ``pollen-entry`` until it is told to stop.

    Parameters
    ----------
    settings_file : Path
        TOML file of ``EntrySettings``.
    """
    from ..request.native_protocol import native_protocol

    settings = EntrySettings.load(settings_file)
    asyncio.run(run_entry(settings, native_protocol()))


async def run_entry(settings: EntrySettings, protocol: EntryProtocol) -> None:
    """Run an entry process until a signal ends it.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the instance.
    protocol : EntryProtocol
        What it speaks with callers and backend servers.
    """
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    process = EntryProcess(settings, protocol)
    loop.add_signal_handler(signal.SIGHUP, process.record_sighup)
    await process.start()
    await stopped.wait()
    await process.stop()
