"""The commands of ``pollen-control``: run an instance, format its data folder."""

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
from ..process.control import ApplicationFactory, ControlProcess
from ..process.duty_channel import DutyChannel
from ..release import THIS_RELEASE, Release
from ..settings.control import ControlSettings
from ..version.order_channel import OrderChannel

# Delays the exit after a fatal storage error: with a full disk a restarted
# process would fail again at once, and other instances can take the calls.
_FATAL_ERROR_EXIT_DELAY_S = 1.5


def control(settings_file: Path) -> None:
    """Run ``pollen-control`` until SIGTERM or SIGINT stops it.

    Parameters
    ----------
    settings_file : Path
        TOML file of ``ControlSettings``.

    Raises
    ------
    SettingsError
        When the file cannot be read or has errors.
    Exception
        The replica's fatal error, such as ``StorageError``.
    """
    settings = ControlSettings.load(settings_file)
    asyncio.run(run_control(settings))


def init(settings_file: Path) -> None:
    """Format the data folder for the first start of a new cluster.

    Raises
    ------
    SettingsError
        When the settings file cannot be read or has errors.
    PollenError
        When the folder is already formatted or cannot be written.
    """
    settings = ControlSettings.load(settings_file)
    asyncio.run(format_data_folder(settings))


async def run_control(
    settings: ControlSettings,
    application_factory: ApplicationFactory | None = None,
    order_channel: OrderChannel | None = None,
    duty_channel: DutyChannel | None = None,
) -> None:
    """Run a control process until a signal or a fatal error stops it.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the instance.
    application_factory : callable, optional
        Creates the application that is served at ``http_listen``.
    order_channel : OrderChannel, optional
        How orders are sent to backend servers; by default in the native
        protocol.
    duty_channel : DutyChannel, optional
        How calls to the infrastructure's API are made; without it the duties of
        the settings are not carried out.

    Raises
    ------
    Exception
        The replica's fatal error, such as ``StorageError``.
    """
    if settings.bootstrap and settings.listen in settings.seed_addresses:
        await format_bootstrap_folder(settings)
    process = ControlProcess(settings, application_factory, order_channel, duty_channel)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, process.record_sighup)
    await process.start()
    process.replica.fatal_error.add_done_callback(lambda _: stopped.set())
    await stopped.wait()
    if process.replica.fatal_error.done():
        await sleep_until(deadline_in(_FATAL_ERROR_EXIT_DELAY_S))
    await process.stop()
    if process.replica.fatal_error.done():
        process.replica.fatal_error.result()


async def format_bootstrap_folder(settings: ControlSettings) -> None:
    """Format an empty data folder with the seeds as members of a new cluster."""
    members = [
        Member(
            ReplicaId(f"{address}-first"), InstanceName(address), address, is_voter=True
        )
        for address in sorted(settings.seed_addresses)
    ]
    own_replica = ReplicaId(f"{settings.listen}-first")
    await _format_folder(settings, members, own_replica, THIS_RELEASE)


async def _format_folder(
    settings: ControlSettings,
    members: list[Member],
    own_replica: ReplicaId,
    release: Release,
) -> bool:
    """Format the data folder if it is empty; return whether it was."""
    storage = Storage(settings.data_folder)
    storage.open()
    try:
        if storage.is_formatted or storage.last_index:
            return False
        cluster = ClusterId(hashlib.sha256(repr(members).encode()).hexdigest()[:16])
        await storage.format(
            first_hard_state(own_replica, cluster, release.reads),
            first_entries(members),
        )
        return True
    finally:
        storage.close()


async def format_data_folder(
    settings: ControlSettings, release: Release = THIS_RELEASE
) -> None:
    """Format the data folder with ``members`` as members of a new cluster.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the instance.
    release : Release
        Release of the instances, whose newest format the log uses from the start.

    Raises
    ------
    PollenError
        When the folder is already formatted or cannot be written.
    """
    members = [
        Member(
            ReplicaId(f"{name}-first"),
            InstanceName(name),
            Address(member.address),
            is_voter=True,
        )
        for name, member in sorted(settings.members.items())
    ]
    own_replica = ReplicaId(f"{settings.name}-first")
    if not await _format_folder(settings, members, own_replica, release):
        raise PollenError(
            f"{settings.data_folder} is already formatted as a data folder"
        )
