"""Batch jobs as trainers hand them in and read them."""

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
from .names import LENGTH_HINT


class _Item(msgspec.Struct):
    id: str
    path: str
    body: bytes  # base64 in JSON
    headers: dict[str, str] = {}
    tokens: int = 0  # prompt tokens and the most output tokens together
    group: str = ""


class _BatchJob(msgspec.Struct):
    requests: list[_Item]  # the items
    model: str = ""
    min_version: int = 0
    group_count: int = 0  # groups that the trainer waits for, not all there are


_decode = msgspec.json.Decoder(_BatchJob).decode


def read_batch_job(
    name: str, host: str, body: bytes, route: RouteSettings, settings: EntrySettings
) -> BatchJobSpec:
    """Return the batch job that a body holds.

    Raises
    ------
    msgspec.MsgspecError
        When the body cannot be read.
    """
    wire = _decode(body)
    return BatchJobSpec(
        batch_job=BatchJobId(name),
        service=ServiceName(next(iter(route.services))),
        host=host,
        items=[_item(each) for each in wire.requests],
        model=ModelName(wire.model),
        least_version=WeightVersion(wire.min_version),
        is_single_version=route.single_version,
        needed_groups=wire.group_count,
        due_s=route.due_s,
        give_up_s=route.give_up_s,
        max_attempts=route.max_attempts,
        kept_s=settings.batch_results_kept_s,
    )


def batch_job_page(read: BatchJobRead, after: int) -> bytes:
    """Return the results of a batch job in the form that trainers read."""
    results = [
        {
            "id": each.item,
            "state": each.state.value,
            "text": each.content.decode(),
            "versions": each.versions,
        }
        for each in read.results
    ]
    page = {"total": read.total, "next": after + len(results), "results": results}
    return msgspec.json.encode(page)


def _item(wire: _Item) -> BatchItem:
    hint = wire.headers.get(LENGTH_HINT, "")
    return BatchItem(
        item=ItemId(wire.id),
        path=wire.path,
        headers=wire.headers,
        body=wire.body,
        tokens=wire.tokens,
        length_hint=int(hint) if hint.isdigit() else 0,
        group=GroupName(wire.group),
    )
