"""Run a control instance."""

from __future__ import annotations

import asyncio
import hashlib
import signal
from pathlib import Path

from ..durable.records import Member
from ..durable.replica import first_entries
from ..durable.storage import Storage, first_hard_state
from ..exceptions import PollenError
from ..ids import Address, ClusterId, InstanceName, ReplicaId
from ..process.control import ControlProcess
from ..settings.control import ControlSettings


def control(settings_file: Path) -> None:
    """Run ``pollen-control`` until it is told to stop.

    Parameters
    ----------
    settings_file : Path
        TOML file of ``ControlSettings``.
    """
    settings = ControlSettings.load(settings_file)
    asyncio.run(_run(settings))


def init(settings_file: Path) -> None:
    """Format the data folder for the first start of a new cluster.

    Raises
    ------
    PollenError
        When the folder is formatted already.
    """
    settings = ControlSettings.load(settings_file)
    asyncio.run(_format(settings))


async def _run(settings: ControlSettings) -> None:
    process = ControlProcess(settings)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await process.start()
    process.replica.failure.add_done_callback(lambda _: stopped.set())
    await stopped.wait()
    if process.replica.failure.done():
        process.replica.failure.result()
    await process.stop()


async def _format(settings: ControlSettings) -> None:
    storage = Storage(settings.data_folder)
    storage.open()
    if storage.is_formatted or storage.last_index:
        raise PollenError(f"{settings.data_folder} is formatted already")
    members = [
        Member(
            ReplicaId(f"{name}-first"),
            InstanceName(name),
            Address(member.address),
            is_voter=True,
        )
        for name, member in sorted(settings.members.items())
    ]
    cluster = ClusterId(hashlib.sha256(repr(members).encode()).hexdigest()[:16])
    own = ReplicaId(f"{settings.name}-first")
    await storage.format(first_hard_state(own, cluster), first_entries(members))
    storage.close()
