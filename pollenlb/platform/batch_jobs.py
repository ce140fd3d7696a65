"""Batch jobs in the formats in which trainers submit them and read their results.

The platform calls a batch job a lot, its items requests, and a reward call a scorer.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..connection.control_api import BatchJobRead
from ..durable.batch_job_commands import (
    BatchItem,
    BatchJobSpec,
    ItemResult,
    RewardCall,
)
from ..external_data import HeaderText, Integer, json_decoder, read_count
from ..ids import (
    BatchJobId,
    GroupName,
    ItemId,
    ModelName,
    RequestId,
    ServiceName,
    WeightVersion,
)
from ..settings.cluster import RouteSettings
from ..settings.entry import EntrySettings
from .names import LENGTH_HINT_HEADER


class _Scorer(msgspec.Struct):
    """Reward call of an item; its body is base64 in JSON."""

    id: HeaderText
    host: HeaderText
    path: str
    body: bytes = b""


class _Item(msgspec.Struct):
    """One item of a submitted batch job.

    Attributes
    ----------
    body : bytes
        Body of the request; base64 in JSON.
    tokens : int
        Prompt tokens plus the maximum number of output tokens.
    group : str
        Group of items that share their prompt.
    scorer : _Scorer or None
        Reward call; None when the item is not scored.
    """

    id: HeaderText
    path: str
    body: bytes
    headers: dict[HeaderText, HeaderText] = {}
    tokens: Integer = 0
    group: str = ""
    scorer: _Scorer | None = None


class _BatchJob(msgspec.Struct):
    """Body of a submitted batch job.

    Attributes
    ----------
    requests : list of _Item
        The items.
    model : str
        Model that generates; empty when the trainer names none.
    min_version : int
        Oldest weight version that may generate a token.
    group_count : int
        Number of groups that the trainer waits for, which may be fewer than the
        batch job has; 0 when it waits for all.
    step : int
        Number of the trainer's step; has no effect.
    """

    requests: list[_Item]
    model: str = ""
    min_version: Integer = 0
    group_count: Integer = 0
    step: Integer | None = None


class _FieldNames(msgspec.Struct):
    """Fields of the items of a submitted batch job, not decoded."""

    requests: list[dict[str, msgspec.Raw]]


# A page has 1 MB at most, with what stands around the results.
_MAX_RESULTS_BYTES = 1_000_000 - 100

_KNOWN_JOB_FIELDS = frozenset(_BatchJob.__struct_fields__)
_KNOWN_ITEM_FIELDS = frozenset(_Item.__struct_fields__)
_decode_job_fields = json_decoder(dict[str, msgspec.Raw])
_decode_field_names = json_decoder(_FieldNames)
_decode_batch_job = json_decoder(_BatchJob)


def parse_batch_job(
    name: str, host: str, body: bytes, route: RouteSettings, settings: EntrySettings
) -> BatchJobSpec:
    """Return the specification of a submitted batch job.

    Parameters
    ----------
    name : str
        Id of the request, which becomes the id of the batch job.
    host : str
        Host of the request, to which the items are addressed too.
    body : bytes
        JSON body of the request.
    route : RouteSettings
        Route of the request; determines the service, the limits in seconds and
        the number of attempts.
    settings : EntrySettings
        Settings of the entry; determine how long results are retained.

    Raises
    ------
    msgspec.MsgspecError
        When the body is not a valid batch job in JSON.
    """
    submitted = _decode_batch_job(body)
    return BatchJobSpec(
        batch_job=BatchJobId(name),
        service=ServiceName(next(iter(route.service_weights))),
        host=host,
        items=[_to_batch_item(item) for item in submitted.requests],
        model=ModelName(submitted.model),
        least_version=WeightVersion(submitted.min_version),
        is_single_version=route.single_version,
        needed_groups=submitted.group_count,
        due_s=route.due_s,
        give_up_s=route.give_up_s,
        max_attempts=route.max_attempts,
        kept_s=settings.batch_results_kept_s,
    )


def unknown_fields(body: bytes) -> set[str]:
    """Return the names of fields of a batch job, or of its items, that are ignored.

    Names of items' fields begin with ``requests.``.

    Parameters
    ----------
    body : bytes
        JSON body of a batch job that ``parse_batch_job`` accepted.
    """
    names = _decode_job_fields(body).keys() - _KNOWN_JOB_FIELDS
    for item in _decode_field_names(body).requests:
        if unknown := item.keys() - _KNOWN_ITEM_FIELDS:
            names |= {f"requests.{name}" for name in unknown}
    return set(names)


def encode_results_page(read: BatchJobRead, after: int) -> bytes:
    """Return a page of results of a batch job as JSON.

    It has as many of the first results as fit into a page, at least one.

    Parameters
    ----------
    read : BatchJobRead
        Results from a position on, as read from control.
    after : int
        Position of the first of these results in the batch job.
    """
    results: list[msgspec.Raw] = []
    size = 0
    for result in read.results:
        encoded = msgspec.json.encode(_encode_result(result))
        size += len(encoded) + 1
        if results and size > _MAX_RESULTS_BYTES:
            break
        results.append(msgspec.Raw(encoded))
    page = {"total": read.total, "next": after + len(results), "results": results}
    return msgspec.json.encode(page)


def _encode_result(result: ItemResult) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "id": result.item,
        "state": result.state.value,
        "text": result.content.decode(),
        "versions": result.versions,
    }
    if result.score is not None:
        encoded["score"] = result.score
    return encoded


def _to_batch_item(item: _Item) -> BatchItem:
    return BatchItem(
        item=ItemId(item.id),
        path=item.path,
        headers=item.headers,
        body=item.body,
        tokens=item.tokens,
        length_hint=read_count(item.headers, LENGTH_HINT_HEADER) or 0,
        group=GroupName(item.group),
        reward=_to_reward_call(item.scorer) if item.scorer is not None else None,
    )


def _to_reward_call(scorer: _Scorer) -> RewardCall:
    return RewardCall(RequestId(scorer.id), scorer.host, scorer.path, scorer.body)
