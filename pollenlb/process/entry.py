"""The entry process: HTTP server, connections and tasks."""

from __future__ import annotations

import random

import aiohttp
from aiohttp import web

from ..connection.control import ControlConnection
from ..connection.control_api import LedgerView, QuarantineView
from ..connection.directory import BackendDirectory
from ..connection.peers import Peers
from ..connection.rpc import RpcServer
from ..connection.sessions import open_session
from ..durable.leases import EntryInfo
from ..ids import Address, BootId, FailureDomain, InstanceName, new_id
from ..request.announce_api import AnnounceApi
from ..request.handler import RequestHandler
from ..request.operator_api import OperatorApi
from ..request.trainer_api import TrainerApi
from ..settings.entry import EntrySettings
from ..version.configuration import InForce
from .bodies import BodyStore
from .clock import deadline_in, sleep_until
from .context import EntryContext
from .events import EventLog
from .metrics import Metrics
from .renewals import Renewals
from .rollouts import Rollouts

_BACKLOG = 1024
_LEAST_GRACE_S = 0.01  # the HTTP server takes 0 as no limit


class EntryProcess:
    """Takes requests and routes them.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the instance.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._context = _open_context(settings)
        self._rollouts = Rollouts(self._context)
        self._renewals = Renewals(self._context, self._rollouts.wake)
        self._peer_server = RpcServer(
            Address(settings.peer_listen), self._context.events
        )
        self._runner = web.AppRunner(
            self._application(),
            access_log=None,
            handle_signals=False,
            shutdown_timeout=max(_LEAST_GRACE_S, settings.shutdown_grace_s),
            max_line_size=settings.max_header_bytes,
            max_field_size=settings.max_header_bytes,
            handler_cancellation=False,
        )

    @property
    def context(self) -> EntryContext:
        """Parts of the process."""
        return self._context

    async def start(self) -> None:
        """Start to listen and to renew the lease."""
        self._context.events.record("entry.started", boot=self._context.own.boot)
        self._context.peers.offer(self._peer_server)
        await self._peer_server.start()
        self._renewals.start()
        self._rollouts.start()
        await self._runner.setup()
        host, _, port = self._settings.listen.rpartition(":")
        site = web.TCPSite(self._runner, host.strip("[]"), int(port), backlog=_BACKLOG)
        await site.start()

    async def stop(self) -> None:
        """Finish what is in flight, then stop."""
        context = self._context
        context.is_draining = True
        context.events.record("entry.draining")
        await sleep_until(deadline_in(self._settings.balancer_delay_s))
        for site in list(self._runner.sites):
            await site.stop()
        await self._rollouts.finish(self._settings.shutdown_grace_s)
        await self._runner.cleanup()
        await self._renewals.stop()
        await context.directory.close()
        await self._peer_server.stop()
        await context.peers.close()
        await context.control.close()
        await context.session.close()
        await context.single_use_session.close()
        context.events.record("entry.stopped")
        context.events.close()

    def _application(self) -> web.Application:
        application = web.Application(
            client_max_size=self._settings.max_body_bytes,
            handler_args={"auto_decompress": False},
        )
        router = application.router
        router.add_get("/healthz", self._answer_health)
        router.add_get("/readyz", self._answer_ready)
        router.add_get("/metrics", self._answer_metrics)
        AnnounceApi(self._context).add_routes(router)
        TrainerApi(self._context).add_routes(router)
        OperatorApi(self._context).add_routes(router)
        handler = RequestHandler(self._context)
        router.add_route("*", "/{path:.*}", handler.handle)
        return application

    async def _answer_health(self, request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _answer_ready(self, request: web.Request) -> web.Response:
        if self._context.is_draining:
            return web.Response(status=503, text="shutting down\n")
        if not self._context.in_force.is_leased:
            return web.Response(status=503, text="no lease\n")
        return web.Response(text="ready\n")

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._context.metrics.exposition(), content_type="text/plain"
        )


def _open_context(settings: EntrySettings) -> EntryContext:
    events = EventLog(settings.name, settings.data_folder)
    rng = random.Random()
    own = EntryInfo(
        InstanceName(settings.name),
        BootId(new_id(settings.name)),
        Address(settings.peer_listen),
        Address(settings.listen),
        FailureDomain(settings.failure_domain),
    )
    session: aiohttp.ClientSession = open_session(is_pooled=True)
    bodies = BodyStore(settings.body_store_bytes)
    return EntryContext(
        settings=settings,
        own=own,
        events=events,
        metrics=Metrics(),
        rng=rng,
        session=session,
        single_use_session=open_session(is_pooled=False),
        control=ControlConnection([Address(each) for each in settings.control], events),
        in_force=InForce(),
        directory=BackendDirectory(settings, session, events),
        bodies=bodies,
        peers=Peers(own, bodies, events, rng),
        ledger=LedgerView(-1, {}),
        quarantine=QuarantineView(-1, {}),
        budgets={},
        latencies={},
        announced=set(),
    )
