"""What the handlers of an entry process share."""

from __future__ import annotations

import random
from dataclasses import dataclass

import aiohttp

from ..connection.backend import BackendServer
from ..connection.control import ControlConnection
from ..connection.control_api import LedgerView, QuarantineView
from ..connection.directory import BackendDirectory
from ..connection.entries import KnownEntries
from ..connection.long_slots import deal_long_slots
from ..durable.leases import EntryInfo
from ..events import EventLog
from ..ids import BackendServerName, ServiceName
from ..request.admission import AdmissionPolicy, admitted
from ..request.choice import ChoicePolicy, choose_server
from ..request.dialect import Dialect
from ..request.item_placement import PlacementPolicy, place
from ..request.item_progress import ItemRunner
from ..settings.entry import EntrySettings
from ..version.configuration import InForce
from .budget import RetryBudget
from .latencies import RecentLatencies
from .metrics import Metrics

HEDGE_QUANTILE = 0.95


@dataclass
class EntryContext:
    """Parts of an entry process, passed whole to the handlers.

    Attributes
    ----------
    entries : KnownEntries
        Entry processes that live.
    items : ItemRunner
        Runs the items of batch jobs.
    ledger : LedgerView
        Latest view of the rollout jobs.
    quarantine : QuarantineView
        Latest view of the requests that crashed backend servers.
    budgets : dict
        Retry budget by service.
    latencies : dict
        Recent latencies by service.
    choose : ChoicePolicy
        Chooses among the backend servers that may get a request.
    admit : AdmissionPolicy
        Leaves out the backend servers that cannot serve a request in time.
    place : PlacementPolicy
        Decides which items start next, and where.
    announced : set of BackendServerName
        Backend servers that announced themselves since the last renewal.
    work_version : int
        Version of the batch jobs to run that was applied last.
    is_draining : bool
        Whether the process is shutting down.
    """

    settings: EntrySettings
    dialect: Dialect
    own: EntryInfo
    events: EventLog
    metrics: Metrics
    rng: random.Random
    session: aiohttp.ClientSession
    single_use_session: aiohttp.ClientSession
    control: ControlConnection
    in_force: InForce
    directory: BackendDirectory
    entries: KnownEntries
    items: ItemRunner
    ledger: LedgerView
    quarantine: QuarantineView
    budgets: dict[ServiceName, RetryBudget]
    latencies: dict[ServiceName, RecentLatencies]
    announced: set[BackendServerName]
    choose: ChoicePolicy = choose_server
    admit: AdmissionPolicy = admitted
    place: PlacementPolicy = place
    work_version: int = 0
    is_draining: bool = False

    @property
    def may_take_work(self) -> bool:
        """Whether requests of callers may be run now."""
        if self.settings.serves_without_lease:
            return self.in_force.is_known
        return self.in_force.is_leased

    def usable(self, service: ServiceName) -> list[BackendServer]:
        """Return the backend servers of a service that may get new work."""
        settings = self.in_force.settings.services.get(service)
        drained = settings.drained if settings is not None else ()
        servers = self.directory.usable(service)
        return [each for each in servers if each.name not in drained]

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = RetryBudget()
        return self.budgets[service]

    def recent_latencies(self, service: ServiceName) -> RecentLatencies:
        """Return the recent latencies of a service."""
        if service not in self.latencies:
            self.latencies[service] = RecentLatencies(HEDGE_QUANTILE)
        return self.latencies[service]

    def with_long_slot(self, service: ServiceName) -> list[BackendServer]:
        """Return the usable backend servers that may get long work from here."""
        settings = self.in_force.settings.services.get(service)
        if settings is None:
            return []
        usable = self.usable(service)
        dealt = deal_long_slots(
            [server.announcement for server in usable],
            [entry.boot for entry in self.entries.all],
            self.own.boot,
            settings.long_share,
        )
        return [
            server
            for server in usable
            if server.load.long_in_flight < dealt.get(server.name, 0)
        ]

    def most_long(self, server: BackendServer) -> int:
        """Return how much long work a backend server may have at the same time."""
        settings = self.in_force.settings.services.get(server.announcement.service)
        share = settings.long_share if settings is not None else 1.0
        return max(1, int(server.load.slots * share))
