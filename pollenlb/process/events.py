"""Events of a process, written as one ``eliot`` message a line."""

from __future__ import annotations

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
        if data_folder is not None:
            data_folder.mkdir(parents=True, exist_ok=True)
            path = data_folder / EVENT_FILE
            self._file = path.open("a", buffering=1, encoding="utf-8")
        self._logger = eliot.Logger()
        self._logger._destinations = eliot._output.Destinations()
        if self._file is not None:
            self._logger._destinations.add(eliot.FileDestination(file=self._file))

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
        timestamp = self._clock.tick()
        message = {"process": self._process, "hlc": str(timestamp), **fields}
        eliot.Message.new(_serializer=None, message_type=kind, **message).write(
            self._logger
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
