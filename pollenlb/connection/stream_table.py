"""Table of the software versions that began recent streams."""

from __future__ import annotations

from collections import OrderedDict
from itertools import count

import msgspec

from ..clock import Deadline, deadline_in, remaining_time_s
from ..ids import InWorkspace, RequestId, SoftwareVersion
from .control_api import KnownStream, StreamPage

# Callers take a stream up while their own deadline lasts, which is shorter.
_KEPT_S = 60.0
_MAX_STREAM_COUNT = 50_000


class _Stream(msgspec.Struct, frozen=True):
    software: SoftwareVersion
    kept_until: Deadline
    position: int


class StreamTable:
    """Software versions of recent streams, by the request that began them."""

    def __init__(self) -> None:
        self._streams: OrderedDict[InWorkspace[RequestId], _Stream] = OrderedDict()
        self._positions = count(1)

    def __len__(self) -> int:
        self._remove_old()
        return len(self._streams)

    def add(
        self,
        request: InWorkspace[RequestId],
        software: SoftwareVersion,
        kept_s: float = _KEPT_S,
    ) -> None:
        """Add a stream, and remove those that are too old or too many.

        A stream that is known keeps its time, so that repeating it does not prolong
        that.

        Parameters
        ----------
        request : InWorkspace of RequestId
            Request that began the stream.
        software : SoftwareVersion
            Software version that began it.
        kept_s : float
            Seconds for which the stream may be taken up.
        """
        known = self._streams.get(request)
        if known is not None and known.software == software:
            if remaining_time_s(known.kept_until):
                return
        self._streams.pop(request, None)
        kept_until = deadline_in(min(kept_s, _KEPT_S))
        self._streams[request] = _Stream(software, kept_until, next(self._positions))
        self._remove_old()

    def merge(self, streams: list[KnownStream]) -> None:
        """Add streams that another process knows; known ones stay as they are."""
        for stream in streams:
            request = InWorkspace(stream.workspace, stream.request)
            if self.find(request) is None:
                self.add(request, stream.software, stream.kept_s)

    def find(self, request: InWorkspace[RequestId]) -> SoftwareVersion | None:
        """Return the software version that began a stream; None if not known."""
        stream = self._streams.get(request)
        if stream is None or not remaining_time_s(stream.kept_until):
            return None
        return stream.software

    def page(self, after: int, max_count: int, is_complete: bool = True) -> StreamPage:
        """Return the streams after a position, oldest first.

        Parameters
        ----------
        after : int
            Position of the last stream of the page before; 0 for the first page.
        max_count : int
            Number of streams in a page.
        is_complete : bool
            Whether the owner of the table has learnt what began before it started.
        """
        streams: list[KnownStream] = []
        last = after
        for request, stream in self._streams.items():
            if stream.position <= after:
                continue
            if len(streams) == max_count:
                return StreamPage(streams, last, False, is_complete)
            last = stream.position
            kept_s = remaining_time_s(stream.kept_until)
            if kept_s:
                known = KnownStream(
                    request.name, stream.software, kept_s, request.workspace
                )
                streams.append(known)
        return StreamPage(streams, last, True, is_complete)

    def _remove_old(self) -> None:
        while self._streams:
            oldest = next(iter(self._streams.values()))
            is_expired = not remaining_time_s(oldest.kept_until)
            if not is_expired and len(self._streams) <= _MAX_STREAM_COUNT:
                return
            self._streams.popitem(last=False)
