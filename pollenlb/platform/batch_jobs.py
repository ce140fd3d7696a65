"""Batch jobs in the formats in which trainers submit them and read their results.

The platform calls a batch job a lot and its items requests.
"""

from __future__ import annotations

import msgspec

from ..connection.control_api import BatchJobRead
from ..durable.batch_job_commands import BatchItem, BatchJobSpec
from ..ids import (
    BatchJobId,
    GroupName,
    ItemId,
    ModelName,
    ServiceName,
    WeightVersion,
)
from ..settings.cluster import RouteSettings
from ..settings.entry import EntrySettings
from .names import LENGTH_HINT_HEADER


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
    """

    id: str
    path: str
    body: bytes
    headers: dict[str, str] = {}
    tokens: int = 0
    group: str = ""


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
    """

    requests: list[_Item]
    model: str = ""
    min_version: int = 0
    group_count: int = 0


_decode_batch_job = msgspec.json.Decoder(_BatchJob).decode


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


def encode_results_page(read: BatchJobRead, after: int) -> bytes:
    """Return a page of results of a batch job as JSON.

    Parameters
    ----------
    read : BatchJobRead
        Results from a position on, as read from control.
    after : int
        Position of the first of these results in the batch job.
    """
    results = [
        {
            "id": result.item,
            "state": result.state.value,
            "text": result.content.decode(),
            "versions": result.versions,
        }
        for result in read.results
    ]
    page = {"total": read.total, "next": after + len(results), "results": results}
    return msgspec.json.encode(page)


def _to_batch_item(item: _Item) -> BatchItem:
    hint = item.headers.get(LENGTH_HINT_HEADER, "")
    return BatchItem(
        item=ItemId(item.id),
        path=item.path,
        headers=item.headers,
        body=item.body,
        tokens=item.tokens,
        length_hint=int(hint) if hint.isdigit() else 0,
        group=GroupName(item.group),
    )
