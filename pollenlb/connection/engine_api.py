"""Messages between entries and model engines: streamed completions."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from ..external_data import COUNT_BOUNDS, Count, json_decoder
from ..ids import BootId, RequestId, WeightVersion

COMPLETIONS_PATH = "/v1/completions"
END_OF_STREAM_DATA = b"[DONE]"


class Resume(msgspec.Struct, frozen=True):
    """Output of an earlier attempt, which the engine continues.

    Attributes
    ----------
    text : str
        Text generated after the prompt.
    tokens : int
        Number of tokens in that text.
    """

    text: str
    tokens: int


class TokenOrigin(msgspec.Struct, frozen=True):
    """Origin of the tokens of one stream event.

    Attributes
    ----------
    version : WeightVersion
        Weights that produced the tokens.
    boot : BootId
        Engine process that produced the tokens.
    tokens : int
        Number of tokens in the event.
    """

    version: Annotated[WeightVersion, COUNT_BOUNDS]
    boot: BootId
    tokens: Count


class StreamChoice(msgspec.Struct, frozen=True):
    """Text of one stream event; only the last event has a finish reason."""

    text: str = ""
    finish_reason: str | None = None


class StreamEvent(msgspec.Struct, frozen=True):
    """One event of a streamed completion.

    Attributes
    ----------
    id : RequestId
        Id of the attempt that the engine answers.
    choices : list of StreamChoice
        Exactly one choice.
    pollenlb : TokenOrigin
        Origin of the event's tokens.
    """

    id: RequestId
    choices: list[StreamChoice]
    pollenlb: TokenOrigin


decode_event = json_decoder(StreamEvent)


def completion_body(
    asked: dict[str, Any], priority: int, resume: Resume | None
) -> bytes:
    """Return the JSON body of a streamed completion request.

    Parameters
    ----------
    asked : dict
        Body that the caller sent. Passed on, except that ``stream``,
        ``priority`` and, with an earlier attempt, ``resume`` are set.
    priority : int
        Scheduling priority; lower numbers are served first.
    resume : Resume or None
        Output of an earlier attempt; None for the first.
    """
    body = {**asked, "stream": True, "priority": priority}
    if resume is not None:
        body["resume"] = msgspec.to_builtins(resume)
    return msgspec.json.encode(body)
