"""Tells the other entries of backend servers that said in an answer that they leave."""

from __future__ import annotations

import asyncio

import msgspec

from ..clock import Deadline, deadline_in, sleep_until
from ..durable.configuration_commands import (
    Announcement,
    AnnounceServer,
    ServerState,
)
from ..exceptions import ControlError
from ..ids import CommandId, new_id
from .context import EntryContext

# Most servers announce it by themselves, or another entry reports it, meanwhile.
_MIN_DELAY_S = 0.5
_MAX_DELAY_S = 1.5
_TIMEOUT_S = 2.0


class LeavingReports:
    """Enters servers that leave in the directory unless their announcements do.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the task that reports."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        found = self._context.directory.found_leaving
        async with asyncio.TaskGroup() as reports:
            while True:
                delay_s = self._context.rng.uniform(_MIN_DELAY_S, _MAX_DELAY_S)
                reports.create_task(
                    self._report(await found.get(), deadline_in(delay_s))
                )

    async def _report(self, announcement: Announcement, report_at: Deadline) -> None:
        await sleep_until(report_at)
        server = self._context.directory.servers.get(announcement.server)
        # Without a start, the directory takes later announcements for another process.
        if server is None or not announcement.started_at_ms:
            return
        known = server.announcement
        is_same_process = known.boot == announcement.boot
        if not is_same_process or known.state is ServerState.LEAVING:
            return
        leaving = msgspec.structs.replace(known, state=ServerState.LEAVING)
        try:
            await self._context.control.propose(
                AnnounceServer(leaving),
                CommandId(new_id("leaving")),
                deadline_in(_TIMEOUT_S),
            )
        except ControlError as error:
            self._context.events.record(
                "server.leaving_not_reported", server=known.server, reason=str(error)
            )
