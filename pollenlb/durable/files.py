"""Durable files: checksummed frames, atomic replacement, synced folders.

A frame is a magic number, the length and the CRC-32 of a payload, and the payload.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import BinaryIO

from ..exceptions import StorageDamagedError, StorageError

_MAGIC = b"PLB1"
_HEADER = struct.Struct("<4sII")
MAX_FRAME_BYTES = 256 * 1024 * 1024


def encode_frame(payload: bytes) -> bytes:
    """Return a frame with a payload."""
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def write_frame(file: BinaryIO, payload: bytes) -> None:
    """Write a frame with a payload to a file, without a copy of the payload."""
    file.write(_HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)))
    file.write(payload)


def read_file_frames(path: Path) -> Iterator[bytes]:
    """Yield the payloads of the frames of a file, one in memory at a time.

    Raises
    ------
    FileNotFoundError
        When there is no such file.
    StorageDamagedError
        When a frame is incomplete or does not match its checksum.
    """
    with path.open("rb") as file:
        while header := file.read(_HEADER.size):
            payload = _read_payload(file, header)
            if payload is None:
                raise StorageDamagedError(
                    f"{path} is damaged: it does not match its checksum"
                )
            yield payload


def read_first_frame(file: BinaryIO) -> bytes | None:
    """Return the payload of the frame at the start of a file; None if damaged."""
    return _read_payload(file, file.read(_HEADER.size))


def read_frames(data: bytes, path: Path) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and the payload of each frame in the content of a file.

    A last frame that is incomplete or does not match its checksum ends the
    iteration: a crash interrupted its write.

    Parameters
    ----------
    data : bytes
        Content of the file.
    path : Path
        Path of the file, for the error message.

    Raises
    ------
    StorageDamagedError
        When an intact frame follows one that does not match its checksum.
    """
    offset = 0
    while offset < len(data):
        payload = _payload_at(data, offset)
        if payload is None:
            _raise_if_frame_follows(data, offset, path)
            return
        offset += _HEADER.size + len(payload)
        yield offset, payload


def replace_file(path: Path, payload: bytes) -> None:
    """Replace a file atomically by one with a single frame, and sync it.

    Raises
    ------
    OSError
        When writing fails; the file is unchanged.
    StorageError
        When syncing fails.
    """
    temporary = path.with_suffix(".new")
    try:
        with temporary.open("wb") as file:
            write_frame(file, payload)
            file.flush()
            sync_file(file.fileno(), os.fsync)
        os.replace(temporary, path)
    except OSError:
        # Gives the room that the incomplete file takes back to a full disk.
        temporary.unlink(missing_ok=True)
        raise
    sync_folder(path.parent)


def read_file(path: Path) -> bytes | None:
    """Return the payload of a file that ``replace_file`` wrote.

    Returns
    -------
    bytes or None
        None when there is no such file.

    Raises
    ------
    StorageDamagedError
        When the content is not a single frame that matches its checksum.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    payload = _payload_at(data, 0)
    if payload is None or len(data) != _HEADER.size + len(payload):
        raise StorageDamagedError(f"{path} is damaged: it does not match its checksum")
    return payload


def sync_file(descriptor: int, sync: Callable[[int], None]) -> None:
    """Sync the content of a file.

    Raises
    ------
    StorageError
        When that fails, for whatever reason: the system may have dropped what it had
        not written, so that a later sync would say nothing about it.
    """
    try:
        sync(descriptor)
    except OSError as error:
        raise StorageError(f"sync failed: {error}") from error


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that the names in it survive a crash.

    Raises
    ------
    StorageError
        When that fails.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        sync_file(descriptor, os.fsync)
    finally:
        os.close(descriptor)


def _read_payload(file: BinaryIO, header: bytes) -> bytes | None:
    if len(header) < _HEADER.size:
        return None
    magic, length, checksum = _HEADER.unpack(header)
    if magic != _MAGIC or length > MAX_FRAME_BYTES:
        return None
    payload = file.read(length)
    return payload if zlib.crc32(payload) == checksum else None


def _payload_at(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if magic != _MAGIC or length > MAX_FRAME_BYTES or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if zlib.crc32(payload) == checksum else None


def _raise_if_frame_follows(data: bytes, offset: int, path: Path) -> None:
    candidate = data.find(_MAGIC, offset + 1)
    while candidate >= 0:
        if _payload_at(data, candidate) is not None:
            raise StorageDamagedError(
                f"{path} is damaged at byte {offset}: a record before the last one "
                "does not match its checksum; move the data folder away and start "
                "again, so that this instance joins as a new replica"
            )
        candidate = data.find(_MAGIC, candidate + 1)
