"""Messages between trainers and entries, in JSON over HTTP."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..ids import BatchNumber, JobName, RequestId, StepNumber, WeightVersion

COMMAND_ID_HEADER = "Pollenlb-Command-Id"

Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Number = Annotated[int, msgspec.Meta(ge=0)]
NameText = Annotated[str, msgspec.Meta(pattern="^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$")]


class Span(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of a sample that one weight version produced.

    Attributes
    ----------
    first, last : int
        Positions of the first and last token, from 0.
    """

    version: WeightVersion
    first: int
    last: int


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that creates a job."""

    name: NameText
    service: NameText
    group_size: Count
    batch_groups: Count
    staleness_bound: Number
    max_tokens: Count
    scorer: NameText | None = None


class StepBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that submits a step."""

    step: Number
    prompts: Annotated[list[str], msgspec.Meta(min_length=1, max_length=100_000)]


class VersionBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that tells the trainer's version."""

    version: Number


class SampleBody(msgspec.Struct, frozen=True):
    """What a trainer gets for one sample.

    Attributes
    ----------
    tokens : int
        Number of tokens of the text.
    spans : list of Span
        Weight versions that produced the tokens.
    score : float or None
        Answer of the scoring service; None for a job without one.
    """

    prompt: str
    text: str
    tokens: int
    spans: list[Span]
    finish_reason: str
    request_id: RequestId
    score: float | None = None


class DeliveredSample(msgspec.Struct):
    """One sample of a batch, as the trainer gets it."""

    step: int
    group: int
    position: int
    sample: SampleBody


class DeliveredBatch(msgspec.Struct):
    """Body of the answer to a pull."""

    job: JobName
    number: BatchNumber
    step: StepNumber
    seal: int
    trainer_version: WeightVersion
    samples: list[DeliveredSample]


class NotReady(msgspec.Struct):
    """Body of the answer to a pull when the batch is not whole yet."""

    whole_groups: int
    needed_groups: int
