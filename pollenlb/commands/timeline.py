"""The ``timeline`` command: events of all processes in causal order."""

from __future__ import annotations

import datetime
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from ..clock import Timestamp
from ..events import EVENT_FILE
from ..exceptions import PollenError
from .output import print_json
from .timeline_svg import draw_lanes

_LOG_SUFFIX = ".log"  # of files with the standard output of a process

# Keys of every event; all others are fields of its kind.
_ENVELOPE_KEYS = frozenset(
    ("process", "hlc", "timestamp", "task_uuid", "task_level", "message_type")
)


class Event(msgspec.Struct, frozen=True):
    """An event that a process recorded.

    Attributes
    ----------
    at : Timestamp
        Hybrid logical timestamp, which orders events causally.
    process : str
        Name of the process.
    kind : str
        What happened, in the form ``noun.verb``.
    fields : dict
        Values that describe what happened.
    """

    at: Timestamp
    process: str
    kind: str
    fields: dict[str, Any]

    @property
    def description(self) -> str:
        """The kind and the fields in one line."""
        details = ", ".join(f"{key} {value}" for key, value in self.fields.items())
        return f"{self.kind.replace('.', ' ').replace('_', ' ')}: {details}".rstrip(
            ": "
        )


def timeline(
    folders: list[Path],
    about: str | None,
    last_s: float | None,
    svg: Path | None,
    is_json: bool,
) -> None:
    """Print the events of all processes in causal order.

    Parameters
    ----------
    folders : list of Path
        Folders that hold event files or the standard output of processes
        (``*.log``) at any depth, or such files.
    about : str or None
        Only events that have this text in a field, such as the id of a request,
        sample or command, or the name of a backend server or a process.
    last_s : float or None
        Only events of the last seconds before the newest event.
    svg : Path or None
        SVG file to draw them in, one lane per process, instead of printing.
    is_json : bool
        Whether to print JSON instead of lines.

    Raises
    ------
    PollenError
        When there is no event file.
    """
    events = select_events(merge_events(folders), about, last_s)
    if svg is not None:
        svg.write_bytes(draw_lanes(events))
        print(f"{len(events)} events are drawn in {svg}")
        return
    if is_json:
        print_json(events)
        return
    for event in events:
        occurred_at = datetime.datetime.fromtimestamp(event.at.wall_us / 1e6)
        local_time = occurred_at.strftime("%H:%M:%S.%f")[:-3]
        print(f"{local_time}  {event.process:12}  {event.description}")


def merge_events(folders: Iterable[Path]) -> list[Event]:
    """Return the events of all event files in causal order.

    Parameters
    ----------
    folders : iterable of Path
        Folders that are searched at any depth, or files.

    Raises
    ------
    PollenError
        When there is no event file.
    """
    files = [
        path
        for folder in folders
        for path in ([folder] if folder.is_file() else _event_files(folder))
    ]
    if not files:
        names = ", ".join(map(str, folders))
        raise PollenError(f"no {EVENT_FILE} and no *{_LOG_SUFFIX} below {names}")
    events = [event for path in files for event in _read_events(path)]
    return sorted(events, key=lambda event: (event.at, event.process))


def select_events(
    events: list[Event], about: str | None, last_s: float | None
) -> list[Event]:
    """Return the events that mention a text and lie in the last seconds.

    Parameters
    ----------
    events : list of Event
        In causal order.
    about : str or None
        Name of the process, or text in a field; None selects all events.
    last_s : float or None
        Seconds before the newest event; None selects all events.
    """
    if last_s is not None and events:
        since_us = events[-1].at.wall_us - int(last_s * 1e6)
        events = [event for event in events if event.at.wall_us >= since_us]
    if about is not None:
        events = [event for event in events if _is_about(event, about)]
    return events


def _event_files(folder: Path) -> list[Path]:
    return [*folder.rglob(EVENT_FILE), *folder.rglob(f"*{_LOG_SUFFIX}")]


def _is_about(event: Event, about: str) -> bool:
    return about == event.process or any(
        about in str(value) for value in event.fields.values()
    )


def _read_events(path: Path) -> Iterator[Event]:
    """Yield the events of a file; skip lines that are not events."""
    for line in path.read_bytes().splitlines():
        # A log collector may prefix each message with the time and the process.
        _, brace, rest = line.partition(b"{")
        try:
            message = msgspec.json.decode(brace + rest)
            at = Timestamp.parse(message["hlc"])
        except (msgspec.DecodeError, KeyError, ValueError):
            continue
        fields = {
            key: value for key, value in message.items() if key not in _ENVELOPE_KEYS
        }
        yield Event(at, message["process"], message["message_type"], fields)
