"""Merge the events of all processes into one time line."""

from __future__ import annotations

import datetime
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from ..clock import Timestamp
from ..events import EVENT_FILE
from ..exceptions import PollenError
from .lanes import draw_lanes
from .output import print_json

_LOG_SUFFIX = ".log"

_FRAME_KEYS = frozenset(
    ("process", "hlc", "timestamp", "task_uuid", "task_level", "message_type")
)


class Event(msgspec.Struct, frozen=True):
    """One event of one process.

    Attributes
    ----------
    at : Timestamp
        Hybrid logical time, which orders events causally.
    fields : dict
        What the event tells.
    """

    at: Timestamp
    process: str
    kind: str
    fields: dict[str, Any]

    @property
    def sentence(self) -> str:
        """The event in plain words."""
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
        Folders that hold event files or what processes wrote on standard
        output (``*.log``), at any depth; or such files.
    about : str or None
        Only events with this text in a field: a request, sample, order,
        backend server or command.
    last_s : float or None
        Only events of so many seconds before the last one.
    svg : Path or None
        Where to draw them, a lane for each process, instead of printing.
    is_json : bool
        Whether to print JSON instead of lines.
    """
    events = select(merge(folders), about, last_s)
    if svg is not None:
        svg.write_bytes(draw_lanes(events))
        print(f"{len(events)} events are drawn in {svg}")
        return
    if is_json:
        print_json(events)
        return
    for event in events:
        moment = datetime.datetime.fromtimestamp(event.at.wall_us / 1e6)
        clock = moment.strftime("%H:%M:%S.%f")[:-3]
        print(f"{clock}  {event.process:12}  {event.sentence}")


def merge(folders: Iterable[Path]) -> list[Event]:
    """Return the events of all files below some folders in causal order.

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
    events = [event for path in files for event in _read(path)]
    return sorted(events, key=lambda each: (each.at, each.process))


def select(events: list[Event], about: str | None, last_s: float | None) -> list[Event]:
    """Return the events about something, of the last seconds."""
    if last_s is not None and events:
        since = events[-1].at.wall_us - int(last_s * 1e6)
        events = [each for each in events if each.at.wall_us >= since]
    if about is not None:
        events = [each for each in events if _is_about(each, about)]
    return events


def _event_files(folder: Path) -> list[Path]:
    return [*folder.rglob(EVENT_FILE), *folder.rglob(f"*{_LOG_SUFFIX}")]


def _is_about(event: Event, about: str) -> bool:
    return about == event.process or any(
        about in str(value) for value in event.fields.values()
    )


def _read(path: Path) -> Iterator[Event]:
    for line in path.read_bytes().splitlines():
        # A collector may have put the time and the process before the message.
        _, brace, rest = line.partition(b"{")
        try:
            message = msgspec.json.decode(brace + rest)
            at = Timestamp.parse(message["hlc"])
        except (msgspec.DecodeError, KeyError, ValueError):
            continue
        fields = {
            key: value for key, value in message.items() if key not in _FRAME_KEYS
        }
        yield Event(at, message["process"], message["message_type"], fields)
