"""Batch jobs at the leader: who runs them, and their results for readers."""

from __future__ import annotations

import msgspec

from ..clock import deadline_in, now, remaining
from ..connection.control_api import (
    BatchJobRead,
    BatchWork,
    CallStatus,
    ItemRead,
    ReadBatchJob,
    ReadItem,
)
from ..durable.batch_job_commands import AssignBatchJobs, ItemResult, SubmitBatchJob
from ..durable.batch_jobs import BatchJob
from ..durable.job_commands import SubmitStep
from ..exceptions import NotLeaderError
from ..ids import Address, BatchJobId, BootId, ServiceName
from .assignment import Candidate, choose_owner
from .control_context import ControlContext, LeaderState

MOST_ANSWER_BYTES = 600_000  # an answer to a reader is at most 1 MB


class BatchJobService:
    """Answers readers and sees to it that each open batch job has an owner.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context

    async def read(self, request: ReadBatchJob) -> BatchJobRead:
        """Return results from a position on, when there are some."""
        deadline = deadline_in(request.wait_s)
        while True:
            try:
                self._context.check_read_lease()
            except NotLeaderError as error:
                return BatchJobRead(CallStatus.NOT_LEADER, Address(error.leader))
            batch_job = self._find(request.batch_job)
            if batch_job is None:
                return BatchJobRead(CallStatus.DONE)
            results = _first_of(batch_job.results[request.after :])
            if results or not batch_job.is_open or not remaining(deadline):
                total = len(batch_job.spec.items)
                return BatchJobRead(CallStatus.DONE, Address(""), total, results)
            await self._context.wait_for_results(request.batch_job, remaining(deadline))

    async def read_item(self, request: ReadItem) -> ItemRead:
        """Return the body of an item."""
        try:
            self._context.check_read_lease()
        except NotLeaderError as error:
            return ItemRead(CallStatus.NOT_LEADER, Address(error.leader))
        batch_job = self._find(request.batch_job)
        item = batch_job.find_item(request.item) if batch_job is not None else None
        body = item.body if item is not None else None
        return ItemRead(CallStatus.DONE, Address(""), body)

    def assign_owner(
        self, command: SubmitBatchJob | SubmitStep, duties: LeaderState
    ) -> SubmitBatchJob | SubmitStep:
        """Return a submission with the entry process that should run it."""
        service = self._service_of(command)
        owner = choose_owner(self._candidates(duties), self._owners_of(service))
        if owner is None:
            return command
        return msgspec.structs.replace(command, owner=owner)

    async def reassign_orphaned_jobs(self, duties: LeaderState) -> None:
        """Give the batch jobs of entry processes that ended to others."""
        self._context.forget_submission_times()
        if now() < duties.leases.earlier_leases_expire_at:
            return
        table = self._context.machine.state.batch_jobs
        live = {lease.entry.boot for lease in duties.leases.live_leases()}
        ended = table.open_job_owners() - live
        candidates = self._candidates(duties)
        if not ended or not candidates:
            return
        owners: dict[BatchJobId, BootId] = {}
        for boot in ended:
            for batch_job in table.open_jobs_owned_by(boot):
                service = batch_job.spec.service
                owner = choose_owner(candidates, self._owners_of(service))
                if owner is not None:
                    owners[batch_job.spec.batch_job] = owner
        self._context.events.record(
            "batch_jobs.assigned", ended=sorted(ended), owners=owners
        )
        await self._context.execute(AssignBatchJobs(owners))

    def _service_of(self, command: SubmitBatchJob | SubmitStep) -> ServiceName | None:
        if isinstance(command, SubmitBatchJob):
            return command.spec.service
        job = self._context.machine.state.ledger.jobs.get(command.job)
        return job.settings.service if job is not None else None

    def _find(self, name: BatchJobId) -> BatchJob | None:
        return self._context.machine.state.batch_jobs.batch_jobs.get(name)

    def _owners_of(self, service: ServiceName | None) -> list[BootId]:
        """Return who runs the batch jobs of a service, the latest first."""
        table = self._context.machine.state.batch_jobs.batch_jobs
        owners = [
            each.owner
            for each in reversed(table.values())
            if each.spec.service == service and each.owner is not None
        ]
        return list(dict.fromkeys(owners))

    def _candidates(self, duties: LeaderState) -> list[Candidate]:
        table = self._context.machine.state.batch_jobs
        return [
            Candidate(
                lease.entry.boot,
                lease.health.lag_s,
                lease.health.is_draining,
                sum(
                    len(each.spec.items) - len(each.results)
                    for each in table.open_jobs_owned_by(lease.entry.boot)
                ),
            )
            for lease in duties.leases.live_leases()
        ]


def build_batch_work(batch_job: BatchJob, context: ControlContext) -> BatchWork:
    """Return what an entry needs to run a batch job."""
    spec = batch_job.spec
    age_s = context.batch_job_age_s(spec.batch_job, batch_job.at_ms)
    return BatchWork(spec, set(batch_job.listed), age_s)


def _first_of(results: list[ItemResult]) -> list[ItemResult]:
    """Return as many results as an answer holds; texts are packed to a half."""
    size = 0
    for count, result in enumerate(results):
        size += 2 * len(result.packed)
        if size > MOST_ANSWER_BYTES and count:
            return results[:count]
    return results
