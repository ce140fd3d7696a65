"""Runs the batch jobs that an entry process owns."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from ..clock import Deadline, deadline_in, now, remaining, sleep_until
from ..connection.backend import BackendServer
from ..connection.control_api import BatchWork, WorkView
from ..durable.batch_job_commands import (
    BatchItem,
    BatchJobSpec,
    CommitItems,
    ItemResult,
    ItemState,
)
from ..exceptions import ControlError
from ..ids import (
    BackendServerName,
    BatchJobId,
    CommandId,
    ItemId,
    ModelName,
    ServiceName,
    WeightVersion,
    new_id,
)
from ..request.item_moves import (
    EnginePace,
    RunningItem,
    choose_moves,
    slowness_of,
    typical_piece_s,
)
from ..request.item_placement import EngineRoom, WaitingItem
from ..request.item_progress import ItemProgress, RunEnd
from ..version.swap_plan import EngineView, ModelGoal, assign_models
from .context import EntryContext

_ROUND_S = 0.04
_AVOID_S = 0.5
_REFUSED_S = 0.2  # a change of weights takes 0.9 s; its end should be found soon
_LENGTH_WEIGHT = 0.05  # of one item in the smoothed number of events a token
_PARTIAL_KEPT_S = 30.0
_COMMIT_TIMEOUT_S = 2.0
_COMMIT_PAUSE_S = 0.2
_GIVE_UP_MARGIN_S = 3.0  # wall clocks of leaders may jump by seconds
_MOST_FAILURES = 2  # times the attempts of the route


@dataclass
class _OwnedJob:
    spec: BatchJobSpec
    due_at: Deadline
    give_up_at: Deadline
    items: dict[ItemId, ItemProgress] = field(default_factory=dict)
    tasks: dict[ItemId, asyncio.Task] = field(default_factory=dict)
    results: list[ItemResult] = field(default_factory=list)
    committing: set[ItemId] = field(default_factory=set)
    has_results: asyncio.Event = field(default_factory=asyncio.Event)
    committer: asyncio.Task | None = None


class BatchRunner:
    """Places the items of owned batch jobs and commits their results.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.

    Attributes
    ----------
    engine_became_idle : asyncio.Event
        Set when an engine has run out of items while a batch job goes on.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._jobs: dict[BatchJobId, _OwnedJob] = {}
        self._partials: dict[ItemId, tuple[ItemProgress, Deadline]] = {}
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._events_per_token = 0.0
        self._refused_at: dict[BackendServerName, float] = {}
        self.engine_became_idle = asyncio.Event()

    @property
    def context(self) -> EntryContext:
        """Parts of the entry process."""
        return self._context

    @property
    def batch_jobs(self) -> list[BatchJobId]:
        """Batch jobs that are run here."""
        return list(self._jobs)

    def running_items_by_server(self) -> dict[BackendServerName, int]:
        """Return the number of items that run at each engine."""
        return Counter(
            progress.server
            for job in self._jobs.values()
            for progress in job.items.values()
            if progress.server is not None
        )

    def waiting_items_by_model(self) -> dict[ModelName, int]:
        """Return the number of items of each model that wait for a slot."""
        return Counter(
            job.spec.model
            for job in self._jobs.values()
            for progress in job.items.values()
            if progress.server is None
        )

    def start(self) -> None:
        """Start to place items."""
        self._spawn(self._place_all())

    def wake(self) -> None:
        """Look at once whether an item can start."""
        self._changed.set()

    def apply(self, work: WorkView) -> None:
        """Take new batch jobs and give up those that are another's by now."""
        self._context.work_version = work.version
        for name in [each for each in self._jobs if each not in work.owned]:
            self._give_up(name)
        for added in work.added:
            job = self._jobs.get(added.spec.batch_job)
            if job is None:
                self._take(added)
            else:
                self._take_change(job, added)
        self._changed.set()

    async def finish(self, timeout_s: float) -> None:
        """Finish the batch jobs that are run here, for some seconds at most."""
        deadline = deadline_in(timeout_s)
        while self._jobs and remaining(deadline):
            await sleep_until(deadline_in(min(_ROUND_S, remaining(deadline))))
        for name in list(self._jobs):
            self._context.events.record("batch_job.left", batch_job=name)
            self._give_up(name)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_task_ended)
        return task

    def _note_task_ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._context.events.record(
                "batch_runner.task_failed", reason=repr(task.exception())
            )

    def _take(self, work: BatchWork) -> None:
        spec = work.spec
        give_up_s = spec.give_up_s + _GIVE_UP_MARGIN_S - work.age_s
        due_at = deadline_in(spec.due_s - work.age_s)
        job = _OwnedJob(spec, due_at, deadline_in(give_up_s))
        items = self._add_missing(job, work)
        self._jobs[spec.batch_job] = job
        job.committer = self._spawn(self._commit_results(job))
        self._context.events.record(
            "batch_job.taken",
            batch_job=spec.batch_job,
            items=len(items),
            age_s=round(work.age_s, 3),
        )

    def _take_change(self, job: _OwnedJob, work: BatchWork) -> None:
        """Allow only newer weights; what is too old by now is run again."""
        job.spec = work.spec
        for progress in job.items.values():
            progress.spec = work.spec
            if progress.item.item not in job.tasks and not progress.fits(work.spec):
                progress.output.start_over()
        reopened = self._add_missing(job, work)
        self._context.events.record(
            "batch_job.changed",
            batch_job=work.spec.batch_job,
            least_version=work.spec.least_version,
            reopened=len(reopened),
        )

    def _add_missing(self, job: _OwnedJob, work: BatchWork) -> list[ItemId]:
        """Add the items that have no result and are not on the way to one."""
        spec = work.spec
        known = work.listed | job.items.keys() | job.committing
        missing = [each for each in spec.items if each.item not in known]
        for item in missing:
            job.items[item.item] = self._begin(item, spec, job.give_up_at)
        return [each.item for each in missing]

    def _begin(
        self, item: BatchItem, spec: BatchJobSpec, give_up_at: Deadline
    ) -> ItemProgress:
        output = self._context.item_runner.begin(item, spec)
        fresh = ItemProgress(item, spec, give_up_at, output)
        partial, _ = self._partials.pop(item.item, (None, None))
        if partial is None or not partial.output.events:
            return fresh
        if partial.item.body != item.body or not partial.fits(spec):
            return fresh
        fresh.output = partial.output
        return fresh

    def _give_up(self, name: BatchJobId) -> None:
        job = self._jobs.pop(name)
        for task in job.tasks.values():
            task.cancel()
        if job.committer is not None:
            job.committer.cancel()
        kept_until = deadline_in(_PARTIAL_KEPT_S)
        for item, progress in job.items.items():
            self._partials[item] = (progress, kept_until)

    async def _place_all(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_ROUND_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            self._forget_partials()
            self._forget_refusals()
            for service, model in {
                (job.spec.service, job.spec.model) for job in self._jobs.values()
            }:
                try:
                    self._place(service, model)
                except Exception as error:  # the other models' items go on
                    self._context.events.record(
                        "items.not_placed", model=model, reason=repr(error)
                    )

    def _forget_partials(self) -> None:
        for item, (_, kept_until) in list(self._partials.items()):
            if not remaining(kept_until):
                del self._partials[item]

    def _forget_refusals(self) -> None:
        for server in self._refused_at.keys() - self._context.directory.servers.keys():
            del self._refused_at[server]

    def _place(self, service: ServiceName, model: ModelName) -> None:
        jobs = {
            name: job
            for name, job in self._jobs.items()
            if (job.spec.service, job.spec.model) == (service, model)
        }
        servers = {each.name: each for each in self._context.usable_servers(service)}
        rooms = self._rooms(list(servers.values()), service, model)
        is_full = all(room.taken >= room.slots for room in rooms)
        if is_full and any(len(job.items) > len(job.tasks) for job in jobs.values()):
            return
        waiting = [
            _waiting_item(name, job, progress)
            for name, job in jobs.items()
            for progress in job.items.values()
            if progress.item.item not in job.tasks
        ]
        running = {name: len(job.tasks) for name, job in jobs.items()}
        if waiting:
            room = self._context.settings.max_items_in_flight - sum(running.values())
            placed = self._context.place_items(waiting, rooms, running)
            for (name, item), server in placed[: max(0, room)]:
                self._start(jobs[name], item, servers[server])
        else:
            self._move(jobs, rooms, servers)

    def _move(
        self,
        jobs: dict[BatchJobId, _OwnedJob],
        rooms: list[EngineRoom],
        servers: dict[BackendServerName, BackendServer],
    ) -> None:
        running = [
            RunningItem(
                (name, progress.item.item),
                name,
                progress.server,
                progress.output.events,
                self._expected_events(progress),
                now() - progress.run_at,
            )
            for name, job in jobs.items()
            for progress in job.items.values()
            if progress.server is not None and not progress.is_moving
        ]
        least = max((job.spec.least_version for job in jobs.values()), default=0)
        paces = [
            self._pace(
                servers[room.server],
                room.slots - room.taken if room.version >= least else 0,
            )
            for room in rooms
        ]
        for name, item in choose_moves(running, paces):
            jobs[name].items[item].is_moving = True
            jobs[name].tasks[item].cancel()

    def _pace(self, server: BackendServer, free: int) -> EnginePace:
        return EnginePace(
            server.name,
            server.load.event_interval_s,
            self._silent_s(server.name),
            free,
            server.load.reported_slowness,
        )

    def _silent_s(self, server: BackendServerName) -> float:
        """Return the seconds since any stream at an engine had an event."""
        heard = [
            progress.event_at
            for job in self._jobs.values()
            for progress in job.items.values()
            if progress.server == server
        ]
        return now() - max(heard) if heard else 0.0

    def _expected_events(self, progress: ItemProgress) -> float:
        return progress.item.length_hint * self._events_per_token

    def _rooms(
        self, servers: list[BackendServer], service: ServiceName, model: ModelName
    ) -> list[EngineRoom]:
        home = self._homes(servers, service)
        paces = {each.name: self._pace(each, 0) for each in servers}
        typical_s = typical_piece_s(list(paces.values()))
        return [
            EngineRoom(
                server.name,
                self._slots(server),
                self._taken(server),
                server.version_of(model),
                home.get(server.name, model) == model,
                slowness_of(paces[server.name], typical_s),
                self._groups_at(server.name),
            )
            for server in servers
        ]

    def _slots(self, server: BackendServer) -> int:
        """Return the slots to count on.

        An engine that refused an item, as it does while it changes weights,
        gets one item at a time until it has taken one.
        """
        refused_at = self._refused_at.get(server.name)
        if refused_at is None:
            return server.load.slots
        tries = [
            progress
            for job in self._jobs.values()
            for progress in job.items.values()
            if progress.server == server.name and progress.run_at > refused_at
        ]
        if any(progress.event_at > progress.run_at for progress in tries):
            del self._refused_at[server.name]
            return server.load.slots
        if tries or now() < refused_at + _REFUSED_S:
            return 0
        return min(server.load.slots, self._taken(server) + 1)

    def _taken(self, server: BackendServer) -> int:
        """Return the slots that items cannot have, since work runs there or may."""
        load = server.load
        kept = load.slots - self._context.max_long_requests(server)
        return max(load.expected_in_flight, load.long_in_flight + kept)

    def _homes(
        self, servers: list[BackendServer], service: ServiceName
    ) -> dict[BackendServerName, ModelName]:
        settings = self._context.configuration.settings.services.get(service)
        if settings is None:
            return {}
        releases = self._context.directory.releases
        goals = [
            ModelGoal(ModelName(each), releases.get(each, WeightVersion(1)))
            for each in settings.models
        ]
        views = [
            EngineView(each.name, each.announcement.models, False) for each in servers
        ]
        return assign_models(views, goals)

    def _groups_at(self, server: BackendServerName) -> set:
        return {
            progress.item.group
            for job in self._jobs.values()
            for progress in job.items.values()
            if progress.server == server
        }

    def _start(self, job: _OwnedJob, item: ItemId, server: BackendServer) -> None:
        progress = job.items[item]
        progress.server = server.name
        task = self._spawn(self._run(job, progress, server))
        job.tasks[item] = task
        # A task that is cancelled before its first step runs no clean-up of its own.
        task.add_done_callback(lambda _: self._note_run_ended(job, progress, server))

    def _note_run_ended(
        self, job: _OwnedJob, progress: ItemProgress, server: BackendServer
    ) -> None:
        task = job.tasks.pop(progress.item.item, None)
        if task is not None and not task.cancelled() and task.exception() is not None:
            progress.avoided[server.name] = deadline_in(_AVOID_S)
        progress.server = None
        progress.is_moving = False
        self._changed.set()
        self._note_idle(server.name)

    async def _run(
        self, job: _OwnedJob, progress: ItemProgress, server: BackendServer
    ) -> None:
        item = progress.item.item
        started_at = now()
        progress.event_at = progress.run_at = started_at
        try:
            end = await self._context.item_runner.run(progress, server, self._context)
        except asyncio.CancelledError:
            if not progress.is_moving:
                raise
            end = RunEnd.MOVED
        self._context.metrics.items.labels(job.spec.service, end.value).inc()
        if end is RunEnd.WHOLE:
            self._note_length(progress)
            self._enter(job, progress, ItemState.COMPLETED)
        elif end is RunEnd.IMPOSSIBLE:
            self._enter(job, progress, ItemState.EXPIRED)
        else:
            self._note_end(job, progress, server, end)
        if end is not RunEnd.WHOLE:
            self._context.events.record(
                "item.run_ended",
                item=item,
                batch_job=job.spec.batch_job,
                server=server.name,
                end=end.value,
                seconds=round(now() - started_at, 3),
                events=progress.output.events,
            )

    def _note_end(
        self,
        job: _OwnedJob,
        progress: ItemProgress,
        server: BackendServer,
        end: RunEnd,
    ) -> None:
        progress.avoided[server.name] = deadline_in(_AVOID_S)
        if end is RunEnd.NOT_RUN:
            self._refused_at[server.name] = now()
        if end is RunEnd.FAILED:
            progress.failures += 1
        elif end in (RunEnd.BROKEN, RunEnd.SILENT):
            progress.losses += 1
        elif end is RunEnd.TOO_OLD and not progress.fits(job.spec):
            progress.output.start_over()
        is_late = not remaining(progress.give_up_at)
        if is_late or progress.failures >= _MOST_FAILURES * job.spec.max_attempts:
            self._enter(job, progress, ItemState.EXPIRED)

    def _note_length(self, progress: ItemProgress) -> None:
        if progress.item.length_hint and progress.output.events:
            ratio = progress.output.events / progress.item.length_hint
            if not self._events_per_token:
                self._events_per_token = ratio
            self._events_per_token += _LENGTH_WEIGHT * (ratio - self._events_per_token)

    def _note_idle(self, server: BackendServerName) -> None:
        """Tell control at once when an engine has run out of items."""
        if (
            server not in self.running_items_by_server()
            and not self.waiting_items_by_model()
        ):
            self.engine_became_idle.set()

    def _enter(self, job: _OwnedJob, progress: ItemProgress, state: ItemState) -> None:
        job.items.pop(progress.item.item, None)
        job.results.append(progress.result(state))
        job.committing.add(progress.item.item)
        job.has_results.set()

    async def _commit_results(self, job: _OwnedJob) -> None:
        while True:
            await job.has_results.wait()
            job.has_results.clear()
            results, job.results = job.results, []
            command = CommitItems(job.spec.batch_job, results)
            command_id = CommandId(new_id("items"))
            while not await self._commit(command, command_id):
                await sleep_until(deadline_in(_COMMIT_PAUSE_S))
            self._note_committed(job, results)

    def _note_committed(self, job: _OwnedJob, results: list[ItemResult]) -> None:
        """Run those again that were too old by the time they were committed.

        A later change of the job may reach this process before the answer to
        the commit that came first.
        """
        items = {each.item: each for each in job.spec.items}
        for result in results:
            job.committing.discard(result.item)
            if not result.is_fresh(job.spec.least_version):
                job.items[result.item] = self._begin(
                    items[result.item], job.spec, job.give_up_at
                )
                self._changed.set()

    async def _commit(self, command: CommitItems, command_id: CommandId) -> bool:
        try:
            await self._context.control.propose(
                command, command_id, deadline_in(_COMMIT_TIMEOUT_S)
            )
        except ControlError as error:
            self._context.events.record(
                "items.uncommitted", batch_job=command.batch_job, reason=str(error)
            )
            return False
        self._context.events.record(
            "items.committed",
            batch_job=command.batch_job,
            items=[each.item for each in command.results],
            expired=sum(each.state is ItemState.EXPIRED for each in command.results),
        )
        return True


def _waiting_item(
    name: BatchJobId, job: _OwnedJob, progress: ItemProgress
) -> WaitingItem[tuple[BatchJobId, ItemId]]:
    for server in [each for each, at in progress.avoided.items() if not remaining(at)]:
        del progress.avoided[server]
    group = progress.item.group
    return WaitingItem(
        key=(name, progress.item.item),
        batch_job=name,
        due_at=job.due_at,
        group=group,
        is_group_begun=progress.output.events > 0,
        length=progress.item.length_hint or progress.item.tokens,
        least_version=job.spec.least_version,
        avoided=frozenset(progress.avoided),
    )
