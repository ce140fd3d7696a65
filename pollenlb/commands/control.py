"""Run a control instance."""

from __future__ import annotations

import asyncio
import hashlib
import signal
from pathlib import Path

from ..clock import deadline_in, sleep_until
from ..durable.records import Member
from ..durable.replica import first_entries
from ..durable.storage import Storage, first_hard_state
from ..exceptions import PollenError
from ..ids import Address, ClusterId, InstanceName, ReplicaId
from ..process.control import ControlProcess, MakeApplication
from ..settings.control import ControlSettings
from ..version.order_channel import OrderChannel

_FAILURE_PAUSE_S = 1.5


def control(settings_file: Path) -> None:
    """Run ``pollen-control`` until it is told to stop.

    Parameters
    ----------
    settings_file : Path
        TOML file of ``ControlSettings``.
    """
    settings = ControlSettings.load(settings_file)
    asyncio.run(run_control(settings))


def init(settings_file: Path) -> None:
    """Format the data folder for the first start of a new cluster.

    Raises
    ------
    PollenError
        When the folder is formatted already.
    """
    settings = ControlSettings.load(settings_file)
    asyncio.run(_format(settings))


async def run_control(
    settings: ControlSettings,
    make_application: MakeApplication | None = None,
    orders: OrderChannel | None = None,
) -> None:
    """Run a control process until a signal ends it.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the instance.
    make_application : callable, optional
        Makes what is served over HTTP.
    orders : OrderChannel, optional
        How backend servers are given orders.
    """
    if settings.bootstrap and settings.listen in settings.seed_addresses:
        await _format_as_seed(settings)
    process = ControlProcess(settings, make_application, orders)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, process.record_sighup)
    await process.start()
    process.replica.fatal_error.add_done_callback(lambda _: stopped.set())
    await stopped.wait()
    if process.replica.fatal_error.done():
        # A disk without room fails again at once; others may take the calls.
        await sleep_until(deadline_in(_FAILURE_PAUSE_S))
    await process.stop()
    if process.replica.fatal_error.done():
        process.replica.fatal_error.result()


async def _format_as_seed(settings: ControlSettings) -> None:
    """Format an empty data folder as one of the first members, the seeds."""
    members = [
        Member(
            ReplicaId(f"{address}-first"), InstanceName(address), address, is_voter=True
        )
        for address in sorted(settings.seed_addresses)
    ]
    await _format_folder(settings, members, ReplicaId(f"{settings.listen}-first"))


async def _format_folder(
    settings: ControlSettings, members: list[Member], own: ReplicaId
) -> bool:
    """Format the data folder and tell whether it was empty."""
    storage = Storage(settings.data_folder)
    storage.open()
    try:
        if storage.is_formatted or storage.last_index:
            return False
        cluster = ClusterId(hashlib.sha256(repr(members).encode()).hexdigest()[:16])
        await storage.format(first_hard_state(own, cluster), first_entries(members))
        return True
    finally:
        storage.close()


async def _format(settings: ControlSettings) -> None:
    members = [
        Member(
            ReplicaId(f"{name}-first"),
            InstanceName(name),
            Address(member.address),
            is_voter=True,
        )
        for name, member in sorted(settings.members.items())
    ]
    if not await _format_folder(settings, members, ReplicaId(f"{settings.name}-first")):
        raise PollenError(f"{settings.data_folder} is formatted already")
