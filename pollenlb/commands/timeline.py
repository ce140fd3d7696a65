"""Merge the events of all processes into one time line."""

from __future__ import annotations

import datetime
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from ..exceptions import PollenError
from ..process.clock import Timestamp
from ..process.events import EVENT_FILE
from .output import print_json

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
    folders: list[Path], about: str | None, last_s: float | None, is_json: bool
) -> None:
    """Print the events of all processes in causal order.

    Parameters
    ----------
    folders : list of Path
        Folders that hold event files, at any depth.
    about : str or None
        Only events with this text in a field: a request, sample, order,
        backend server or command.
    last_s : float or None
        Only events of so many seconds before the last one.
    is_json : bool
        Whether to print JSON instead of lines.
    """
    events = select(merge(folders), about, last_s)
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
        for path in ([folder] if folder.is_file() else folder.rglob(EVENT_FILE))
    ]
    if not files:
        raise PollenError(f"no {EVENT_FILE} below {', '.join(map(str, folders))}")
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


def _is_about(event: Event, about: str) -> bool:
    return about == event.process or any(
        about in str(value) for value in event.fields.values()
    )


def _read(path: Path) -> Iterator[Event]:
    for line in path.read_bytes().splitlines():
        try:
            message = msgspec.json.decode(line)
            at = Timestamp.parse(message["hlc"])
        except (msgspec.DecodeError, KeyError, ValueError):
            continue
        fields = {
            key: value for key, value in message.items() if key not in _FRAME_KEYS
        }
        yield Event(at, message["process"], message["message_type"], fields)
