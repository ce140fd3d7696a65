"""Messages between trainers and entry processes, in JSON over HTTP."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..external_data import Count
from ..ids import BatchNumber, JobName, RequestId, StepNumber, WeightVersion

COMMAND_ID_HEADER = "Pollenlb-Command-Id"

PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
NonNegativeInt = Count
NameText = Annotated[str, msgspec.Meta(pattern="^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$")]


class Span(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive tokens of a sample that one weight version produced.

    Attributes
    ----------
    version : WeightVersion
        Weights that produced the tokens.
    first, last : int
        Positions of the first and the last of the tokens, from 0.
    """

    version: WeightVersion
    first: int
    last: int


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that creates a job.

    Attributes
    ----------
    service : str
        Service whose engines generate the samples.
    group_size : int
        Number of samples for each prompt.
    batch_groups : int
        Number of groups in a batch.
    staleness_bound : int
        How many versions the weights of a sample may be behind the trainer's.
    max_tokens : int
        Maximum number of tokens in a sample.
    scorer : str or None
        Service that scores each sample; None for no scores.
    """

    name: NameText
    service: NameText
    group_size: PositiveInt
    batch_groups: PositiveInt
    staleness_bound: NonNegativeInt
    max_tokens: PositiveInt
    scorer: NameText | None = None


class StepBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that submits a step.

    Attributes
    ----------
    step : int
        Number of the step, from 0.
    prompts : list of str
        Prompts, each of which gets one group of samples.
    """

    step: NonNegativeInt
    prompts: Annotated[list[str], msgspec.Meta(min_length=1, max_length=100_000)]


class VersionBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that sets the weight version that the trainer has reached."""

    version: NonNegativeInt


class SampleBody(msgspec.Struct, frozen=True):
    """Prompt, generated text and score of one sample.

    Attributes
    ----------
    tokens : int
        Number of tokens in the text.
    spans : list of Span
        Weight versions that produced the tokens, in token order.
    finish_reason : str
        Why the generation ended, as the engine reported.
    request_id : RequestId
        Id of the request that generated the sample.
    score : float or None
        Score from the scoring service; None for a job without one.
    """

    prompt: str
    text: str
    tokens: int
    spans: list[Span]
    finish_reason: str
    request_id: RequestId
    score: float | None = None


class DeliveredSample(msgspec.Struct):
    """One sample of a batch, as delivered to the trainer.

    Attributes
    ----------
    step : int
        Step that the prompt belongs to.
    group : int
        Index of the sample's prompt within the step, from 0.
    position : int
        Position of the sample within its group, from 0.
    """

    step: int
    group: int
    position: int
    sample: SampleBody


class DeliveredBatch(msgspec.Struct):
    """Body of the answer to a pull: one complete batch.

    Attributes
    ----------
    number : BatchNumber
        Number of the batch, from 1. A pull of the next number acknowledges it.
    step : StepNumber
        Step whose samples the batch holds.
    seal : int
        Log index at which the batch was sealed.
    trainer_version : WeightVersion
        Trainer's weight version against which the age of the samples was
        checked last.
    """

    job: JobName
    number: BatchNumber
    step: StepNumber
    seal: int
    trainer_version: WeightVersion
    samples: list[DeliveredSample]


class NotReady(msgspec.Struct):
    """Body of the answer to a pull when the batch is not complete yet.

    Attributes
    ----------
    whole_groups : int
        Number of groups that are complete.
    needed_groups : int
        Number of complete groups that the batch needs.

    Both are 0 when a complete batch has to be checked for stale samples again,
    because the trainer's version rose meanwhile.
    """

    whole_groups: int
    needed_groups: int
