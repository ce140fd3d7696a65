"""Files that last: checksummed frames, atomic replacement, synced folders."""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Iterator
from pathlib import Path

from ..exceptions import StorageDamagedError

_MAGIC = b"PLB1"
_HEADER = struct.Struct("<4sII")
MOST_FRAME_BYTES = 256 * 1024 * 1024


def frame(payload: bytes) -> bytes:
    """Return a payload with its magic, length and checksum before it."""
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def read_frames(data: bytes, path: Path) -> Iterator[tuple[int, bytes]]:
    """Yield each frame's end offset and payload.

    A last frame that was not written whole ends the iteration.

    Raises
    ------
    StorageDamagedError
        When a whole frame follows one that does not match its checksum.
    """
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset)
        if payload is None:
            _refuse_damage(data, offset, path)
            return
        offset += _HEADER.size + len(payload)
        yield offset, payload


def write_whole(path: Path, payload: bytes) -> None:
    """Replace a file by one frame, synced, or leave it as it was.

    Raises
    ------
    OSError
        When writing or syncing fails.
    """
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(frame(payload))
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def read_whole(path: Path) -> bytes | None:
    """Return the payload of a file written by ``write_whole``.

    Returns
    -------
    bytes or None
        None when there is no such file.

    Raises
    ------
    StorageDamagedError
        When the content does not match its checksum.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    payload = _frame_at(data, 0)
    if payload is None or len(data) != _HEADER.size + len(payload):
        raise StorageDamagedError(f"{path} does not match its checksum")
    return payload


def sync_folder(folder: Path) -> None:
    """Make the names in a folder last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _frame_at(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if magic != _MAGIC or length > MOST_FRAME_BYTES or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if zlib.crc32(payload) == checksum else None


def _refuse_damage(data: bytes, offset: int, path: Path) -> None:
    candidate = data.find(_MAGIC, offset + 1)
    while candidate >= 0:
        if _frame_at(data, candidate) is not None:
            raise StorageDamagedError(
                f"{path} is damaged at byte {offset}: a record before the last one "
                "does not match its checksum; move the data folder away and start "
                "again, so that this instance joins as a new replica"
            )
        candidate = data.find(_MAGIC, candidate + 1)
