"""A disk without room: every write to it fails until room is made."""

from __future__ import annotations

import errno
import os
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager

from pollenlb.durable.storage import Storage


class _FullExecutor(ThreadPoolExecutor):
    """Fails writes with the error of a full disk, after the first few.

    Parameters
    ----------
    after_writes : int
        Number of writes that still find room.
    """

    def __init__(self, after_writes: int) -> None:
        super().__init__(max_workers=1)
        self._left = after_writes

    def submit(self, write, *args):
        """Hand in a write, or return one that has failed."""
        self._left -= 1
        if self._left >= 0:
            return super().submit(write, *args)
        failed: Future = Future()
        failed.set_exception(OSError(errno.ENOSPC, os.strerror(errno.ENOSPC)))
        return failed


@contextmanager
def full_disk(storage: Storage, after_writes: int = 0) -> Iterator[None]:
    """Leave room for only a few writes on the disk of a storage in the context."""
    executors = storage._executor, storage._snapshot_executor
    full = _FullExecutor(after_writes)
    storage._executor = storage._snapshot_executor = full
    try:
        yield
    finally:
        full.shutdown()
        storage._executor, storage._snapshot_executor = executors
