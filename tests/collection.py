"""Parsing of source that garbage collection does not break."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def garbage_collection_paused() -> Iterator[None]:
    """Pause the collector, since a finalizer that parses breaks CPython's parser.

    A collection inside ``ast.parse`` may end a task whose exception nobody read. It is
    logged with its traceback, for which CPython 3.11 calls ``ast.parse`` again, and the
    outer call raises ``SystemError`` (python/cpython#106905).
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
