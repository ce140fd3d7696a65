"""Submits batch jobs of callers, reads their results and ends them."""

from __future__ import annotations

import msgspec
from aiohttp import web

from ..clock import Deadline, deadline_in, remaining_time_s, sleep_until
from ..connection.control_api import BatchJobRead, ReadBatchJob, ReadItem
from ..durable.batch_job_commands import BatchJobSpec, EndBatchJob, SubmitBatchJob
from ..durable.command_base import Refused
from ..durable.configuration_commands import ConfigurationConflict
from ..exceptions import CommandInDoubtError, ControlError
from ..ids import BatchJobId, CommandId, ItemId, Revision, new_id
from ..process.context import EntryContext
from ..settings.cluster import RouteSettings
from .caller_request import CallerRequest, path_of
from .outcome import Outcome, Refusal, RefusedError, bad_request, unavailable
from .workspace_access import scope_batch_job

# Kept short, since a trainer that gets no answer submits its batch job again at
# another entry process.
_SUBMIT_TIMEOUT_S = 3.0
_READ_TIMEOUT_S = 2.0
_RETRY_AFTER_S = 0.3
_POLL_INTERVAL_S = 0.02
# Field names come from callers, and each is kept for the life of the process.
_MAX_REPORTED_FIELD_COUNT = 50
_OTHER_FIELDS = "(others)"


async def submit_batch_job(
    caller: CallerRequest, context: EntryContext
) -> web.StreamResponse:
    """Submit a batch job and answer once it is stored in the replicated log.

    Raises
    ------
    RefusedError
        When the batch job is invalid or was not stored, or when it is not known
        whether it was stored.
    """
    body = await caller.body.read_complete(context.settings.max_body_bytes)
    deadline = Deadline(min(caller.deadline, deadline_in(_SUBMIT_TIMEOUT_S)))
    spec = await _submit_under_newest_configuration(caller, body, deadline, context)
    context.events.record(
        "batch_job.accepted",
        batch_job=spec.batch_job,
        model=spec.model,
        items=len(spec.items),
        least_version=spec.least_version,
    )
    return context.dialect.batch_job_accepted(caller.request_id)


async def _submit_under_newest_configuration(
    caller: CallerRequest, body: bytes, deadline: Deadline, context: EntryContext
) -> BatchJobSpec:
    """Submit a batch job as the newest configuration has it, and return it.

    The configuration of this entry may be older than one that was acknowledged, as
    after a freeze. The leader refuses what follows from an older one.
    """
    is_reported = False
    while True:
        # No other task runs between these, so that the route is of this revision.
        revision = context.configuration.revision
        spec = context.dialect.read_batch_job(
            caller.http_request, body, _current_route(caller, context), context.settings
        )
        spec = _assign_to_workspace(spec, caller, context)
        if not is_reported:
            is_reported = True
            _report_unknown_fields(spec, body, context)
        command = SubmitBatchJob(spec, context.identity.boot, revision)
        command_id = CommandId(new_id("batch-job"))
        try:
            result = await context.control.propose(command, command_id, deadline)
        except CommandInDoubtError as error:
            raise RefusedError(Refusal(504, Outcome.UNKNOWN, str(error))) from error
        except ControlError as error:
            raise unavailable(str(error), _RETRY_AFTER_S) from error
        if not isinstance(result, ConfigurationConflict):
            return spec
        context.events.record(
            "batch_job.outdated",
            batch_job=spec.batch_job,
            revision=revision,
            newest=result.revision,
        )
        await _wait_for_revision(result.revision, deadline, context)


def _assign_to_workspace(
    spec: BatchJobSpec, caller: CallerRequest, context: EntryContext
) -> BatchJobSpec:
    """Return a batch job of the caller's workspace, without headers that name one."""
    if not caller.hides_credentials:
        return spec
    hidden = context.dialect.workspace_headers
    items = [
        msgspec.structs.replace(
            item,
            headers={
                name: value
                for name, value in item.headers.items()
                if name.strip().lower() not in hidden
            },
        )
        for item in spec.items
    ]
    return msgspec.structs.replace(
        spec,
        batch_job=scope_batch_job(spec.batch_job, caller.workspace, context),
        items=items,
        workspace=caller.workspace,
    )


def _current_route(caller: CallerRequest, context: EntryContext) -> RouteSettings:
    request = caller.http_request
    path = path_of(request)
    settings = context.configuration.settings
    route = settings.route_for(request.host, path, request.method)
    if route is None or not route.batch_jobs:
        raise bad_request(f"no route takes batch jobs at {path}", "path", 404)
    return route


async def _wait_for_revision(
    revision: Revision, deadline: Deadline, context: EntryContext
) -> None:
    """Return when this entry has applied a revision of the configuration.

    Raises
    ------
    RefusedError
        When the deadline passes first.
    """
    while context.configuration.revision < revision:
        if not remaining_time_s(deadline):
            reason = f"this instance has not received configuration {revision} yet"
            raise unavailable(reason, _RETRY_AFTER_S)
        await sleep_until(Deadline(min(deadline, deadline_in(_POLL_INTERVAL_S))))


def _report_unknown_fields(
    spec: BatchJobSpec, body: bytes, context: EntryContext
) -> None:
    """Count the fields that have no effect, and log each name once."""
    reported = context.reported_fields
    for name in sorted(context.dialect.unknown_batch_job_fields(body)):
        if name not in reported and len(reported) >= _MAX_REPORTED_FIELD_COUNT:
            name = _OTHER_FIELDS
        context.metrics.unknown_fields.labels(name).inc()
        if name not in reported:
            reported.add(name)
            context.events.record(
                "batch_job.unknown_field", batch_job=spec.batch_job, field=name
            )


async def read_batch_job(
    name: BatchJobId, after: int, wait_s: float, context: EntryContext
) -> BatchJobRead:
    """Return the results of a batch job from a position onwards.

    Parameters
    ----------
    name : BatchJobId
        The batch job.
    after : int
        Number of results that the caller already has.
    wait_s : float
        Maximum time to wait for further results, in seconds.
    context : EntryContext
        Parts of the entry process.

    Raises
    ------
    RefusedError
        When the batch job does not exist, or when the leader did not answer.
    """
    request = ReadBatchJob(name, after, wait_s)
    deadline = deadline_in(wait_s + _READ_TIMEOUT_S)
    try:
        read = await context.control.read_batch_job(request, deadline)
    except ControlError as error:
        raise unavailable(str(error), _RETRY_AFTER_S) from error
    if read.total is None:
        raise bad_request("the batch job does not exist", None, 404)
    return read


async def read_item(name: BatchJobId, item: ItemId, context: EntryContext) -> bytes:
    """Return the body of an item of a batch job.

    Raises
    ------
    RefusedError
        When the item does not exist or has a result, or the leader did not answer.
    """
    try:
        read = await context.control.read_item(
            ReadItem(name, item), deadline_in(_READ_TIMEOUT_S)
        )
    except ControlError as error:
        raise unavailable(str(error), _RETRY_AFTER_S) from error
    if read.body is None:
        reason = f"item {item} does not exist, or has a result already"
        raise bad_request(reason, None, 404)
    return read.body


async def end_batch_job(name: BatchJobId, context: EntryContext) -> None:
    """End a batch job; items without a result are not run any more.

    Raises
    ------
    RefusedError
        When the batch job does not exist, or when it is not known whether it
        ended.
    """
    command_id = CommandId(new_id("end"))
    try:
        result = await context.control.propose(
            EndBatchJob(name), command_id, deadline_in(_SUBMIT_TIMEOUT_S)
        )
    except ControlError as error:
        raise unavailable(str(error), _RETRY_AFTER_S) from error
    if isinstance(result, Refused):
        raise bad_request(result.reason, None, 404)
