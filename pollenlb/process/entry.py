"""The entry process: its HTTP servers, connections and tasks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from ..clock import Deadline, deadline_in, remaining_time_s, sleep_until
from ..connection.backend_api import ProbeAnswer
from ..connection.control import ControlConnection
from ..connection.control_api import LedgerView, QuarantineView
from ..connection.directory import BackendDirectory
from ..connection.entries import LiveEntries
from ..connection.pool import ConnectionTable, OpeningReason
from ..connection.sessions import open_session, open_single_use_session
from ..connection.stream_origins import StreamOrigins
from ..durable.configuration_commands import Announcement
from ..durable.leases import EntryInfo
from ..events import EventLog
from ..ids import Address, BootId, FailureDomain, InstanceName, new_id
from ..release import THIS_RELEASE
from ..request.dialect import Dialect
from ..request.handler import RequestHandler
from ..request.item_progress import ItemRunner
from ..scheduling.reachability import Reachability
from ..settings.entry import EntrySettings
from ..version.configuration import AppliedConfiguration
from .batch_runner import BatchRunner
from .contact_check import ContactCheck
from .context import EntryContext
from .drain import Drain
from .failure_domains import FailureDomains
from .http_server import HttpServer
from .leaving_reports import LeavingReports
from .metrics import Metrics
from .renewals import LeaseRenewer
from .usage_meter import UsageMeter

AddRoutes = Callable[[web.UrlDispatcher, EntryContext], None]

# aiohttp takes a shutdown timeout of 0 as no limit.
_MIN_SHUTDOWN_TIMEOUT_S = 0.01
# Part of the grace that is left to end tasks and to close connections.
_STOP_TIME_S = 0.5
_STOP_TIME_RATIO = 0.125


@dataclass(frozen=True)
class EntryProtocol:
    """Protocol that an entry speaks with callers and backend servers.

    Attributes
    ----------
    dialect : Dialect
        Headers, paths and formats.
    item_runner : ItemRunner
        Runs the items of batch jobs.
    add_routes : callable
        Adds the routes that the protocol offers in addition to those of
        callers' requests.
    """

    dialect: Dialect
    item_runner: ItemRunner
    add_routes: AddRoutes


class EntryProcess:
    """Accepts requests of callers and routes them to backend servers.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the instance.
    protocol : EntryProtocol
        Protocol spoken with callers and backend servers.
    """

    def __init__(self, settings: EntrySettings, protocol: EntryProtocol) -> None:
        self._settings = settings
        self._context = _open_context(settings, protocol)
        self._add_routes = protocol.add_routes
        self._drain = Drain(self._context)
        self._batch_runner = BatchRunner(self._context)
        self._lease_renewer = LeaseRenewer(self._context, self._batch_runner)
        self._leaving_reports = LeavingReports(self._context)
        self._http = self._request_server(self._application(), settings.listen)
        self._contact_check = ContactCheck(self._context)
        self._relay_http: HttpServer | None = None
        if settings.relay_listen:
            self._relay_http = self._request_server(
                self._relay_application(), settings.relay_listen
            )
        self._ready_http: HttpServer | None = None
        if settings.ready_listen:
            self._ready_http = HttpServer(
                self._ready_application(),
                settings.ready_listen,
                settings,
                self._context.events,
                self._count_closed,
            )

    @property
    def context(self) -> EntryContext:
        """Parts of the process."""
        return self._context

    async def start(self) -> None:
        """Start to renew the lease, to run batch jobs and to listen."""
        self._context.events.record(
            "entry.started",
            boot=self._context.identity.boot,
            release=THIS_RELEASE.version,
        )
        self._lease_renewer.start()
        self._leaving_reports.start()
        self._batch_runner.start()
        self._contact_check.start()
        self._context.stream_origins.start()
        await self._http.start()
        if self._relay_http is not None:
            await self._relay_http.start()
        if self._ready_http is not None:
            await self._ready_http.start()

    def record_sighup(self) -> None:
        """Record SIGHUP as an event.

        Configuration changes come from the control instances while the process
        runs, so nothing is reloaded.
        """
        self._context.events.record("entry.reload_asked")

    async def stop(self) -> None:
        """Drain the process, then stop it.

        Load balancers get ``balancer_delay_s`` to notice before the process
        stops listening. Requests and batch jobs have what is left of
        ``shutdown_grace_s`` since the call, less the time to stop the process.
        """
        context = self._context
        grace_s = self._settings.shutdown_grace_s
        deadline = deadline_in(grace_s - min(_STOP_TIME_S, grace_s * _STOP_TIME_RATIO))
        context.drain_deadline = deadline
        context.is_draining = True
        context.events.record("entry.draining", grace_s=grace_s)
        listens_until = deadline_in(self._settings.balancer_delay_s)
        await sleep_until(Deadline(min(deadline, listens_until)))
        servers = [self._http]
        if self._relay_http is not None:
            servers.append(self._relay_http)
        for server in servers:
            await server.stop_listening()
        await asyncio.gather(
            self._batch_runner.drain(remaining_time_s(deadline)),
            self._drain.run(servers, deadline),
        )
        for server in servers:
            await server.stop()
        if self._ready_http is not None:
            await self._ready_http.stop()
        await self._contact_check.stop()
        await self._leaving_reports.stop()
        await self._lease_renewer.stop()
        await context.directory.close()
        await context.stream_origins.close()
        for task in context.background_tasks:
            task.cancel()
        await asyncio.gather(*context.background_tasks, return_exceptions=True)
        await context.control.close()
        await context.session.close()
        await context.single_use_session.close()
        await context.after_timeout_session.close()
        context.events.record("entry.stopped")
        context.events.close()

    def _request_server(self, application: web.Application, listen: str) -> HttpServer:
        """Return a server for requests that go to backend servers."""
        return HttpServer(
            application,
            listen,
            self._settings,
            self._context.events,
            self._count_closed,
            shutdown_timeout=_MIN_SHUTDOWN_TIMEOUT_S,
            max_line_size=self._settings.max_header_bytes,
            max_field_size=self._settings.max_header_bytes,
            handler_cancellation=True,
        )

    def _application(self) -> web.Application:
        application = web.Application(
            client_max_size=self._settings.max_body_bytes,
            handler_args={"auto_decompress": False},
        )
        self._drain.add_to(application)
        if not self._settings.ready_listen:
            self._add_health_routes(application.router)
        self._add_routes(application.router, self._context)
        handler = RequestHandler(self._context)
        application.router.add_route("*", "/{path:.*}", handler.handle)
        return application

    def _relay_application(self) -> web.Application:
        application = web.Application(
            client_max_size=self._settings.max_body_bytes,
            handler_args={"auto_decompress": False},
        )
        self._drain.add_to(application)
        handler = RequestHandler(self._context, is_relayed=True)
        application.router.add_route("*", "/{path:.*}", handler.handle)
        return application

    def _ready_application(self) -> web.Application:
        application = web.Application()
        self._add_health_routes(application.router)
        return application

    def _add_health_routes(self, router: web.UrlDispatcher) -> None:
        router.add_get("/healthz", self._answer_health)
        router.add_get(self._context.dialect.ready_path, self._answer_ready)
        router.add_get("/metrics", self._answer_metrics)

    def _count_closed(self, reason: str) -> None:
        self._context.metrics.closed_connections.labels(reason).inc()

    async def _answer_health(self, request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _answer_ready(self, request: web.Request) -> web.Response:
        if self._context.is_draining:
            return web.Response(status=503, text="shutting down\n")
        if not self._context.accepts_requests:
            return web.Response(status=503, text="no lease\n")
        return web.Response(text="ready\n")

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._context.metrics.exposition(), content_type="text/plain"
        )


def _open_context(settings: EntrySettings, protocol: EntryProtocol) -> EntryContext:
    events = EventLog(settings.name, settings.data_folder)
    rng = random.Random()
    identity = EntryInfo(
        InstanceName(settings.name),
        BootId(new_id(settings.name)),
        Address(settings.listen),
        FailureDomain(settings.failure_domain),
        Address(settings.relay_listen),
        THIS_RELEASE,
    )
    metrics = Metrics()
    table = ConnectionTable(metrics.record_connection)
    max_header_bytes = settings.max_answer_header_bytes
    session = open_session(True, max_header_bytes, table)
    failure_domains = FailureDomains(identity.failure_domain, metrics, rng)
    configuration = AppliedConfiguration()
    control = ControlConnection(settings.control_addresses, events)
    reachability = Reachability()

    async def probe(
        session: aiohttp.ClientSession, server: Announcement, timeout_s: float
    ) -> ProbeAnswer | None:
        service = configuration.settings.services.get(server.service)
        health_path = service.health_path if service is not None else "/"
        return await protocol.dialect.probe(session, server, health_path, timeout_s)

    return EntryContext(
        settings=settings,
        dialect=protocol.dialect,
        identity=identity,
        events=events,
        metrics=metrics,
        rng=rng,
        session=session,
        single_use_session=open_single_use_session(
            session, max_header_bytes, OpeningReason.SINGLE_USE
        ),
        after_timeout_session=open_single_use_session(
            session, max_header_bytes, OpeningReason.AFTER_TIMEOUT
        ),
        control=control,
        stream_origins=StreamOrigins(control, events),
        configuration=configuration,
        directory=BackendDirectory(
            settings, session, events, probe, failure_domains, reachability
        ),
        failure_domains=failure_domains,
        live_entries=LiveEntries(),
        item_runner=protocol.item_runner,
        ledger=LedgerView(-1, {}),
        quarantine=QuarantineView(-1, {}),
        retry_budgets={},
        latencies={},
        announced_servers=set(),
        usage=UsageMeter(events, metrics),
        reachability=reachability,
    )
