"""Generates the samples of rollout jobs in an entry process."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Coroutine
from typing import Any

import msgspec
from result import Err, Ok

from ..connection.control_api import JobView
from ..durable.commands import AnyCommand, AnyResult
from ..durable.job_commands import (
    ClaimedGroup,
    ClaimGroups,
    CommitSamples,
    GroupsClaimed,
    ReportMissing,
    SampleFate,
    SampleRecord,
    SamplesCommitted,
)
from ..exceptions import ControlError
from ..ids import BodyDigest, CommandId, JobName, ServiceName, new_id
from ..request.sample import Slot, make_sample
from .clock import deadline_in, sleep_until
from .context import EntryContext

_SAMPLES_PER_CLAIM = 4
_COMMIT_PAUSE_S = 0.02
_SAMPLES_PER_COMMIT = 256
_ATTEMPT_TIMEOUT_S = 5.0
_RETRY_PAUSE_S = 0.2
_IDLE_S = 0.5


class Rollouts:
    """Claims groups, generates their samples and commits them.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._in_flight = 0
        self._by_job: Counter[JobName] = Counter()
        self._empty_at: dict[JobName, int] = {}
        self._changed = asyncio.Event()
        self._finished: list[tuple[SampleRecord, asyncio.Future[SampleFate]]] = []
        self._has_finished = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    @property
    def in_flight(self) -> int:
        """Samples that are claimed and not yet committed."""
        return self._in_flight

    def start(self) -> None:
        """Start to claim and to commit."""
        self._spawn(self._claim_all())
        self._spawn(self._commit_all())

    def wake(self) -> None:
        """Look for open groups at once."""
        self._changed.set()

    async def finish(self, timeout_s: float) -> None:
        """Finish the samples in flight, for some seconds at most."""
        try:
            async with asyncio.timeout(timeout_s):
                while self._in_flight:
                    await sleep_until(deadline_in(_COMMIT_PAUSE_S))
        except TimeoutError:
            self._context.events.record("samples.cut", count=self._in_flight)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _claim_all(self) -> None:
        while True:
            self._changed.clear()
            name = self._next_job()
            if name is None:
                await self._wait_for_change()
            else:
                await self._claim(name)

    def _next_job(self) -> JobName | None:
        """Return the job with the fewest samples here that has open ones."""
        ledger = self._context.ledger
        waiting = [
            name
            for name, job in ledger.jobs.items()
            if job.open_samples
            and self._empty_at.get(name) != ledger.version
            and self._claimable(job) > 0
        ]
        return min(waiting, key=lambda each: self._by_job[each], default=None)

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(_IDLE_S):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _claim(self, name: JobName) -> None:
        ledger = self._context.ledger
        is_alone = sum(job.open_samples > 0 for job in ledger.jobs.values()) == 1
        most = self._claimable(ledger.jobs[name]) if is_alone else 1
        command = ClaimGroups(name, self._context.peers.holder, most)
        result = await self._execute(command)
        if not isinstance(result, GroupsClaimed) or not result.groups:
            self._empty_at[name] = ledger.version
            return
        for group in result.groups:
            self._in_flight += len(group.missing)
            self._by_job[name] += len(group.missing)
            self._spawn(self._generate_group(name, group))

    def _claimable(self, job: JobView) -> int:
        if self._context.is_draining or not self._context.in_force.is_leased:
            return 0
        service = job.settings.service
        left = self._context.long_slots(service) - self._generating_at(service)
        room = self._context.settings.max_samples_in_flight - self._by_job.total()
        return min(_SAMPLES_PER_CLAIM, left, room)

    def _generating_at(self, service: ServiceName) -> int:
        jobs = self._context.ledger.jobs
        return sum(
            count
            for name, count in self._by_job.items()
            if name in jobs and jobs[name].settings.service == service
        )

    async def _generate_group(self, name: JobName, group: ClaimedGroup) -> None:
        prompts = await self._prompts(name, group)
        samples = [
            self._generate(
                Slot(name, group.step, group.group, position),
                prompts[group.group] if prompts is not None else None,
            )
            for position in group.missing
        ]
        await asyncio.gather(*samples)

    async def _prompts(self, name: JobName, group: ClaimedGroup) -> list[str] | None:
        while self._is_open(name, group):
            match await self._context.peers.fetch(group.prompts, group.prompt_holders):
                case Ok(body):
                    return msgspec.msgpack.decode(body, type=list[str])
                case Err(unreachable):
                    await self._report(name, group.prompts, unreachable.without_it)
            await sleep_until(deadline_in(_RETRY_PAUSE_S))
        return None

    async def _report(self, name: JobName, body: BodyDigest, without_it: list) -> None:
        for boot in without_it:
            await self._execute(ReportMissing(name, body, boot))

    def _is_open(self, name: JobName, group: ClaimedGroup) -> bool:
        job = self._context.ledger.jobs.get(name)
        return job is not None and job.oldest_step <= group.step

    async def _generate(self, slot: Slot, prompt: str | None) -> None:
        try:
            while await self._generate_once(slot, prompt):
                self._by_job[slot.job] += 1
                await sleep_until(deadline_in(_RETRY_PAUSE_S))
        finally:
            self._in_flight -= 1

    async def _generate_once(self, slot: Slot, prompt: str | None) -> bool:
        """Return whether the sample must be generated again."""
        job = self._context.ledger.jobs.get(slot.job)
        try:
            if prompt is None or job is None or job.oldest_step > slot.step:
                return False
            made = await make_sample(slot, prompt, job, self._context)
        finally:
            self._by_job[slot.job] -= 1
            self._changed.set()
        match made:
            case Ok(record):
                return await self._commit(record) is SampleFate.STALE
            case Err(reason):
                self._context.events.record(
                    "sample.failed", slot=str(slot), reason=reason
                )
        return True

    async def _commit(self, record: SampleRecord) -> SampleFate:
        future: asyncio.Future[SampleFate] = asyncio.get_running_loop().create_future()
        self._finished.append((record, future))
        self._has_finished.set()
        return await future

    async def _commit_all(self) -> None:
        while True:
            await self._has_finished.wait()
            await sleep_until(deadline_in(_COMMIT_PAUSE_S))
            self._has_finished.clear()
            while self._finished:
                batch = self._finished[:_SAMPLES_PER_COMMIT]
                del self._finished[: len(batch)]
                await self._commit_batch(batch)

    async def _commit_batch(
        self, batch: list[tuple[SampleRecord, asyncio.Future[SampleFate]]]
    ) -> None:
        result = await self._execute(CommitSamples([record for record, _ in batch]))
        assert isinstance(result, SamplesCommitted)
        for (record, future), fate in zip(batch, result.fates):
            self._context.metrics.samples.labels(record.job, fate.value).inc()
            if not future.done():
                future.set_result(fate)

    async def _execute(self, command: AnyCommand) -> AnyResult:
        command_id = CommandId(new_id("rollout"))
        while True:
            try:
                return await self._context.control.propose(
                    command, command_id, deadline_in(_ATTEMPT_TIMEOUT_S)
                )
            except ControlError:
                await sleep_until(deadline_in(_RETRY_PAUSE_S))
