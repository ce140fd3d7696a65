"""Batch jobs as they are handed in, and their results as they are read."""

from __future__ import annotations

from aiohttp import web

from ..clock import Deadline, deadline_in
from ..connection.control_api import BatchJobRead, ReadBatchJob, ReadItem
from ..durable.batch_job_commands import EndBatchJob, SubmitBatchJob
from ..durable.command_base import Refused
from ..exceptions import CommandInDoubtError, ControlError
from ..ids import BatchJobId, CommandId, ItemId
from ..process.context import EntryContext
from .caller_request import CallerRequest
from .outcome import Outcome, Refusal, RefusedError, bad_request, unavailable

# A trainer without an answer hands its job in again, at another entry.
_SUBMIT_TIMEOUT_S = 3.0
_READ_TIMEOUT_S = 2.0
_RETRY_AFTER_S = 0.3


async def submit_batch_job(
    caller: CallerRequest, context: EntryContext
) -> web.StreamResponse:
    """Keep a batch job and answer once it is kept.

    Raises
    ------
    RefusedError
        When it is not kept, or when that is not known.
    """
    body = await caller.body.read_complete(context.settings.max_body_bytes)
    spec = context.dialect.read_batch_job(
        caller.http_request, body, caller.route, context.settings
    )
    command = SubmitBatchJob(spec, context.identity.boot)
    command_id = CommandId(f"batch-job-{spec.batch_job}")
    deadline = Deadline(min(caller.deadline, deadline_in(_SUBMIT_TIMEOUT_S)))
    try:
        await context.control.propose(command, command_id, deadline)
    except CommandInDoubtError as error:
        raise RefusedError(Refusal(504, Outcome.UNKNOWN, str(error))) from error
    except ControlError as error:
        raise unavailable(str(error), _RETRY_AFTER_S) from error
    context.events.record(
        "batch_job.accepted",
        batch_job=spec.batch_job,
        model=spec.model,
        items=len(spec.items),
        least_version=spec.least_version,
    )
    return context.dialect.batch_job_accepted(spec)


async def read_batch_job(
    name: BatchJobId, after: int, wait_s: float, context: EntryContext
) -> BatchJobRead:
    """Return results of a batch job from a position on.

    Raises
    ------
    RefusedError
        When there is no such job, or when that is not known.
    """
    request = ReadBatchJob(name, after, wait_s)
    deadline = deadline_in(wait_s + _READ_TIMEOUT_S)
    try:
        read = await context.control.read_batch_job(request, deadline)
    except ControlError as error:
        raise unavailable(str(error), _RETRY_AFTER_S) from error
    if read.total is None:
        raise bad_request(f"there is no batch job {name}", None, 404)
    return read


async def read_item(name: BatchJobId, item: ItemId, context: EntryContext) -> bytes:
    """Return the body of an item.

    Raises
    ------
    RefusedError
        When there is no such item, or when that is not known.
    """
    try:
        read = await context.control.read_item(
            ReadItem(name, item), deadline_in(_READ_TIMEOUT_S)
        )
    except ControlError as error:
        raise unavailable(str(error), _RETRY_AFTER_S) from error
    if read.body is None:
        raise bad_request(f"there is no item {item} in {name}", None, 404)
    return read.body


async def end_batch_job(name: BatchJobId, context: EntryContext) -> None:
    """End a batch job.

    Raises
    ------
    RefusedError
        When there is no such job, or when it may not have ended.
    """
    command_id = CommandId(f"end-{name}")
    try:
        result = await context.control.propose(
            EndBatchJob(name), command_id, deadline_in(_SUBMIT_TIMEOUT_S)
        )
    except ControlError as error:
        raise unavailable(str(error), _RETRY_AFTER_S) from error
    if isinstance(result, Refused):
        raise bad_request(result.reason, None, 404)
