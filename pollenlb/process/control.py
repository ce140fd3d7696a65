"""The control process: a replica of the log, and the services of the leader."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from ..clock import deadline_in, now, sleep_until
from ..connection.control import ControlConnection
from ..connection.control_api import (
    PROPOSE,
    READ_BATCH_JOB,
    READ_CONFIGURATION,
    READ_ITEM,
    RENEW,
    RETIRE,
    STATUS,
    CallStatus,
    ConfigurationRead,
    ProposeAnswer,
    ProposeRequest,
    ReadConfiguration,
    StatusAnswer,
    StatusRequest,
)
from ..connection.rpc import RpcServer
from ..durable.batch_job_commands import SubmitBatchJob
from ..durable.command_base import Done
from ..durable.commands import AnyCommand, AnyResult
from ..durable.configuration_commands import (
    Announcement,
    AnnounceServer,
    ConfigurationChanged,
    ConfigurationReplaced,
    ForgetServer,
    ServerState,
    WithdrawServer,
)
from ..durable.crash_commands import CrashReported
from ..durable.job_commands import SubmitStep
from ..durable.key_commands import LoseClaimants
from ..durable.leases import AppliedVersions
from ..durable.replica import Replica
from ..durable.state_machine import ControlStateMachine
from ..durable.storage import Storage
from ..durable.views import build_quarantine_view
from ..events import EventLog
from ..exceptions import (
    CommitInDoubtError,
    ControlError,
    LogError,
    NotLeaderError,
    UnreadableFormatError,
)
from ..ids import Address, CommandId
from ..release import THIS_RELEASE
from ..settings.control import ControlSettings
from ..version.order_channel import NativeOrderChannel, OrderChannel
from ..version.orders import OrderIssuer
from .batch_job_service import BatchJobService
from .control_context import ControlContext, LeaderState
from .duties import DutyIssuer
from .duty_channel import DutyChannel
from .format_goal import FormatGoal
from .http_server import HttpServer
from .lease_service import LeaseService
from .retirement import RetirementService
from .stream_origin_service import StreamOriginService

# How long an answer waits until every entry has applied a change.
_APPLY_TIMEOUT_S = 30.0
_MAINTENANCE_INTERVAL_S = 0.1

ApplicationFactory = Callable[[ControlConnection, ControlContext], web.Application]


class ControlProcess:
    """Serves entries, and maintains the replicated state while it leads.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the instance.
    application_factory : callable, optional
        Makes the application that is served over HTTP at ``http_listen``; by
        default none is served.
    order_channel : OrderChannel, optional
        Protocol of the orders to backend servers; by default the native one.
    duty_channel : DutyChannel, optional
        Protocol of the calls to the infrastructure's API; by default none are made.
    """

    def __init__(
        self,
        settings: ControlSettings,
        application_factory: ApplicationFactory | None = None,
        order_channel: OrderChannel | None = None,
        duty_channel: DutyChannel | None = None,
    ) -> None:
        self._settings = settings
        self._events = EventLog(settings.name, settings.event_folder)
        machine = ControlStateMachine()
        self._storage = Storage(settings.data_folder)
        self._storage.open()
        self._replica = Replica(
            settings,
            self._storage,
            machine,
            self._events,
            get_retiring_instances=lambda: machine.state.retiring,
            get_format_goal=lambda: self._format_goal.newest(),
        )
        self._context = ControlContext(settings, self._events, machine, self._replica)
        self._format_goal = FormatGoal(self._context)
        self._server = RpcServer(Address(settings.listen), self._events)
        self._leases = LeaseService(self._context)
        self._stream_origins = StreamOriginService(self._context)
        self._batch_jobs = BatchJobService(self._context)
        self._retirement = RetirementService(self._context)
        self._orders = OrderIssuer(self._context, order_channel or NativeOrderChannel())
        self._duties: DutyIssuer | None = None
        if duty_channel is not None and settings.duty_address and settings.duties:
            self._duties = DutyIssuer(self._context, duty_channel)
        self._http: HttpServer | None = None
        if application_factory is not None:
            addresses = [Address(settings.listen), *settings.seed_addresses]
            self._connection = ControlConnection(addresses, self._events)
            application = application_factory(self._connection, self._context)
            self._http = HttpServer(
                application, settings.http_listen, settings, self._events
            )

    @property
    def replica(self) -> Replica:
        """The replica of the log that this process runs."""
        return self._replica

    @property
    def machine(self) -> ControlStateMachine:
        """The replicated state machine."""
        return self._context.machine

    async def start(self) -> None:
        """Start to listen and to take part in replication."""
        self._events.record(
            "control.started",
            settings=self._settings.name,
            release=THIS_RELEASE.version,
            format=THIS_RELEASE.reads,
        )
        self._replica.offer(self._server)
        self._server.register(PROPOSE, self._propose)
        self._server.register(RENEW, self._leases.renew)
        self._server.register(READ_BATCH_JOB, self._batch_jobs.read)
        self._server.register(READ_ITEM, self._batch_jobs.read_item)
        self._server.register(READ_CONFIGURATION, self._read_configuration)
        self._server.register(RETIRE, self._retirement.retire)
        self._server.register(STATUS, self._status)
        self._stream_origins.register(self._server)
        await self._server.start()
        self._replica.start()
        self._replica.spawn(self._stream_origins.learn())
        self._replica.spawn(self._run_maintenance())
        self._replica.spawn(self._orders.run())
        if self._duties is not None:
            self._replica.spawn(self._duties.run())
        if self._http is not None:
            await self._http.start()

    def record_sighup(self) -> None:
        """Record SIGHUP as an event; settings are only read at the start."""
        self._events.record("control.reload_asked")

    async def stop(self) -> None:
        """Stop serving, give up leadership and close the files."""
        if self._http is not None:
            await self._http.stop()
            await self._connection.close()
        self._replica.step_down("the process stops")
        await self._server.stop()
        await self._replica.stop()
        await self._orders.close()
        if self._duties is not None:
            await self._duties.close()
        self._events.record("control.stopped")
        self._events.close()

    async def execute(
        self, command: AnyCommand, command_id: CommandId | None = None
    ) -> AnyResult:
        """Commit a command to the replicated log and return its result.

        Raises
        ------
        NotLeaderError
            When this replica does not lead; the command has no effect.
        CommitInDoubtError
            When it is not known whether the command is committed; it may still
            take effect.
        """
        return await self._context.execute(command, command_id)

    async def _propose(self, request: ProposeRequest) -> ProposeAnswer:
        try:
            leader_state = self._context.leader_state
            command = self._prepare(request.command, leader_state)
            if command is None:
                return ProposeAnswer(CallStatus.DONE, result=Done())
            result = await self.execute(command, request.command_id)
            await self._wait_until_applied(leader_state, command, result)
        except NotLeaderError as error:
            return ProposeAnswer(CallStatus.NOT_LEADER, Address(error.leader))
        except UnreadableFormatError as error:
            return ProposeAnswer(CallStatus.NOT_LEADER, unreadable=str(error))
        except (CommitInDoubtError, ControlError):
            return ProposeAnswer(CallStatus.IN_DOUBT)
        return ProposeAnswer(CallStatus.DONE, result=result)

    def _prepare(
        self, command: AnyCommand, leader_state: LeaderState
    ) -> AnyCommand | None:
        """Return the command for the log; None if it would change nothing.

        A submission is given an owner. An announcement that differs from the
        last one in its sequence number only is not written to the log, nor is one of
        an unknown service that would displace a server of a known one.
        """
        if isinstance(command, (SubmitBatchJob, SubmitStep)):
            return self._batch_jobs.assign_owner(command, leader_state)
        if (
            not isinstance(command, AnnounceServer)
            or not leader_state.leadership.is_ready
        ):
            return command
        announcement = command.announcement
        if self._is_foreign(announcement):
            self._events.record(
                "server.foreign",
                server=announcement.server,
                service=announcement.service,
                address=announcement.address,
            )
            return None
        leader_state.announced_at[announcement.server] = now()
        known = self.machine.state.directory.servers.get(announcement.server)
        if known is None or announcement.differs_beyond_sequence(known):
            return command
        return None

    def _is_foreign(self, announcement: Announcement) -> bool:
        """Return whether a server of an unknown service would displace a known one.

        It may be that of another writer. A server whose service is configured later
        announces itself again.
        """
        state = self.machine.state
        services = state.configuration.document.get("services", {})
        if announcement.service in services:
            return False
        return any(
            other.service in services
            for other in state.directory.displaced_by(announcement)
        )

    async def _wait_until_applied(
        self, leader_state: LeaderState, command: AnyCommand, result: AnyResult
    ) -> None:
        change = self._required_versions(command, result)
        if change is None:
            return
        kind = type(command).__name__
        self._events.record("change.accepted", change=kind, in_force=change)
        await leader_state.leases.wait_until_applied(
            change, deadline_in(_APPLY_TIMEOUT_S)
        )
        self._events.record("change.in_force", change=kind, in_force=change)

    def _required_versions(
        self, command: AnyCommand, result: AnyResult
    ) -> AppliedVersions | None:
        """Return the versions that every entry must have applied before the answer.

        None if the command may be answered at once.
        """
        if isinstance(result, (ConfigurationChanged, ConfigurationReplaced)):
            return AppliedVersions(revision=result.revision)
        if isinstance(result, CrashReported):
            return AppliedVersions(quarantine=self.machine.table_version("quarantine"))
        if isinstance(command, WithdrawServer) or _is_leaving(command):
            return AppliedVersions(directory=self.machine.table_version("directory"))
        return None

    async def _read_configuration(
        self, request: ReadConfiguration
    ) -> ConfigurationRead:
        try:
            await self._replica.confirm_leadership()
        except NotLeaderError as error:
            return ConfigurationRead(CallStatus.NOT_LEADER, Address(error.leader))
        table = self.machine.state.configuration
        return ConfigurationRead(
            CallStatus.DONE, Address(""), table.version, table.source
        )

    async def _status(self, request: StatusRequest) -> StatusAnswer:
        status = CallStatus.DONE
        if request.is_confirmed:
            try:
                await self._replica.confirm_leadership()
            except NotLeaderError:
                status = CallStatus.NOT_LEADER
        state = self.machine.state
        hard_state = self._storage.hard_state
        is_leading = self._replica.leadership is not None
        leases = self._context.leader_state.leases.live_leases() if is_leading else []
        return StatusAnswer(
            status=status,
            replica=hard_state.replica,
            role=self._replica.role.value,
            term=hard_state.term,
            leader=self._replica.leader_address,
            commit_index=self._replica.commit_index,
            members=self._storage.members,
            revision=state.configuration.revision,
            document=state.configuration.document,
            changes=state.configuration.history,
            entries=[lease.entry for lease in leases],
            servers=list(state.directory.servers.values()),
            releases=state.directory.releases,
            jobs=self._leases.ledger_view().jobs,
            suspects=build_quarantine_view(self.machine).suspects,
            duties=self._duties.view() if self._duties is not None else None,
            release=THIS_RELEASE,
        )

    async def _run_maintenance(self) -> None:
        while True:
            await sleep_until(deadline_in(_MAINTENANCE_INTERVAL_S))
            leadership = self._replica.leadership
            if leadership is None or not leadership.is_ready:
                continue
            try:
                leader_state = self._context.leader_state
                await self._expire_entries(leader_state)
                await self._batch_jobs.reassign_orphaned_jobs(leader_state)
                await self._forget_servers(leader_state)
            except LogError as error:
                self._events.record("care.interrupted", reason=str(error))

    async def _expire_entries(self, leader_state: LeaderState) -> None:
        expired = leader_state.leases.remove_expired()
        for entry in expired:
            self._events.record("entry.lost", entry=entry.instance, boot=entry.boot)
        if expired:
            await self._leases.notify_entries_changed(leader_state)
        if now() < leader_state.leases.earlier_leases_expire_at:
            return
        live = leader_state.leases.live_boots()
        state = self.machine.state
        claimants = state.keys.open_claim_boots() | state.quarantine.trial_boots()
        ended = claimants - live
        if ended:
            await self.execute(LoseClaimants(sorted(ended)))

    async def _forget_servers(self, leader_state: LeaderState) -> None:
        for announcement in list(self.machine.state.directory.servers.values()):
            last_at = leader_state.announced_at.get(
                announcement.server, leader_state.leadership.election_started_at
            )
            if now() > last_at + self._settings.forget_after_s:
                self._events.record("server.forgotten", server=announcement.server)
                await self.execute(ForgetServer(announcement.server, announcement.boot))


def _is_leaving(command: AnyCommand) -> bool:
    if not isinstance(command, AnnounceServer):
        return False
    return command.announcement.state is ServerState.LEAVING
