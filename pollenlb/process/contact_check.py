"""Finds out when an entry that reached no backend server reaches one again."""

from __future__ import annotations

import asyncio

from ..clock import Deadline, deadline_in, now, sleep_until
from ..connection.backend import BackendServer
from ..connection.backend_api import ProcessCheck
from ..request.process_check import ask_for_contact
from .context import EntryContext

_POLL_INTERVAL_S = 0.1
_CHECK_INTERVAL_S = 1.0
_CHECK_TIMEOUT_S = 0.5
# Servers that are asked at a time, as some may have crashed.
_ASKED_SERVERS = 2


class ContactCheck:
    """Asks a few backend servers at intervals, but only while none is reached.

    Requests go through other entries meanwhile, and so do not find out.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the task that checks."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await sleep_until(deadline_in(_POLL_INTERVAL_S))
            if not self._context.reachability.is_stranded:
                continue
            try:
                await self._wait_for_contact()
            except Exception as error:  # it is checked again
                self._context.events.record("contact_check.failed", reason=repr(error))

    async def _wait_for_contact(self) -> None:
        """Ask servers until one is reached, and then those that had failed."""
        context = self._context
        context.events.record("entry.stranded")
        stranded_at = now()
        while context.reachability.is_stranded:
            check_at = deadline_in(_CHECK_INTERVAL_S)
            servers = list(context.directory.servers.values())
            asked = context.rng.sample(servers, min(_ASKED_SERVERS, len(servers)))
            await asyncio.gather(*map(self._ask, asked))
            while context.reachability.is_stranded and now() < check_at:
                pause_until = min(check_at, deadline_in(_POLL_INTERVAL_S))
                await sleep_until(Deadline(pause_until))
        context.events.record("entry.in_contact", after_s=round(now() - stranded_at, 3))
        # The others need not wait until they are tried again.
        await asyncio.gather(
            *(
                self._ask(server)
                for server in list(context.directory.servers.values())
                if not server.is_usable and server.is_eligible
            )
        )

    async def _ask(self, server: BackendServer) -> None:
        """Ask a server over a new connection; any answer shows that it is reached."""
        check = await ask_for_contact(server, self._context, _CHECK_TIMEOUT_S)
        if check in (ProcessCheck.SAME, ProcessCheck.UNKNOWN):
            server.record_answer()
