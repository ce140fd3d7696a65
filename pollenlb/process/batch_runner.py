"""Runs the batch jobs that are assigned to an entry process."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Coroutine
from dataclasses import replace
from functools import partial
from typing import Any

from result import Err, Ok

from ..clock import Deadline, deadline_in, now, remaining_time_s, sleep_until
from ..connection.backend import BackendServer
from ..connection.control_api import BatchWork, LoadsView, WorkView
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
    GroupName,
    InWorkspace,
    ItemId,
    ModelName,
    ServiceName,
    WeightVersion,
    new_id,
)
from ..request.contact import has_contact_with_any
from ..request.item_progress import ItemProgress, RunEnd
from ..scheduling.engine_availability import EngineAvailability, ItemRun
from ..scheduling.fair_queue import Flow
from ..scheduling.item_moves import (
    EngineSpeed,
    RunningItem,
    choose_moves,
    estimate_slowness,
    typical_event_interval_s,
)
from ..scheduling.item_placement import EngineCapacity, WaitingItem
from ..scheduling.model_division import complete_assignment
from ..scheduling.swap_plan import EngineView, ModelGoal
from .context import EntryContext
from .item_flows import item_shares
from .output_saver import OutputSaver, restore_output
from .owned_job import OwnedJob
from .reward_calls import RewardCalls, ScoredItem

_PLACEMENT_INTERVAL_S = 0.04
# Shortest time between two checks whether this entry reaches a backend server.
_CONTACT_CHECK_INTERVAL_S = 0.5
# An item avoids an engine for this long after a run there that did not complete.
_AVOID_SERVER_S = 0.5
# An interrupted item with this many events waits for so long for a slot at an engine
# that can continue them, before another one starts it over.
_MIN_KEPT_EVENT_COUNT = 5
_CONTINUATION_WAIT_S = 1.0
# Weight of one item in the smoothed number of events per token.
_LENGTH_SMOOTHING_RATIO = 0.05
# Weight of one item in the smoothed duration of runs, and its first value.
_RUN_SMOOTHING_RATIO = 0.05
_DEFAULT_RUN_S = 1.0
# Partial output of a released batch job is retained in case the job returns.
_PARTIAL_RETENTION_S = 30.0
_COMMIT_TIMEOUT_S = 2.0
_COMMIT_RETRY_DELAY_S = 0.2
# Pause before a reward call whose answer brought no score is repeated.
_SCORE_RETRY_DELAY_S = 0.5
# Postpones the expiry of items, since wall clocks of leaders may jump by seconds.
_EXPIRY_MARGIN_S = 3.0
# An item expires after this many failed runs per allowed attempt of its route.
_MAX_FAILURES_RATIO = 2
# In a later batch job it runs again, until it has failed this often in all of them.
_MAX_CARRIED_FAILURES_RATIO = 3


class BatchRunner:
    """Places the items of owned batch jobs and commits their results.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.

    Attributes
    ----------
    engine_became_idle : asyncio.Event
        Set when an engine has run out of items while a batch job is still open,
        so that the lease is renewed at once and control learns of it.
    contact_changed : asyncio.Event
        Set, for the same reason, when this entry reaches no backend server any more,
        once its output is saved, or reaches one again.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._jobs: dict[BatchJobId, OwnedJob] = {}
        self._partials: dict[
            tuple[ModelName, InWorkspace[ItemId]], tuple[ItemProgress, Deadline]
        ] = {}
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._reward_calls = RewardCalls(context)
        self._saver = OutputSaver(context, self._jobs)
        self._events_per_token = 0.0
        self._running_at: dict[BackendServerName, list[ItemProgress]] = {}
        self._availability = EngineAvailability()
        self._loads_version = 0
        self._run_s = _DEFAULT_RUN_S
        self._assigned: dict[BackendServerName, ModelName] = {}
        self._is_stranded = False
        self._contact_task: asyncio.Task | None = None
        self._contact_checked_until = Deadline(0.0)
        self.engine_became_idle = asyncio.Event()
        self.contact_changed = asyncio.Event()

    @property
    def context(self) -> EntryContext:
        """Parts of the entry process."""
        return self._context

    @property
    def batch_jobs(self) -> list[BatchJobId]:
        """Batch jobs that this process runs."""
        return list(self._jobs)

    @property
    def loads_version(self) -> int:
        """Version of the planned loads of weights that were applied last."""
        return self._loads_version

    @property
    def is_stranded(self) -> bool:
        """Whether this entry reaches no backend server, as others may act on.

        Further servers were asked, and the output of running items was saved.
        """
        return self._is_stranded

    def running_items_by_server(self) -> dict[BackendServerName, int]:
        """Return the number of running items by engine."""
        return Counter(
            progress.server
            for job in self._jobs.values()
            for progress in job.items.values()
            if progress.server is not None
        )

    def waiting_items_by_model(self) -> dict[ModelName, int]:
        """Return the number of items that wait for a slot, by model."""
        return Counter(
            job.spec.model
            for job in self._jobs.values()
            for progress in job.items.values()
            if progress.server is None and not progress.output.is_generated
        )

    def start(self) -> None:
        """Start the task that places items."""
        self._spawn(self._run_placement_loop())
        self._spawn(self._saver.run())

    def wake(self) -> None:
        """Place items at once instead of after the usual interval."""
        self._changed.set()

    def apply(self, work: WorkView) -> None:
        """Add new batch jobs and release those that another entry process now runs.

        Parameters
        ----------
        work : WorkView
            Batch jobs that are assigned to this process.
        """
        self._context.batch_jobs_version = work.version
        for name in [owned for owned in self._jobs if owned not in work.owned]:
            self._release_job(name)
        for added in work.added:
            job = self._jobs.get(added.spec.batch_job)
            if job is None:
                self._add_job(added)
            else:
                self._update_job(job, added)
        self._changed.set()

    def apply_loads(self, view: LoadsView) -> None:
        """Place no items on engines that are about to load a weight version."""
        self._loads_version = view.version
        self._assigned = view.assigned
        self._availability.apply_loads(view.loads, now())
        self._changed.set()

    async def drain(self, timeout_s: float) -> None:
        """Wait until the batch jobs are finished, then release what is left and stop.

        Parameters
        ----------
        timeout_s : float
            Maximum time to wait, in seconds.
        """
        deadline = deadline_in(timeout_s)
        while self._jobs and remaining_time_s(deadline):
            await sleep_until(
                deadline_in(min(_PLACEMENT_INTERVAL_S, remaining_time_s(deadline)))
            )
        await self._saver.save()
        for name in list(self._jobs):
            self._context.events.record("batch_job.left", batch_job=name)
            self._release_job(name)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._context.events.record(
                "batch_runner.task_failed", reason=repr(task.exception())
            )

    def _add_job(self, work: BatchWork) -> None:
        spec = work.spec
        expires_in_s = spec.give_up_s + _EXPIRY_MARGIN_S - work.age_s
        due_at = deadline_in(spec.due_s - work.age_s)
        job = OwnedJob(spec, due_at, deadline_in(expires_in_s))
        items = self._add_missing_items(job, work)
        self._jobs[spec.batch_job] = job
        job.commit_task = self._spawn(self._commit_results(job))
        self._context.events.record(
            "batch_job.taken",
            batch_job=spec.batch_job,
            items=len(items),
            age_s=round(work.age_s, 3),
        )

    def _update_job(self, job: OwnedJob, work: BatchWork) -> None:
        """Apply a higher minimum weight version; rerun items that are now too old."""
        job.spec = work.spec
        for progress in job.items.values():
            progress.spec = work.spec
            if progress.item.item not in job.tasks and not progress.satisfies(
                work.spec
            ):
                progress.output.start_over()
        reopened = self._add_missing_items(job, work)
        self._context.events.record(
            "batch_job.changed",
            batch_job=work.spec.batch_job,
            least_version=work.spec.least_version,
            reopened=len(reopened),
        )

    def _add_missing_items(self, job: OwnedJob, work: BatchWork) -> list[ItemId]:
        """Add items that have no result, no progress and no commit in flight."""
        spec = work.spec
        known = work.listed | job.items.keys() | job.committing
        missing = [item for item in spec.items if item.item not in known]
        saved = {output.item: output for output in work.saved}
        for item in missing:
            progress = self._create_progress(item, spec, job.expires_at)
            restore_output(progress, saved.get(item.item))
            failed_runs = work.failed_runs.get(item.item, 0)
            progress.failed_runs = progress.saved_failed_runs = failed_runs
            job.add(progress)
            if failed_runs >= _MAX_CARRIED_FAILURES_RATIO * spec.max_attempts:
                self._add_result(job, progress, ItemState.EXPIRED)
        return [item.item for item in missing]

    def _create_progress(
        self, item: BatchItem, spec: BatchJobSpec, expires_at: Deadline
    ) -> ItemProgress:
        """Return the progress of an item, with retained partial output if allowed."""
        output = self._context.item_runner.create_output(item, spec)
        fresh = ItemProgress(item, spec, expires_at, output)
        partial, _ = self._partials.pop(_partial_key(item.item, spec), (None, None))
        if partial is None or not partial.output.events:
            return fresh
        if partial.item.body != item.body or not partial.satisfies(spec):
            return fresh
        fresh.output = partial.output
        # No event comes that would set it if the output is complete.
        fresh.saved_at = partial.saved_at
        return fresh

    def _release_job(self, name: BatchJobId) -> None:
        job = self._jobs.pop(name)
        for task in job.tasks.values():
            task.cancel()
        if job.commit_task is not None:
            job.commit_task.cancel()
        retained_until = deadline_in(_PARTIAL_RETENTION_S)
        for item, progress in job.items.items():
            self._partials[_partial_key(item, job.spec)] = (progress, retained_until)

    async def _run_placement_loop(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_PLACEMENT_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            self._watch_contact()
            self._discard_expired_partials()
            self._availability.forget_unlisted(self._context.directory.servers)
            self._start_reward_calls()
            for service, model in {
                (job.spec.service, job.spec.model) for job in self._jobs.values()
            }:
                try:
                    self._place(service, model)
                except Exception as error:  # items of other models are still placed
                    self._context.events.record(
                        "items.not_placed", model=model, reason=repr(error)
                    )

    def _watch_contact(self) -> None:
        if self._contact_task is not None and not self._contact_task.done():
            return
        if self._context.reachability.is_stranded == self._is_stranded:
            return
        if not remaining_time_s(self._contact_checked_until):
            self._contact_checked_until = deadline_in(_CONTACT_CHECK_INTERVAL_S)
            self._contact_task = self._spawn(self._update_contact())

    async def _update_contact(self) -> None:
        """Report a change of the contact if new connections confirm it.

        The servers that failed may be the only ones that do, and the contact may be
        that of old connections which live on.
        """
        servers = self._context.directory.servers.values()
        is_stranded = not await has_contact_with_any(servers, self._context)
        if is_stranded == self._is_stranded:
            return
        if is_stranded:
            await self._saver.save()
        self._is_stranded = is_stranded
        self.contact_changed.set()

    def _discard_expired_partials(self) -> None:
        for key, (_, retained_until) in list(self._partials.items()):
            if not remaining_time_s(retained_until):
                del self._partials[key]

    def _start_reward_calls(self) -> None:
        """Start to score the items whose output is complete."""
        for job in self._jobs.values():
            for progress in job.items.values():
                item = progress.item.item
                if progress.output.is_generated and item not in job.tasks:
                    task = self._spawn(self._score_item(job, progress))
                    job.tasks[item] = task
                    task.add_done_callback(partial(self._on_scored, job, item))

    def _on_scored(self, job: OwnedJob, item: ItemId, _: asyncio.Task) -> None:
        job.tasks.pop(item, None)
        self._changed.set()

    def _place(self, service: ServiceName, model: ModelName) -> None:
        jobs = {
            name: job
            for name, job in self._jobs.items()
            if (job.spec.service, job.spec.model) == (service, model)
        }
        servers = {
            server.name: server for server in self._context.usable_servers(service)
        }
        waiting_progress = [
            (name, job, progress)
            for name, job in jobs.items()
            for progress in job.items.values()
            if progress.item.item not in job.tasks and not progress.output.is_generated
        ]
        waiting_count = len(waiting_progress)
        for usable in servers.values():
            usable.request_limit.record_waiting_items(waiting_count)
        self._index_running_items()
        engines = self._engine_capacities(list(servers.values()), service, model)
        if waiting_count and not any(engine.free_slots for engine in engines):
            return
        running = {
            name: sum(progress.server is not None for progress in job.items.values())
            for name, job in jobs.items()
        }
        specs = {name: job.spec for name, job in jobs.items()}
        shares = item_shares(specs, running, self._context.configuration.settings)
        waiting = [
            _waiting_item(*waits, *shares.get(waits[0], ()))
            for waits in waiting_progress
        ]
        if waiting:
            free = self._context.settings.max_items_in_flight - sum(running.values())
            placed = self._context.place_items(waiting, engines, running)
            for (name, item), server in placed[: max(0, free)]:
                self._start_item(jobs[name], item, servers[server])
        else:
            self._move_slow_items(jobs, engines, servers)

    def _move_slow_items(
        self,
        jobs: dict[BatchJobId, OwnedJob],
        engines: list[EngineCapacity],
        servers: dict[BackendServerName, BackendServer],
    ) -> None:
        """Cancel the runs of items that should resume at a faster engine."""
        running = [
            RunningItem(
                (name, progress.item.item),
                name,
                progress.server,
                progress.output.events,
                self._expected_events(progress),
                now() - progress.run_started_at,
                progress.required_version,
            )
            for name, job in jobs.items()
            for progress in job.items.values()
            if progress.server is not None and not progress.is_moving
        ]
        min_version = max((job.spec.least_version for job in jobs.values()), default=0)
        speeds = [
            replace(
                self._speed_of(
                    servers[engine.server],
                    engine.free_slots if engine.version >= min_version else 0,
                ),
                version=engine.version,
            )
            for engine in engines
        ]
        typical_s = typical_event_interval_s(speeds)
        for speed in speeds:
            load = servers[speed.server].load
            speed.usual_interval_s = load.usual_event_interval_s(typical_s)
        for name, item in choose_moves(running, speeds):
            jobs[name].items[item].is_moving = True
            jobs[name].tasks[item].cancel()

    def _speed_of(self, server: BackendServer, free_slots: int) -> EngineSpeed:
        return EngineSpeed(
            server.name,
            server.load.event_interval_s,
            self._silence_s(server.name),
            free_slots,
            server.load.reported_slowness,
            server.software,
            far_cost_s=self._far_cost_s(server),
        )

    def _far_cost_s(self, server: BackendServer) -> float:
        """Return what the path to a server costs, in seconds of waiting."""
        if not server.is_far:
            return 0.0
        return self._context.far_cost_s(server.announcement.service)

    def _silence_s(self, server: BackendServerName) -> float:
        """Return the seconds since the last event of any stream at an engine.

        Returns 0 when no item runs there.
        """
        event_times = [
            progress.last_event_at for progress in self._running_at.get(server, ())
        ]
        return now() - max(event_times) if event_times else 0.0

    def _expected_events(self, progress: ItemProgress) -> float:
        return progress.item.length_hint * self._events_per_token

    def _engine_capacities(
        self, servers: list[BackendServer], service: ServiceName, model: ModelName
    ) -> list[EngineCapacity]:
        assigned_models = self._assigned_models(servers, service)
        speeds = {server.name: self._speed_of(server, 0) for server in servers}
        typical_s = typical_event_interval_s(list(speeds.values()))
        return [
            EngineCapacity(
                server.name,
                self._usable_slots(server),
                self._unavailable_slots(server),
                server.model_version(model),
                assigned_models.get(server.name, model) == model,
                estimate_slowness(speeds[server.name], typical_s),
                self._groups_at(server.name),
                server.request_limit.allowed_requests,
                server.software,
                server.idle_connections,
                self._far_cost_s(server) / self._run_s,
            )
            for server in servers
        ]

    def _usable_slots(self, server: BackendServer) -> int:
        runs = [
            ItemRun(progress.run_started_at, progress.last_event_at)
            for progress in self._running_at.get(server.name, ())
        ]
        unavailable_slots = self._unavailable_slots(server)
        return self._availability.usable_slots(server, unavailable_slots, runs, now())

    def _unavailable_slots(self, server: BackendServer) -> int:
        """Return the number of slots that items cannot use.

        These are in use or reserved for requests that are not long.
        """
        load = server.load
        reserved = load.slots - self._context.max_long_requests(server)
        return max(load.expected_in_flight, load.long_in_flight + reserved)

    def _assigned_models(
        self, servers: list[BackendServer], service: ServiceName
    ) -> dict[BackendServerName, ModelName]:
        settings = self._context.configuration.settings.services.get(service)
        if settings is None:
            return {}
        releases = self._context.directory.releases
        goals = [
            ModelGoal(ModelName(model), releases.get(model, WeightVersion(1)))
            for model in settings.models
        ]
        views = [
            EngineView(server.name, server.announcement.models, False)
            for server in servers
        ]
        return complete_assignment(views, goals, self._assigned)

    def _groups_at(self, server: BackendServerName) -> set[InWorkspace[GroupName]]:
        return {_group_key(progress) for progress in self._running_at.get(server, ())}

    def _index_running_items(self) -> None:
        """Group the running items by engine, once for each placement.

        A search through all items for each engine costs their product, each 40 ms.
        """
        self._running_at = defaultdict(list)
        for job in self._jobs.values():
            for progress in job.items.values():
                if progress.server is not None:
                    self._running_at[progress.server].append(progress)

    def _start_item(self, job: OwnedJob, item: ItemId, server: BackendServer) -> None:
        progress = job.items[item]
        progress.server = server.name
        server.request_limit.spend()
        task = self._spawn(self._run_item(job, progress, server))
        job.tasks[item] = task
        # A task that is cancelled before its first step does not run its own clean-up.
        task.add_done_callback(lambda _: self._on_run_done(job, progress, server))

    def _on_run_done(
        self, job: OwnedJob, progress: ItemProgress, server: BackendServer
    ) -> None:
        task = job.tasks.pop(progress.item.item, None)
        if task is not None and not task.cancelled() and task.exception() is not None:
            progress.avoided[server.name] = deadline_in(_AVOID_SERVER_S)
        progress.server = None
        progress.run_ended_at = now()
        progress.is_moving = False
        self._changed.set()
        self._report_idle_engine(server.name)

    async def _run_item(
        self, job: OwnedJob, progress: ItemProgress, server: BackendServer
    ) -> None:
        item = progress.item.item
        started_at = now()
        progress.last_event_at = progress.run_started_at = started_at
        try:
            end = await self._context.item_runner.run(progress, server, self._context)
        except asyncio.CancelledError:
            if not progress.is_moving:
                raise
            end = RunEnd.MOVED
        self._context.metrics.items.labels(job.spec.service, end.value).inc()
        if end is RunEnd.COMPLETE:
            self._record_length(progress)
            self._run_s += _RUN_SMOOTHING_RATIO * (now() - started_at - self._run_s)
            self._handle_generated(job, progress, server, started_at)
        elif end is RunEnd.IMPOSSIBLE:
            # No engine needs to be asked again in a later batch job.
            most = _MAX_CARRIED_FAILURES_RATIO * job.spec.max_attempts
            progress.failed_runs = max(progress.failed_runs, most)
            self._add_result(job, progress, ItemState.EXPIRED)
        else:
            self._handle_incomplete_run(job, progress, server, end)
        if end is not RunEnd.COMPLETE:
            self._context.events.record(
                "item.run_ended",
                item=item,
                batch_job=job.spec.batch_job,
                server=server.name,
                end=end.value,
                seconds=round(now() - started_at, 3),
                events=progress.output.events,
            )

    def _handle_generated(
        self,
        job: OwnedJob,
        progress: ItemProgress,
        server: BackendServer,
        started_at: float,
    ) -> None:
        """Add the result of an item, unless it must be scored first."""
        context = self._context
        if context.item_runner.reward_request(progress, context) is None:
            self._add_result(job, progress, ItemState.COMPLETED)
            return
        context.events.record(
            "item.generated",
            item=progress.item.item,
            batch_job=job.spec.batch_job,
            server=server.name,
            events=progress.output.events,
            seconds=round(now() - started_at, 3),
        )

    async def _score_item(self, job: OwnedJob, progress: ItemProgress) -> None:
        context = self._context
        request = context.item_runner.reward_request(progress, context)
        if request is None:
            self._add_result(job, progress, ItemState.COMPLETED)
            return
        scored = ScoredItem(
            progress.item.item,
            progress.item.group,
            job.due_at,
            progress.expires_at,
            job.spec.max_attempts,
            job.missing_items,
        )
        match await self._reward_calls.run(request, scored):
            case Ok(answer):
                if context.item_runner.record_score(progress, answer, context):
                    self._add_result(job, progress, ItemState.COMPLETED)
                else:
                    await sleep_until(deadline_in(_SCORE_RETRY_DELAY_S))
            case Err(failure):
                context.events.record(
                    "item.not_scored",
                    item=progress.item.item,
                    batch_job=job.spec.batch_job,
                    reason=failure.reason,
                )
                self._add_result(job, progress, ItemState.EXPIRED)

    def _handle_incomplete_run(
        self,
        job: OwnedJob,
        progress: ItemProgress,
        server: BackendServer,
        end: RunEnd,
    ) -> None:
        progress.avoided[server.name] = deadline_in(_AVOID_SERVER_S)
        if end is RunEnd.NOT_RUN:
            self._record_refusal(progress, server)
        if end is RunEnd.FAILED:
            progress.failed_runs += 1
            self._saver.wake()
        elif end in (RunEnd.BROKEN, RunEnd.SILENT):
            progress.interrupted_runs += 1
        elif not progress.satisfies(job.spec):
            progress.output.start_over()
        is_expired = not remaining_time_s(progress.expires_at)
        if (
            is_expired
            or progress.failed_runs >= _MAX_FAILURES_RATIO * job.spec.max_attempts
        ):
            self._add_result(job, progress, ItemState.EXPIRED)

    def _record_refusal(self, progress: ItemProgress, server: BackendServer) -> None:
        is_loading = self._availability.record_refusal(server, now())
        load = "known" if is_loading else "unknown"
        service = progress.spec.service
        self._context.metrics.refused_items.labels(service, load).inc()
        self._context.events.record(
            "item.refused", item=progress.item.item, server=server.name, load=load
        )

    def _record_length(self, progress: ItemProgress) -> None:
        if progress.item.length_hint and progress.output.events:
            ratio = progress.output.events / progress.item.length_hint
            if not self._events_per_token:
                self._events_per_token = ratio
            self._events_per_token += _LENGTH_SMOOTHING_RATIO * (
                ratio - self._events_per_token
            )

    def _report_idle_engine(self, server: BackendServerName) -> None:
        """Wake the lease renewal when an engine has run out of items."""
        if (
            server not in self.running_items_by_server()
            and not self.waiting_items_by_model()
        ):
            self.engine_became_idle.set()

    def _add_result(
        self, job: OwnedJob, progress: ItemProgress, state: ItemState
    ) -> None:
        job.remove(progress)
        job.results.append(progress.result(state))
        job.committing.add(progress.item.item)
        job.has_results.set()

    async def _commit_results(self, job: OwnedJob) -> None:
        while True:
            await job.has_results.wait()
            job.has_results.clear()
            results, job.results = job.results, []
            command = CommitItems(job.spec.batch_job, results)
            command_id = CommandId(new_id("items"))
            while not await self._commit(command, command_id):
                await sleep_until(deadline_in(_COMMIT_RETRY_DELAY_S))
            self._rerun_stale_items(job, results)

    def _rerun_stale_items(self, job: OwnedJob, results: list[ItemResult]) -> None:
        """Rerun items whose weights were too old when their result was committed.

        A change of the batch job may reach this process before the answer to a
        commit that preceded the change.
        """
        items = {item.item: item for item in job.spec.items}
        for result in results:
            job.committing.discard(result.item)
            if not result.is_fresh(job.spec.least_version):
                job.add(
                    self._create_progress(items[result.item], job.spec, job.expires_at)
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
            items=[result.item for result in command.results],
            expired=sum(
                result.state is ItemState.EXPIRED for result in command.results
            ),
        )
        return True


def _group_key(progress: ItemProgress) -> InWorkspace[GroupName]:
    return InWorkspace(progress.spec.workspace, progress.item.group)


def _partial_key(
    item: ItemId, spec: BatchJobSpec
) -> tuple[ModelName, InWorkspace[ItemId]]:
    return spec.model, InWorkspace(spec.workspace, item)


def _waiting_item(
    name: BatchJobId,
    job: OwnedJob,
    progress: ItemProgress,
    flow: Flow | None = None,
    running_in_flow: int = 0,
) -> WaitingItem[tuple[BatchJobId, ItemId]]:
    for server in [
        name
        for name, wait_until in progress.avoided.items()
        if not remaining_time_s(wait_until)
    ]:
        del progress.avoided[server]
    return WaitingItem(
        key=(name, progress.item.item),
        batch_job=name,
        due_at=job.due_at,
        group=_group_key(progress),
        is_group_started=progress.output.events > 0,
        expected_tokens=progress.item.length_hint or progress.item.tokens,
        least_version=job.spec.least_version,
        avoided=frozenset(progress.avoided),
        software=progress.output.software,
        version=progress.required_version,
        is_waiting_to_continue=progress.output.events >= _MIN_KEPT_EVENT_COUNT
        and now() < progress.run_ended_at + _CONTINUATION_WAIT_S,
        flow=flow,
        running_in_flow=running_in_flow,
    )
