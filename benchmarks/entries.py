"""Entries that make real decisions over fake connections, in virtual time.

They run in one process, without HTTP servers, lease renewals or control instances.
"""

from __future__ import annotations

import random

from benchmarks.fake_servers import FakeServer, FakeSession
from benchmarks.policies import Policy
from pollenlb.connection.control_api import (
    ConfigurationView,
    DirectoryView,
    EntriesView,
    LedgerView,
    QuarantineView,
)
from pollenlb.connection.directory import BackendDirectory
from pollenlb.connection.entries import LiveEntries
from pollenlb.connection.stream_origins import StreamOrigins
from pollenlb.durable.configuration_commands import Announcement
from pollenlb.durable.leases import EntryInfo
from pollenlb.events import EventLog
from pollenlb.process.context import EntryContext
from pollenlb.process.failure_domains import FailureDomains
from pollenlb.process.metrics import Metrics
from pollenlb.request.native_dialect import NativeDialect
from pollenlb.request.sample import SampleItemRunner
from pollenlb.settings.entry import EntrySettings
from pollenlb.version.configuration import AppliedConfiguration

ENTRY_COUNT = 8


class DiscardingEventLog(EventLog):
    """Discards all events, as the benchmarks measure none of them."""

    def record(self, kind: str, **fields) -> None:
        """Discard an event."""


def make_entries(
    servers: list[FakeServer],
    services: dict,
    policy: Policy,
    seed: int,
    count: int = ENTRY_COUNT,
    control=None,
) -> list[EntryContext]:
    """Create the contexts of entries that share the same backend servers.

    Parameters
    ----------
    servers : list of FakeServer
        Backend servers that every entry knows.
    services : dict
        Configuration of each service by name.
    policy : Policy
        How the entries choose servers, admit requests and place items.
    seed : int
        Seed of the entries' random numbers.
    count : int
        Number of entries.
    control : FakeControl or None
        Receiver of the entries' commands.

    Returns
    -------
    list of EntryContext
        Contexts that always hold a lease, with the configuration applied.
    """
    infos = [
        EntryInfo(f"entry-{n}", f"boot-{n}", f"h{n}", f"domain-{n % 3}")
        for n in range(count)
    ]
    return [
        _make_entry(number, infos, servers, services, policy, seed, control)
        for number in range(count)
    ]


def _make_entry(
    number: int,
    infos: list[EntryInfo],
    servers: list[FakeServer],
    services: dict,
    policy: Policy,
    seed: int,
    control,
) -> EntryContext:
    settings = _entry_settings(number)
    events = DiscardingEventLog(settings.name, None)
    rng = random.Random(seed * 1000 + number)
    session = FakeSession({f"{server.name}:1": server for server in servers})
    metrics = Metrics()
    configuration = AppliedConfiguration()
    configuration.apply(ConfigurationView(1, {"services": services}))
    configuration.extend_lease(1e12)
    dialect = NativeDialect()

    async def probe(session, server, timeout_s):
        return await dialect.probe(session, server, "/", timeout_s)

    directory = BackendDirectory(settings, session, events, probe)
    directory.apply(DirectoryView(1, [_announcement(server) for server in servers], {}))
    entries = LiveEntries()
    entries.apply(EntriesView(1, infos))
    return EntryContext(
        settings=settings,
        dialect=dialect,
        identity=infos[number],
        events=events,
        metrics=metrics,
        rng=rng,
        session=session,
        single_use_session=session,
        after_timeout_session=session,
        control=control,
        stream_origins=StreamOrigins(control, events),
        configuration=configuration,
        directory=directory,
        failure_domains=FailureDomains(infos[number].failure_domain, metrics, rng),
        live_entries=entries,
        item_runner=SampleItemRunner(),
        ledger=LedgerView(-1, {}),
        quarantine=QuarantineView(-1, {}),
        retry_budgets={},
        latencies={},
        announced_servers=set(),
        choose=policy.choose,
        admit=policy.admit,
        place_items=policy.place,
    )


def _entry_settings(number: int) -> EntrySettings:
    return EntrySettings.check(
        {
            "name": f"entry-{number}",
            "failure_domain": "here",
            "listen": "127.0.0.1:1",
            "control": ["127.0.0.1:3"],
            "data_folder": "unused",
        }
    ).unwrap()


def _announcement(server: FakeServer) -> Announcement:
    address = f"{server.name}:1"
    return Announcement(
        server.name, server.service, address, "here", server.name, server.slots
    )
