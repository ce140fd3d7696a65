"""Event log of a process, with one ``eliot`` message per line."""

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

# Token bucket for standard output.
_LINES_PER_S = 100.0
_MAX_BURST_LINES = 400


class _StandardOutput:
    """Writes lines to standard output without blocking.

    Lines beyond the rate limit are left out, and so are lines while the pipe is
    full. ``reserve_line`` returns how many were left out, for the next line.
    """

    def __init__(self) -> None:
        self._descriptor = sys.stdout.fileno()
        self._available_lines = float(_MAX_BURST_LINES)
        self._refilled_at = time.monotonic()
        self._left_out_count = 0
        self._unwritten = b""
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)

    def reserve_line(self) -> int | None:
        """Reserve capacity for one line, or count the line as left out.

        Returns
        -------
        int or None
            Number of lines left out since the last reservation; None when the
            line is to be left out.
        """
        refilled_at = time.monotonic()
        added = (refilled_at - self._refilled_at) * _LINES_PER_S
        self._available_lines = min(_MAX_BURST_LINES, self._available_lines + added)
        self._refilled_at = refilled_at
        if self._available_lines < 1 or not self._flush():
            self._left_out_count += 1
            return None
        self._available_lines -= 1
        left_out, self._left_out_count = self._left_out_count, 0
        return left_out

    def write(self, line: bytes) -> None:
        """Write as much of a line as the pipe takes now, and buffer the rest."""
        self._unwritten += line
        self._flush()

    def _flush(self) -> bool:
        if not self._unwritten:
            return True
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe, so the error cannot be reported.
            self._unwritten = b""
            return True
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


class EventLog:
    """Writes events with hybrid logical timestamps, as JSON lines.

    Parameters
    ----------
    process : str
        Name of the process, written with every event.
    data_folder : Path or None
        Folder of the event file, created if it is missing. None writes to
        standard output, where events beyond a rate limit, or while the pipe is
        full, are left out, so that a slow reader never blocks the process.
    """

    def __init__(self, process: str, data_folder: Path | None) -> None:
        self._process = process
        self._clock = HybridClock()
        self._file: TextIO | None = None
        self._standard_output: _StandardOutput | None = None
        self._task_uuid = str(uuid.uuid4())
        self._message_count = 0
        if data_folder is None:
            self._standard_output = _StandardOutput()
            return
        data_folder.mkdir(parents=True, exist_ok=True)
        path = data_folder / EVENT_FILE
        # Imported here, since a process that writes to standard output saves
        # some megabytes of memory without it.
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
            Kind of the event, in the form ``noun.verb``.
        **fields
            Details of the event, as values that JSON can represent.
        """
        if self._standard_output is not None:
            left_out = self._standard_output.reserve_line()
            if left_out is None:
                return
            if left_out:
                fields["lines_left_out"] = left_out
            self._standard_output.write(
                _encode(self._build_message(kind, fields)) + b"\n"
            )
        elif self._file is not None:
            self._destination(self._build_message(kind, fields))

    def observe(self, text: str) -> None:
        """Advance the clock to the timestamp that was received with a message.

        Timestamps that cannot be parsed are ignored.
        """
        try:
            self._clock.observe(Timestamp.parse(text))
        except ValueError:
            return

    def close(self) -> None:
        """Close the event file."""
        if self._file is not None:
            self._file.close()

    def _build_message(self, kind: str, fields: dict[str, Any]) -> dict[str, Any]:
        self._message_count += 1
        return {
            **fields,
            "message_type": kind,
            "process": self._process,
            "hlc": str(self._clock.tick()),
            "timestamp": time.time(),
            "task_uuid": self._task_uuid,
            "task_level": [self._message_count],
        }


def _encode(message: dict[str, Any]) -> bytes:
    return msgspec.json.encode(message, enc_hook=str)
