"""Events of a process, written as one ``eliot`` message a line."""

from __future__ import annotations

import contextlib
import os
import sys
import time
import uuid
from pathlib import Path
from typing import Any, TextIO

import msgspec

from .clock import HybridClock, Timestamp

EVENT_FILE = "events.jsonl"

_LINES_PER_S = 100.0
_MOST_BURST = 400


class _StandardOutput:
    """Writes lines to standard output without ever waiting for its reader.

    Lines beyond a budget, and lines for which the pipe has no room, are left
    out; how many is written as soon as there is room again.
    """

    def __init__(self) -> None:
        self._descriptor = sys.stdout.fileno()
        self._room = float(_MOST_BURST)
        self._filled_at = time.monotonic()
        self._left_out = 0
        self._rest = b""
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)

    def take(self) -> int | None:
        """Take a line out of the budget.

        Returns
        -------
        int or None
            Lines left out since the last one; None when there is no room.
        """
        moment = time.monotonic()
        added = (moment - self._filled_at) * _LINES_PER_S
        self._room = min(_MOST_BURST, self._room + added)
        self._filled_at = moment
        if self._room < 1 or not self._flush():
            self._left_out += 1
            return None
        self._room -= 1
        left_out, self._left_out = self._left_out, 0
        return left_out

    def write(self, line: bytes) -> None:
        """Write a line as far as there is room for it now."""
        self._rest += line
        self._flush()

    def _flush(self) -> bool:
        if not self._rest:
            return True
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more; there is nowhere to tell it.
            self._rest = b""
            return True
        self._rest = self._rest[written:]
        return not self._rest


class EventLog:
    """Writes changes of state with a hybrid logical timestamp.

    Parameters
    ----------
    process : str
        Name of the process, written with every event.
    data_folder : Path or None
        Folder of the event file; None writes to standard output.
    """

    def __init__(self, process: str, data_folder: Path | None) -> None:
        self._process = process
        self._clock = HybridClock()
        self._file: TextIO | None = None
        self._output: _StandardOutput | None = None
        self._task = str(uuid.uuid4())
        self._count = 0
        if data_folder is None:
            self._output = _StandardOutput()
            return
        data_folder.mkdir(parents=True, exist_ok=True)
        path = data_folder / EVENT_FILE
        # Imported here, since a process that logs to standard output saves
        # some megabytes without it.
        import eliot

        self._file = path.open("a", buffering=1, encoding="utf-8")
        self._destination = eliot.FileDestination(file=self._file)

    @property
    def clock(self) -> HybridClock:
        """The hybrid logical clock of this process."""
        return self._clock

    def record(self, kind: str, **fields: Any) -> None:
        """Write one event.

        Parameters
        ----------
        kind : str
            What happened, in the form ``noun.verb``.
        **fields
            Plain values that tell more.
        """
        if self._output is not None:
            left_out = self._output.take()
            if left_out is None:
                return
            if left_out:
                fields["lines_left_out"] = left_out
            self._output.write(_encode(self._message(kind, fields)) + b"\n")
        elif self._file is not None:
            self._destination(self._message(kind, fields))

    def observe(self, text: str) -> None:
        """Take note of the timestamp that came with a message.

        Timestamps that cannot be read are ignored.
        """
        try:
            self._clock.observe(Timestamp.parse(text))
        except ValueError:
            return

    def close(self) -> None:
        """Close the event file."""
        if self._file is not None:
            self._file.close()

    def _message(self, kind: str, fields: dict[str, Any]) -> dict[str, Any]:
        self._count += 1
        return {
            **fields,
            "message_type": kind,
            "process": self._process,
            "hlc": str(self._clock.tick()),
            "timestamp": time.time(),
            "task_uuid": self._task,
            "task_level": [self._count],
        }


def _encode(message: dict[str, Any]) -> bytes:
    return msgspec.json.encode(message, enc_hook=str)
