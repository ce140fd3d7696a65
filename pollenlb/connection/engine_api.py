"""Messages between entries and model engines: streamed completions."""

from __future__ import annotations

from typing import Any

import msgspec

from ..ids import BootId, RequestId, WeightVersion

COMPLETIONS_PATH = "/v1/completions"
END_MARK = b"[DONE]"


class Resume(msgspec.Struct, frozen=True):
    """Output that an earlier attempt has produced.

    Attributes
    ----------
    text : str
        Text after the prompt; the engine goes on behind it.
    tokens : int
        Tokens of that text.
    """

    text: str
    tokens: int


class Origin(msgspec.Struct, frozen=True):
    """Where the tokens of a piece come from.

    Attributes
    ----------
    version : WeightVersion
        Weights that produced the tokens.
    tokens : int
        Tokens in the piece.
    """

    version: WeightVersion
    boot: BootId
    tokens: int


class StreamChoice(msgspec.Struct, frozen=True):
    """Text of a piece; the last piece has a finish reason."""

    text: str = ""
    finish_reason: str | None = None


class StreamEvent(msgspec.Struct, frozen=True):
    """One event of a streamed completion."""

    id: RequestId
    choices: list[StreamChoice]
    pollenlb: Origin


decode_event = msgspec.json.Decoder(StreamEvent).decode


def completion_body(
    asked: dict[str, Any], priority: int, resume: Resume | None
) -> bytes:
    """Return the body of a streamed completion request.

    Parameters
    ----------
    asked : dict
        The caller's own body, passed on but for what is set here.
    priority : int
        Lower numbers go first.
    resume : Resume or None
        Output of an earlier attempt.
    """
    body = {**asked, "stream": True, "priority": priority}
    if resume is not None:
        body["resume"] = msgspec.to_builtins(resume)
    return msgspec.json.encode(body)
