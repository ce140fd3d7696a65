"""Settings of the HTTP servers of entry and control instances."""

from __future__ import annotations

from .options import Integer, Settings


class HttpServerSettings(Settings):
    """Limits for callers of an HTTP server; no caller within the limits meets them."""

    max_head_bytes = Integer(16_384, 16_777_216, 262_144)
    """Greatest size, in bytes, of the head of a request, of the trailers of its body or
    of an extension of a chunk; the connection is closed beyond it."""

    max_held_bytes = Integer(65_536, 1_073_741_824, 8_388_608)
    """Bytes of incomplete and waiting requests that one HTTP server holds; beyond it,
    the connections that hold the most are closed."""
