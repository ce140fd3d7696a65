"""What the handlers of an entry process share."""

from __future__ import annotations

import random
from dataclasses import dataclass

import aiohttp

from ..connection.backend import BackendServer
from ..connection.control import ControlConnection
from ..connection.control_api import LedgerView, QuarantineView
from ..connection.directory import BackendDirectory
from ..connection.peers import Peers
from ..durable.leases import EntryInfo
from ..ids import BackendServerName, ServiceName
from ..settings.entry import EntrySettings
from ..version.configuration import InForce
from .bodies import BodyStore
from .budget import RetryBudget
from .events import EventLog
from .metrics import Metrics


@dataclass
class EntryContext:
    """Parts of an entry process, passed whole to the handlers.

    Attributes
    ----------
    ledger : LedgerView
        Latest view of the rollout jobs.
    quarantine : QuarantineView
        Latest view of the requests that crashed backend servers.
    budgets : dict
        Retry budget by service.
    announced : set of BackendServerName
        Backend servers that announced themselves since the last renewal.
    is_draining : bool
        Whether the process is shutting down.
    """

    settings: EntrySettings
    own: EntryInfo
    events: EventLog
    metrics: Metrics
    rng: random.Random
    session: aiohttp.ClientSession
    single_use_session: aiohttp.ClientSession
    control: ControlConnection
    in_force: InForce
    directory: BackendDirectory
    bodies: BodyStore
    peers: Peers
    ledger: LedgerView
    quarantine: QuarantineView
    budgets: dict[ServiceName, RetryBudget]
    announced: set[BackendServerName]
    is_draining: bool = False

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
