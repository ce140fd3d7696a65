"""Files of snapshots, written and read piece by piece.

A file holds a frame with the head, one for each piece of the state, and an empty one at
the end. A file of an earlier release is a single frame with head and state.
"""

from __future__ import annotations

import itertools
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec

from ..exceptions import StorageDamagedError
from .files import read_file_frames, read_first_frame, sync_file, write_frame
from .records import Snapshot

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Snapshot).decode


def write_snapshot_file(path: Path, head: Snapshot, pieces: Iterable[bytes]) -> None:
    """Write and sync a file with a snapshot.

    Parameters
    ----------
    path : Path
        The file, which is replaced.
    head : Snapshot
        The snapshot without its state.
    pieces : iterable of bytes
        The state; a piece is taken when the ones before it are written.

    Raises
    ------
    OSError
        When writing fails; there is no file then.
    StorageError
        When syncing fails.
    """
    try:
        with path.open("wb") as file:
            write_frame(file, _encode(head))
            for piece in pieces:
                if piece:
                    write_frame(file, piece)
            write_frame(file, b"")
            file.flush()
            sync_file(file.fileno(), os.fsync)
    except OSError:
        # Gives the room that the incomplete file takes back to a full disk.
        path.unlink(missing_ok=True)
        raise


def read_snapshot_head(file: BinaryIO) -> Snapshot:
    """Return the snapshot at the start of an open file, without its state.

    Raises
    ------
    StorageDamagedError
        When the head is damaged.
    """
    payload = read_first_frame(file)
    if payload is None:
        raise StorageDamagedError(f"{file.name} is damaged: it has no head")
    return msgspec.structs.replace(_decode(payload), state=b"")


def read_snapshot_file(path: Path) -> tuple[Snapshot, Iterator[bytes]]:
    """Return the head of a stored snapshot, and its state in pieces.

    Raises
    ------
    FileNotFoundError
        When there is no such file.
    StorageDamagedError
        When the file is damaged; also while the pieces are read.
    """
    frames = read_file_frames(path)
    first = next(frames, None)
    if first is None:
        raise StorageDamagedError(f"{path} is damaged: it is empty")
    head = _decode(first)
    second = next(frames, None)
    if second is None:
        if not head.state:
            raise StorageDamagedError(f"{path} is damaged: its end is missing")
        return msgspec.structs.replace(head, state=b""), iter([head.state])
    return head, _read_pieces(itertools.chain([second], frames), path)


def _read_pieces(frames: Iterator[bytes], path: Path) -> Iterator[bytes]:
    for frame in frames:
        if not frame:
            break
        yield frame
    else:
        raise StorageDamagedError(f"{path} is damaged: its end is missing")
    if next(frames, None) is not None:
        raise StorageDamagedError(f"{path} is damaged: data follows its end")
