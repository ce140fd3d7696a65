"""A disk that keeps writes waiting, to cancel a change in the middle of one."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from pollenlb.durable.storage import Storage


class _GatedExecutor(ThreadPoolExecutor):
    """Runs a write only when the gate is open, and counts the writes handed in."""

    def __init__(self) -> None:
        super().__init__(max_workers=1)
        self.gate = threading.Event()
        self.submitted = 0

    def submit(self, write, *args):
        """Hand in a write."""
        self.submitted += 1

        def wait_and_write():
            self.gate.wait()
            return write(*args)

        return super().submit(wait_and_write)


async def cancel_at_write(storage: Storage, change: Coroutine, write: int) -> None:
    """Cancel a change of a storage while it waits for its n-th write to the disk."""
    executors = storage._executor, storage._snapshot_executor
    gated = _GatedExecutor()
    storage._executor = storage._snapshot_executor = gated
    task = asyncio.ensure_future(change)
    while gated.submitted < write and not task.done():
        await asyncio.sleep(0)
        if gated.submitted < write:
            gated.gate.set()
    gated.gate.clear()
    task.cancel()
    for _ in range(3):
        await asyncio.sleep(0)
    gated.gate.set()
    with suppress(asyncio.CancelledError):
        await task
    gated.shutdown()
    storage._executor, storage._snapshot_executor = executors
