"""Finds out when an entry that reached no backend server reaches one again."""

from __future__ import annotations

import asyncio

from ..clock import deadline_in, sleep_until
from ..request.contact import has_contact
from .context import EntryContext

_INTERVAL_S = 0.2


class ContactProbes:
    """Asks backend servers in turn while this entry is taken to reach none.

    Such an entry gets no work that would show it that the network is back.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the task that asks."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await sleep_until(deadline_in(_INTERVAL_S))
            servers = list(self._context.directory.servers.values())
            if self._context.reachability.is_stranded and servers:
                await has_contact(self._context.rng.choice(servers), self._context)
