"""Settings of the HTTP servers of entry and control instances."""

from __future__ import annotations

from .options import Integer, Number, Settings


class HttpServerSettings(Settings):
    """Limits for callers of an HTTP server; no caller within the limits meets them."""

    max_head_bytes = Integer(16_384, 16_777_216, 262_144)
    """Greatest size, in bytes, of the head of a request, of the trailers of its body or
    of an extension of a chunk; the connection is closed beyond it."""

    max_held_bytes = Integer(65_536, 1_073_741_824, 8_388_608)
    """Bytes of incomplete and waiting requests that one HTTP server holds; beyond it,
    the connections that hold the most are closed."""

    head_timeout_s = Number(0.1, 3600, 20.0)
    """Seconds in which a complete head must arrive after its first byte, or after the
    connection was opened; the connection is closed otherwise. They do not pass while an
    earlier request of the connection runs."""

    max_connections = Integer(0, 1_000_000, 0)
    """Greatest number of open connections of one HTTP server; 0 is 0.4 of the
    descriptors that the process may open. Those without a request are closed first."""

    unread_answer_timeout_s = Number(0.1, 86_400, 120.0)
    """Seconds without a byte of an answer taken by its reader after which the
    connection is closed."""
