"""HTTP API for trainers: jobs, steps and batches."""

from __future__ import annotations

import msgspec
from aiohttp import web

from ..clock import Deadline, deadline_in, remaining_time_s, sleep_until
from ..connection.trainer_messages import (
    DeliveredBatch,
    DeliveredSample,
    JobBody,
    NotReady,
    SampleBody,
    StepBody,
    VersionBody,
)
from ..durable.job_commands import (
    BatchNotReady,
    BatchSealed,
    CreateJob,
    JobSettings,
    PullBatch,
    SetTrainerVersion,
    SubmitStep,
)
from ..external_data import parse_count
from ..ids import BatchNumber, JobName, ServiceName, StepNumber, WeightVersion
from ..process.context import EntryContext
from .api import (
    execute_command,
    json_response,
    read_command_id,
    read_json,
    with_refusal_responses,
)
from .outcome import bad_request

_MAX_WAIT_S = 60.0
_POLL_INTERVAL_S = 0.1

_decode_sample = msgspec.msgpack.Decoder(SampleBody).decode


class TrainerApi:
    """HTTP handlers for trainers.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the handlers to a server's router."""
        base = "/pollenlb/v1/jobs"
        router.add_post(base, with_refusal_responses(self.create))
        router.add_get(base + "/{job}", with_refusal_responses(self.show))
        router.add_post(base + "/{job}/steps", with_refusal_responses(self.submit))
        router.add_post(
            base + "/{job}/version", with_refusal_responses(self.set_version)
        )
        router.add_get(
            base + "/{job}/batches/{number}", with_refusal_responses(self.pull)
        )

    async def create(self, request: web.Request) -> web.Response:
        """Create a job."""
        body = await read_json(request, JobBody)
        services = self._context.configuration.settings.services
        for key in ("service", "scorer"):
            name = getattr(body, key)
            if name is not None and name not in services:
                raise bad_request(f"{key} {name!r} is not a service", key)
        settings = JobSettings(
            JobName(body.name),
            ServiceName(body.service),
            body.group_size,
            body.batch_groups,
            body.staleness_bound,
            body.max_tokens,
            ServiceName(body.scorer) if body.scorer else None,
        )
        await execute_command(
            self._context, CreateJob(settings), read_command_id(request)
        )
        return json_response(settings, 201)

    async def show(self, request: web.Request) -> web.Response:
        """Return the state of a job."""
        job = self._context.ledger.jobs.get(_job_name(request))
        if job is None:
            raise bad_request(f"job {_job_name(request)} does not exist", "job", 404)
        return json_response(job)

    async def submit(self, request: web.Request) -> web.Response:
        """Add a step of prompts to a job."""
        body = await read_json(request, StepBody)
        owner = self._context.identity.boot
        command = SubmitStep(
            _job_name(request), StepNumber(body.step), body.prompts, owner
        )
        await execute_command(self._context, command, read_command_id(request))
        return json_response({"step": body.step, "groups": len(body.prompts)}, 201)

    async def set_version(self, request: web.Request) -> web.Response:
        """Set the weight version that the trainer has reached."""
        body = await read_json(request, VersionBody)
        command = SetTrainerVersion(_job_name(request), WeightVersion(body.version))
        await execute_command(self._context, command, read_command_id(request))
        return json_response({"version": body.version})

    async def pull(self, request: web.Request) -> web.Response:
        """Deliver a batch; a request for the next one acknowledges it.

        Answers 202 with the number of complete groups when the batch is not
        ready within the requested time.
        """
        number = _batch_number(request)
        deadline = deadline_in(_requested_wait_s(request))
        command = PullBatch(_job_name(request), number)
        while True:
            result = await execute_command(self._context, command, None)
            if isinstance(result, BatchSealed) and not self._is_outdated(
                command, result
            ):
                return json_response(_build_delivered_batch(command.job, result))
            if not remaining_time_s(deadline):
                if isinstance(result, BatchNotReady):
                    not_ready = NotReady(result.whole_groups, result.needed_groups)
                else:
                    not_ready = NotReady(0, 0)
                return json_response(not_ready, 202)
            await self._wait_for_progress(command.job, deadline)

    async def _wait_for_progress(self, job: JobName, deadline: Deadline) -> None:
        before = self._context.ledger.jobs.get(job)
        while remaining_time_s(deadline):
            await sleep_until(deadline_in(_POLL_INTERVAL_S))
            if self._context.ledger.jobs.get(job) != before:
                return

    def _is_outdated(self, command: PullBatch, sealed: BatchSealed) -> bool:
        """Return whether the trainer's version rose after the batch was checked."""
        view = self._context.ledger.jobs.get(command.job)
        return view is not None and view.trainer_version > sealed.trainer_version


def _build_delivered_batch(job: JobName, sealed: BatchSealed) -> DeliveredBatch:
    batch = sealed.batch
    samples = [
        DeliveredSample(
            batch.step,
            sample.group,
            sample.position,
            _decode_sample(sample.result.content),
        )
        for sample in sealed.samples
    ]
    return DeliveredBatch(
        job, batch.number, batch.step, batch.seal, sealed.trainer_version, samples
    )


def _job_name(request: web.Request) -> JobName:
    return JobName(request.match_info["job"])


def _batch_number(request: web.Request) -> BatchNumber:
    text = request.match_info["number"]
    number = parse_count(text)
    if not number:
        raise bad_request(
            f"batch number must be an integer above 0, not {text!r}", "number"
        )
    return BatchNumber(number)


def _requested_wait_s(request: web.Request) -> float:
    text = request.query.get("wait", "0")
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = -1.0
    if not 0 <= wait_s <= _MAX_WAIT_S:
        raise bad_request(
            f"wait must be a number of seconds from 0 to {_MAX_WAIT_S:g}, not {text!r}",
            "wait",
        )
    return wait_s
