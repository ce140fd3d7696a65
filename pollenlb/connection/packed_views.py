"""Views in compressed form, in which the leader sends them to all entry processes."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

import msgspec

from .control_api import (
    ConfigurationView,
    DirectoryView,
    EntriesView,
    LedgerView,
    LoadsView,
    QuarantineView,
    RenewAnswer,
)

# zlib level; higher levels cost the leader more time than they save.
_COMPRESSION_LEVEL = 1
_VIEW_TYPES: dict[str, type[msgspec.Struct]] = {
    "configuration": ConfigurationView,
    "directory": DirectoryView,
    "ledger": LedgerView,
    "quarantine": QuarantineView,
    "entries": EntriesView,
    "loads": LoadsView,
}

_encode = msgspec.msgpack.Encoder().encode


class PackedViews:
    """Compressed views, each made once for a version.

    A change of a view goes to every entry process. Hundreds of them ask for the same
    view at the same time, and the view of a large configuration has hundreds of
    kilobytes.
    """

    def __init__(self) -> None:
        self._packed: dict[tuple[str, bool], tuple[int, bytes]] = {}

    def pack(
        self,
        name: str,
        version: int,
        build: Callable[[], msgspec.Struct],
        is_partial: bool = False,
    ) -> bytes:
        """Return a view in compressed form.

        Parameters
        ----------
        name : str
            Field of ``RenewAnswer`` that the view belongs in.
        version : int
            Version of the view; the same version has the same content.
        build : callable
            Returns the view; called once for a version.
        is_partial : bool
            Whether the view leaves out what its receivers have. It is kept beside the
            complete one, for which entries ask that have just started.
        """
        known_version, packed = self._packed.get((name, is_partial), (None, b""))
        if known_version != version:
            packed = zlib.compress(_encode(build()), _COMPRESSION_LEVEL)
            self._packed[name, is_partial] = (version, packed)
        return packed


def unpack_views(answer: RenewAnswer) -> RenewAnswer:
    """Return an answer with its compressed views in their fields.

    Raises
    ------
    zlib.error, msgspec.MsgspecError
        When a view is malformed.
    """
    views: dict[str, Any] = {
        name: msgspec.msgpack.decode(zlib.decompress(packed), type=_VIEW_TYPES[name])
        for name, packed in answer.packed.items()
        if name in _VIEW_TYPES
    }
    return msgspec.structs.replace(answer, packed={}, **views)
