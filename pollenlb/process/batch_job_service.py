"""Leader side of batch jobs: assigns entry processes and answers readers."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..clock import deadline_in, now, remaining_time_s
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
from ..scheduling.assignment import Candidate, add_open_items, choose_owner
from .control_context import ControlContext, LeaderState

MAX_ANSWER_BYTES = 600_000  # leaves a margin below the 1 MB limit of an answer
# Batch jobs in one answer to a renewal, which is given up after about a second.
MAX_WORK_BYTES = 1_000_000
# What an item takes beside its body: id, path, headers.
_ITEM_BYTES = 300


class BatchJobService:
    """Answers readers and assigns each open batch job to an entry process.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context

    async def read(self, request: ReadBatchJob) -> BatchJobRead:
        """Return results of a batch job from a position onwards.

        Waits for at most the time of the request until there are results or the
        batch job has ended. The answer has no total when the batch job does not
        exist, and says so when this process is not the leader.
        """
        deadline = deadline_in(request.wait_s)
        while True:
            try:
                self._context.check_read_lease()
            except NotLeaderError as error:
                return BatchJobRead(CallStatus.NOT_LEADER, Address(error.leader))
            batch_job = self._find_batch_job(request.batch_job)
            if batch_job is None:
                return BatchJobRead(CallStatus.DONE)
            results = _limit_to_one_answer(batch_job.results[request.after :])
            if results or not batch_job.is_open or not remaining_time_s(deadline):
                total = len(batch_job.spec.items)
                return BatchJobRead(CallStatus.DONE, Address(""), total, results)
            await self._context.wait_for_results(
                request.batch_job, remaining_time_s(deadline)
            )

    async def read_item(self, request: ReadItem) -> ItemRead:
        """Return the body of an item; none if it does not exist or has a result."""
        try:
            self._context.check_read_lease()
        except NotLeaderError as error:
            return ItemRead(CallStatus.NOT_LEADER, Address(error.leader))
        batch_job = self._find_batch_job(request.batch_job)
        if batch_job is None or request.item in batch_job.digests:
            return ItemRead(CallStatus.DONE)
        item = batch_job.find_item(request.item)
        body = item.body if item is not None else None
        return ItemRead(CallStatus.DONE, Address(""), body)

    def assign_owner(
        self, command: SubmitBatchJob | SubmitStep, leader_state: LeaderState
    ) -> SubmitBatchJob | SubmitStep:
        """Return the submission with the entry process that should run it as owner."""
        service = self._service_of(command)
        owner = choose_owner(
            self._candidates(leader_state), self._recent_owners(service)
        )
        if owner is None:
            return command
        return msgspec.structs.replace(command, owner=owner)

    async def reassign_orphaned_jobs(self, leader_state: LeaderState) -> None:
        """Reassign batch jobs of entry processes that are lost or reach no server.

        Those of an entry process that reaches no backend server stay there while no
        other one can take them over. Does nothing until leases that an earlier leader
        may have granted have expired.
        """
        self._context.forget_submission_times()
        if now() < leader_state.leases.earlier_leases_expire_at:
            return
        table = self._context.machine.state.batch_jobs
        owning = table.open_job_owners()
        candidates = self._candidates(leader_state)
        ended = owning - {candidate.boot for candidate in candidates}
        stranded: set[BootId] = set()
        if any(candidate.can_take_over for candidate in candidates):
            stranded = owning & {
                candidate.boot for candidate in candidates if candidate.is_stranded
            }
        left = ended | stranded
        if not left or not candidates:
            return
        owners: dict[BatchJobId, BootId] = {}
        for boot in left:
            for batch_job in table.open_jobs_owned_by(boot):
                service = batch_job.spec.service
                owner = choose_owner(candidates, self._recent_owners(service))
                if owner is not None:
                    owners[batch_job.spec.batch_job] = owner
                    candidates = add_open_items(
                        candidates, owner, batch_job.open_item_count
                    )
        self._context.events.record(
            "batch_jobs.assigned",
            ended=sorted(ended),
            stranded=sorted(stranded),
            owners=owners,
        )
        await self._context.execute(AssignBatchJobs(owners))

    def _service_of(self, command: SubmitBatchJob | SubmitStep) -> ServiceName | None:
        if isinstance(command, SubmitBatchJob):
            return command.spec.service
        job = self._context.machine.state.ledger.jobs.get(command.job)
        return job.settings.service if job is not None else None

    def _find_batch_job(self, name: BatchJobId) -> BatchJob | None:
        return self._context.machine.state.batch_jobs.batch_jobs.get(name)

    def _recent_owners(self, service: ServiceName | None) -> list[BootId]:
        """Return the owners of a service's batch jobs, the latest first."""
        table = self._context.machine.state.batch_jobs.batch_jobs
        owners = [
            batch_job.owner
            for batch_job in reversed(table.values())
            if batch_job.spec.service == service and batch_job.owner is not None
        ]
        return list(dict.fromkeys(owners))

    def _candidates(self, leader_state: LeaderState) -> list[Candidate]:
        table = self._context.machine.state.batch_jobs
        return [
            Candidate(
                lease.entry.boot,
                lease.health.lag_s,
                lease.health.is_draining,
                sum(
                    len(batch_job.spec.items) - len(batch_job.results)
                    for batch_job in table.open_jobs_owned_by(lease.entry.boot)
                ),
                lease.health.is_stranded,
            )
            for lease in leader_state.leases.live_leases()
        ]


def build_batch_work(batch_job: BatchJob, context: ControlContext) -> BatchWork:
    """Return the message from which an entry process runs a batch job."""
    spec = batch_job.spec
    age_s = context.batch_job_age_s(spec.batch_job, batch_job.at_ms)
    saved = list(batch_job.saved.values())
    failed_runs = dict(batch_job.failed_runs)
    return BatchWork(spec, set(batch_job.listed), age_s, saved, failed_runs)


def count_jobs_in_one_answer(batch_jobs: Sequence[BatchJob]) -> int:
    """Return how many of the first batch jobs an answer to their owner may hold.

    At least one. The answer has to arrive before a renewal of the lease is given up.
    """
    size = 0
    for count, batch_job in enumerate(batch_jobs):
        size += sum(len(item.body) + _ITEM_BYTES for item in batch_job.spec.items)
        size += sum(len(output.packed) for output in batch_job.saved.values())
        if size > MAX_WORK_BYTES and count:
            return count
    return len(batch_jobs)


def _limit_to_one_answer(results: list[ItemResult]) -> list[ItemResult]:
    """Return as many of the first results as fit into one answer, at least one.

    Texts are compressed to about half of their size, so a text counts as twice
    its compressed size.
    """
    size = 0
    for count, result in enumerate(results):
        size += 2 * len(result.packed)
        if size > MAX_ANSWER_BYTES and count:
            return results[:count]
    return results
