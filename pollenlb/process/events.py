"""Events of a process, written as one ``eliot`` message a line."""

from __future__ import annotations

import time
import uuid
from pathlib import Path
from typing import Any, TextIO

import eliot

from .clock import HybridClock, Timestamp

EVENT_FILE = "events.jsonl"


class EventLog:
    """Writes changes of state with a hybrid logical timestamp.

    Parameters
    ----------
    process : str
        Name of the process, written with every event.
    data_folder : Path or None
        Folder of the event file; None writes nothing.
    """

    def __init__(self, process: str, data_folder: Path | None) -> None:
        self._process = process
        self._clock = HybridClock()
        self._file: TextIO | None = None
        if data_folder is None:
            return
        data_folder.mkdir(parents=True, exist_ok=True)
        path = data_folder / EVENT_FILE
        self._file = path.open("a", buffering=1, encoding="utf-8")
        self._destination = eliot.FileDestination(file=self._file)
        self._task = str(uuid.uuid4())
        self._count = 0

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
        if self._file is None:
            return
        self._count += 1
        self._destination(
            {
                **fields,
                "message_type": kind,
                "process": self._process,
                "hlc": str(self._clock.tick()),
                "timestamp": time.time(),
                "task_uuid": self._task,
                "task_level": [self._count],
            }
        )

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
