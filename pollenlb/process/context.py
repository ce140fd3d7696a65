"""State that the request handlers and tasks of an entry process share."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from ..clock import Deadline
from ..connection.backend import BackendServer
from ..connection.control import ControlConnection
from ..connection.control_api import LedgerView, QuarantineView
from ..connection.directory import BackendDirectory
from ..connection.entries import LiveEntries
from ..connection.stream_origins import StreamOrigins
from ..durable.leases import EntryInfo
from ..events import EventLog
from ..ids import BackendServerName, BootId, ServiceName, SoftwareVersion
from ..request.caller_request import RequestClass
from ..request.dialect import Dialect
from ..request.item_progress import ItemRunner
from ..scheduling.admission import AdmissionPolicy, admissible_servers, free_places
from ..scheduling.budget import RetryBudget
from ..scheduling.choice import ChoicePolicy, choose_server
from ..scheduling.item_placement import PlacementPolicy, place_items
from ..scheduling.long_slots import allocate_long_slots
from ..scheduling.reachability import Reachability
from ..settings.entry import EntrySettings
from ..version.configuration import AppliedConfiguration
from .caller_queue import CallerQueue
from .failure_domains import FailureDomains
from .latencies import RecentLatencies
from .metrics import Metrics
from .usage_meter import UsageMeter

# Quantile of a service's recent latencies after which a request is hedged.
HEDGE_QUANTILE = 0.95
# Quantile of recent durations within which a request is expected to end.
_DURATION_QUANTILE = 0.95
# An election of a leader takes less time, so that streams go on during it.
_MAX_SOFTWARE_AGE_S = 2.0


@dataclass
class EntryContext:
    """Parts of an entry process, passed to the handlers as one object.

    Attributes
    ----------
    dialect : Dialect
        Headers, paths and formats of the protocol that the entry speaks.
    identity : EntryInfo
        Name, boot identifier and address of this process.
    session : aiohttp.ClientSession
        Client session with a connection pool.
    single_use_session : aiohttp.ClientSession
        Client session that opens a connection for each request, for requests that
        must not run twice.
    after_timeout_session : aiohttp.ClientSession
        The same for attempts after a timeout, since idle connections may be dead.
    control : ControlConnection
        Connection to the control instances.
    configuration : AppliedConfiguration
        Applied configuration and the lease on it.
    stream_origins : StreamOrigins
        Software versions that began the streams of callers.
    directory : BackendDirectory
        Known backend servers and their state.
    failure_domains : FailureDomains
        Decides when requests leave the failure domain.
    live_entries : LiveEntries
        Entry processes whose leases have not expired.
    item_runner : ItemRunner
        Runs the items of batch jobs.
    ledger : LedgerView
        Latest view of the rollout jobs.
    quarantine : QuarantineView
        Latest view of the requests that crashed backend servers.
    retry_budgets : dict
        Retry budget by service.
    latencies : dict
        Recent latencies by service.
    reported_fields : set of str
        Names of batch jobs' fields without effect that were logged.
    limit_waiting : Counter
        Number of requests that wait for the limits of backend servers, by service.
    choose : ChoicePolicy
        Chooses among the backend servers that may receive a request.
    admit : AdmissionPolicy
        Filters out the backend servers that cannot serve a request in time.
    place_items : PlacementPolicy
        Decides which items start next, and on which engine.
    announced_servers : set of BackendServerName
        Backend servers that announced themselves since the last renewal.
    batch_jobs_version : int
        Version of the last applied view of the batch jobs that this process
        runs.
    is_draining : bool
        Whether the process is shutting down.
    drain_deadline : Deadline
        When requests of callers must have ended; infinite before a shutdown.
    durations : dict
        Recent durations of requests that ran, by service and class.
    usage : UsageMeter
        Counts of the requests of workspaces.
    caller_queues : dict
        Requests that wait for their turn, by service; empty without workspaces.
    reachability : Reachability
        Whether this entry reaches any backend server.
    background_tasks : set of asyncio.Task
        Tasks that may outlast their requests, such as reports of crashes.
    peer_failures : dict
        When other entries could not take a relayed request, in seconds of the monotonic
        clock.
    """

    settings: EntrySettings
    dialect: Dialect
    identity: EntryInfo
    events: EventLog
    metrics: Metrics
    rng: random.Random
    session: aiohttp.ClientSession
    single_use_session: aiohttp.ClientSession
    after_timeout_session: aiohttp.ClientSession
    control: ControlConnection
    configuration: AppliedConfiguration
    stream_origins: StreamOrigins
    directory: BackendDirectory
    failure_domains: FailureDomains
    live_entries: LiveEntries
    item_runner: ItemRunner
    ledger: LedgerView
    quarantine: QuarantineView
    retry_budgets: dict[ServiceName, RetryBudget]
    latencies: dict[ServiceName, RecentLatencies]
    announced_servers: set[BackendServerName]
    usage: UsageMeter
    reported_fields: set[str] = field(default_factory=set)
    limit_waiting: Counter[ServiceName] = field(default_factory=Counter)
    choose: ChoicePolicy = choose_server
    admit: AdmissionPolicy = admissible_servers
    place_items: PlacementPolicy = place_items
    batch_jobs_version: int = 0
    is_draining: bool = False
    drain_deadline: Deadline = Deadline(math.inf)
    durations: dict[tuple[ServiceName, RequestClass], RecentLatencies] = field(
        default_factory=dict
    )
    caller_queues: dict[ServiceName, CallerQueue] = field(default_factory=dict)
    reachability: Reachability = field(default_factory=Reachability)
    background_tasks: set[asyncio.Task] = field(default_factory=set)
    peer_failures: dict[BootId, float] = field(default_factory=dict)

    @property
    def accepts_requests(self) -> bool:
        """Whether requests of callers may be run now.

        Without a lease they may only be run if ``serves_without_lease`` is set
        and a configuration was received.
        """
        if self.settings.serves_without_lease:
            return self.configuration.is_received
        return self.configuration.is_leased

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task that goes on if its request is cancelled."""
        task = asyncio.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task) -> None:
        self.background_tasks.discard(task)
        if not task.cancelled():
            task.exception()  # retrieved, as nobody may wait for the task any more

    @property
    def knows_software_versions(self) -> bool:
        """Whether the known software versions of backend servers may be relied on.

        A server may start again under its name with another version. An entry that
        has lost contact with the leader does not learn of it.
        """
        return self.configuration.is_lease_newer_than(_MAX_SOFTWARE_AGE_S)

    def may_continue(
        self, software: SoftwareVersion | None, server: BackendServer
    ) -> bool:
        """Return whether a server may continue the output of a software version.

        Parameters
        ----------
        software : SoftwareVersion or None
            Version that generated the output so far; None without output.
        server : BackendServer
            The server that is to run the rest.
        """
        if software is None:
            return True
        return server.software == software and self.knows_software_versions

    def usable_servers(
        self, service: ServiceName, software: SoftwareVersion | None = None
    ) -> list[BackendServer]:
        """Return the backend servers of a service that may receive new work.

        Those that the configuration lists as drained are left out.

        Parameters
        ----------
        service : ServiceName
            The service.
        software : SoftwareVersion or None
            Software version that the servers must have; None for any.
        """
        settings = self.configuration.settings.services.get(service)
        drained = settings.drained if settings is not None else ()
        servers = self.directory.usable_servers(service, software)
        return [server for server in servers if server.name not in drained]

    def far_cost_s(self, service: ServiceName) -> float:
        """Return what a request to another failure domain costs, in seconds.

        0 stands for a service whose failure domains are ignored.
        """
        settings = self.configuration.settings.services.get(service)
        return settings.far_cost_s if settings is not None else 0.0

    def choose_server(
        self, service: ServiceName, servers: list[BackendServer]
    ) -> BackendServer:
        """Return the backend server for a request of a caller.

        Parameters
        ----------
        service : ServiceName
            Service of the request.
        servers : list of BackendServer
            Those that may get it; at least one.
        """
        far_cost_s = self.far_cost_s(service)
        selected = self.failure_domains.select(service, servers, far_cost_s)
        return self.choose(selected, self.rng)

    def retry_budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service, created at its first use."""
        if service not in self.retry_budgets:
            self.retry_budgets[service] = RetryBudget()
        return self.retry_budgets[service]

    def caller_queue(self, service: ServiceName) -> CallerQueue:
        """Return the queue of callers' requests, created at its first use."""
        if service not in self.caller_queues:

            def count_room() -> int:
                entries = len(self.live_entries.all)
                return free_places(self._admitting_servers(service), entries)

            def count_admitting() -> int:
                return len(self._admitting_servers(service))

            self.caller_queues[service] = CallerQueue(
                self.rng, count_room, count_admitting
            )
        return self.caller_queues[service]

    def _admitting_servers(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers that may get another request without a deadline."""
        entries = len(self.live_entries.all)
        usable = self.usable_servers(service)
        return self.admit(usable, entries, Deadline(math.inf))

    def recent_latencies(self, service: ServiceName) -> RecentLatencies:
        """Return the recent latencies of a service, created at their first use."""
        if service not in self.latencies:
            self.latencies[service] = RecentLatencies(HEDGE_QUANTILE)
        return self.latencies[service]

    def recent_durations(
        self, service: ServiceName, request_class: RequestClass
    ) -> RecentLatencies:
        """Return the recent durations of requests, created at their first use."""
        key = (service, request_class)
        if key not in self.durations:
            self.durations[key] = RecentLatencies(_DURATION_QUANTILE)
        return self.durations[key]

    def servers_with_long_slot(self, service: ServiceName) -> list[BackendServer]:
        """Return the usable backend servers with a free slot for long requests.

        Only the slots allocated to this entry count.
        """
        settings = self.configuration.settings.services.get(service)
        if settings is None:
            return []
        usable = self.usable_servers(service)
        allocated_slots = allocate_long_slots(
            [server.announcement for server in usable],
            [entry.boot for entry in self.live_entries.all],
            self.identity.boot,
            settings.long_share,
        )
        return [
            server
            for server in usable
            if server.load.long_in_flight < allocated_slots.get(server.name, 0)
        ]

    def max_long_requests(self, server: BackendServer) -> int:
        """Return how many slots of a backend server long requests may occupy."""
        settings = self.configuration.settings.services.get(server.announcement.service)
        share = settings.long_share if settings is not None else 1.0
        return max(1, int(server.load.slots * share))
