"""Changes that a cancellation of the caller does not interrupt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any, ParamSpec, TypeVar

P = ParamSpec("P")
T = TypeVar("T")


def uninterrupted(
    change: Callable[P, Coroutine[Any, Any, T]],
) -> Callable[P, Coroutine[Any, Any, T]]:
    """Decorate a coroutine function so that it ends before its caller is cancelled.

    gRPC cancels a handler when its caller is gone or its deadline has passed, and a
    leader that steps down cancels its tasks. A write to the disk goes on
    nevertheless, so that what the process knows of the disk has to follow.

    The cancellation takes effect when the change has ended; until then the caller
    keeps the locks that it holds. An error of the change goes before it.
    """

    @wraps(change)
    async def run(*args: P.args, **options: P.kwargs) -> T:
        task = asyncio.ensure_future(change(*args, **options))
        is_cancelled = False
        while not task.done():
            try:
                await asyncio.wait([task])
            except asyncio.CancelledError:
                is_cancelled = True
        result = task.result()
        if is_cancelled:
            raise asyncio.CancelledError
        return result

    return run
