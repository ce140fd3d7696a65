"""Reading of values that another program wrote and that may be malformed.

Whatever cannot be stored in the replicated log, or computed with, is refused where it
enters the process.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Annotated, Any

import msgspec

# Integers beyond 64 bits cannot be stored, and ratios of larger ones are no floats.
MIN_INTEGER, MAX_INTEGER = -(2**63), 2**63 - 1
# Deeper values fail in whatever follows their parts, at a depth that depends on the
# caller's stack.
_MAX_NESTING = 64
_COUNT_PATTERN = re.compile(r"[0-9]{1,15}")
_VISIBLE_PATTERN = re.compile(r"[!-~]{1,256}")

Integer = Annotated[int, msgspec.Meta(ge=MIN_INTEGER, le=MAX_INTEGER)]
"""An integer that can be stored."""

COUNT_BOUNDS = msgspec.Meta(ge=0, le=MAX_INTEGER)

Count = Annotated[int, COUNT_BOUNDS]
"""A number of things, or a version."""

HeaderText = Annotated[str, msgspec.Meta(pattern=r"^[^\x00-\x1f\x7f]*\Z")]
"""A text that may stand in a header."""

ExternalName = Annotated[str, msgspec.Meta(max_length=256)]
"""A name that another program chose."""


def json_decoder(message: Any) -> Callable[[bytes], Any]:
    """Return a decoder that has one error for all malformed input.

    Parameters
    ----------
    message : type
        Type that the JSON text must match.

    Returns
    -------
    callable
        Returns the decoded value. Raises ``msgspec.DecodeError``, or its subclass
        ``msgspec.ValidationError`` for JSON of another type.
    """
    decode = msgspec.json.Decoder(message).decode

    def decode_external(body: bytes) -> Any:
        try:
            return decode(body)
        except RecursionError as error:
            raise msgspec.DecodeError("JSON is nested too deeply") from error

    return decode_external


def is_header_word(text: str) -> bool:
    """Return whether a text is a short word that may stand in a header."""
    return _VISIBLE_PATTERN.fullmatch(text) is not None


def parse_count(text: str) -> int | None:
    """Return a count of at most 15 decimal digits; None for any other text."""
    text = text.strip(" ")
    return int(text) if _COUNT_PATTERN.fullmatch(text) else None


def read_count(headers: Mapping[str, str], name: str) -> int | None:
    """Return the count in a header; None without the header, or for another text."""
    return parse_count(headers.get(name, ""))


def find_unstorable(value: Any, levels: int = _MAX_NESTING) -> str | None:
    """Return why a decoded JSON value cannot be stored or sent on, or None.

    Parameters
    ----------
    value : object
        The value.
    levels : int
        Number of levels that may be nested in it.
    """
    if isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
        return "an integer has more than 64 bits"
    if not isinstance(value, (dict, list)):
        return None
    if not levels:
        return f"values are nested in more than {_MAX_NESTING} levels"
    parts = value.values() if isinstance(value, dict) else value
    problems = (find_unstorable(part, levels - 1) for part in parts)
    return next((problem for problem in problems if problem is not None), None)
