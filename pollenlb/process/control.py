"""The control process: one replica of the log and what its leader does."""

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
from ..durable.views import quarantine_view
from ..events import EventLog
from ..exceptions import CommitInDoubtError, ControlError, LogError, NotLeaderError
from ..ids import Address, CommandId
from ..settings.control import ControlSettings
from ..version.order_channel import NativeOrderChannel, OrderChannel
from ..version.orders import OrderIssuer
from .batch_job_service import BatchJobService
from .control_context import ControlContext, LeaderState
from .http_server import HttpServer
from .lease_service import LeaseService
from .retirement import RetirementService

_IN_FORCE_TIMEOUT_S = 30.0
_CARE_INTERVAL_S = 0.1

MakeApplication = Callable[[ControlConnection, ControlContext], web.Application]


class ControlProcess:
    """Serves entries and keeps the replicated state in order.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the instance.
    make_application : callable, optional
        Makes what is served over HTTP at ``http_listen``.
    orders : OrderChannel, optional
        How backend servers are given orders; by default in the product's own
        way.
    """

    def __init__(
        self,
        settings: ControlSettings,
        make_application: MakeApplication | None = None,
        orders: OrderChannel | None = None,
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
        )
        self._context = ControlContext(settings, self._events, machine, self._replica)
        self._server = RpcServer(Address(settings.listen), self._events)
        self._leases = LeaseService(self._context)
        self._batch_jobs = BatchJobService(self._context)
        self._retirement = RetirementService(self._context)
        self._orders = OrderIssuer(self._context, orders or NativeOrderChannel())
        self._http: HttpServer | None = None
        if make_application is not None:
            addresses = [Address(settings.listen), *settings.seed_addresses]
            self._connection = ControlConnection(addresses, self._events)
            application = make_application(self._connection, self._context)
            self._http = HttpServer(application, settings.http_listen)

    @property
    def replica(self) -> Replica:
        """The replica of the log."""
        return self._replica

    @property
    def machine(self) -> ControlStateMachine:
        """The replicated state."""
        return self._context.machine

    async def start(self) -> None:
        """Start to listen and to take part in the log."""
        self._events.record("control.started", settings=self._settings.name)
        self._replica.offer(self._server)
        self._server.offer(PROPOSE, self._propose)
        self._server.offer(RENEW, self._leases.renew)
        self._server.offer(READ_BATCH_JOB, self._batch_jobs.read)
        self._server.offer(READ_ITEM, self._batch_jobs.read_item)
        self._server.offer(READ_CONFIGURATION, self._read_configuration)
        self._server.offer(RETIRE, self._retirement.retire)
        self._server.offer(STATUS, self._status)
        await self._server.start()
        self._replica.start()
        self._replica.spawn(self._take_care())
        self._replica.spawn(self._orders.run())
        if self._http is not None:
            await self._http.start()

    def record_sighup(self) -> None:
        """Take note of SIGHUP; the settings are read at the next start."""
        self._events.record("control.reload_asked")

    async def stop(self) -> None:
        """Stop serving and close the files."""
        if self._http is not None:
            await self._http.stop()
            await self._connection.close()
        self._replica.step_down("the process stops")
        await self._server.stop()
        await self._replica.stop()
        await self._orders.close()
        self._events.record("control.stopped")
        self._events.close()

    async def execute(
        self, command: AnyCommand, command_id: CommandId | None = None
    ) -> AnyResult:
        """Carry out a command through the log.

        Raises
        ------
        NotLeaderError
            Nothing was done.
        CommitInDoubtError
            The command may take effect yet.
        """
        return await self._context.execute(command, command_id)

    async def _propose(self, request: ProposeRequest) -> ProposeAnswer:
        try:
            duties = self._context.leader_state
            command = self._prepare(request.command, duties)
            if command is None:
                return ProposeAnswer(CallStatus.DONE, result=Done())
            result = await self.execute(command, request.command_id)
            await self._wait_in_force(duties, command, result)
        except NotLeaderError as error:
            return ProposeAnswer(CallStatus.NOT_LEADER, Address(error.leader))
        except (CommitInDoubtError, ControlError):
            return ProposeAnswer(CallStatus.IN_DOUBT)
        return ProposeAnswer(CallStatus.DONE, result=result)

    def _prepare(self, command: AnyCommand, duties: LeaderState) -> AnyCommand | None:
        """Return the command for the log; None when it would change nothing."""
        if isinstance(command, (SubmitBatchJob, SubmitStep)):
            return self._batch_jobs.assign_owner(command, duties)
        if not isinstance(command, AnnounceServer) or not duties.leadership.is_ready:
            return command
        announcement = command.announcement
        duties.announced_at[announcement.server] = now()
        known = self.machine.state.directory.servers.get(announcement.server)
        if known is None or announcement.differs_beyond_sequence(known):
            return command
        return None

    async def _wait_in_force(
        self, duties: LeaderState, command: AnyCommand, result: AnyResult
    ) -> None:
        change = self._change_of(command, result)
        if change is None:
            return
        kind = type(command).__name__
        self._events.record("change.accepted", change=kind, in_force=change)
        await duties.leases.wait_until_applied(change, deadline_in(_IN_FORCE_TIMEOUT_S))
        self._events.record("change.in_force", change=kind, in_force=change)

    def _change_of(
        self, command: AnyCommand, result: AnyResult
    ) -> AppliedVersions | None:
        """Return what every entry must have in force before the answer."""
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
            suspects=quarantine_view(self.machine).suspects,
        )

    async def _take_care(self) -> None:
        while True:
            await sleep_until(deadline_in(_CARE_INTERVAL_S))
            leadership = self._replica.leadership
            if leadership is None or not leadership.is_ready:
                continue
            try:
                duties = self._context.leader_state
                await self._lose_ended_entries(duties)
                await self._batch_jobs.reassign_orphaned_jobs(duties)
                await self._forget_servers(duties)
            except LogError as error:
                self._events.record("care.interrupted", reason=str(error))

    async def _lose_ended_entries(self, duties: LeaderState) -> None:
        expired = duties.leases.remove_expired()
        for entry in expired:
            self._events.record("entry.lost", entry=entry.instance, boot=entry.boot)
        if expired:
            await self._leases.entries_changed(duties)
        if now() < duties.leases.earlier_leases_expire_at:
            return
        live = {lease.entry.boot for lease in duties.leases.live_leases()}
        state = self.machine.state
        named = state.keys.open_claim_boots() | state.quarantine.trial_boots()
        ended = named - live
        if ended:
            await self.execute(LoseClaimants(sorted(ended)))

    async def _forget_servers(self, duties: LeaderState) -> None:
        for announcement in list(self.machine.state.directory.servers.values()):
            last = duties.announced_at.get(
                announcement.server, duties.leadership.election_started_at
            )
            if now() > last + self._settings.forget_after_s:
                self._events.record("server.forgotten", server=announcement.server)
                await self.execute(ForgetServer(announcement.server, announcement.boot))


def _is_leaving(command: AnyCommand) -> bool:
    if not isinstance(command, AnnounceServer):
        return False
    return command.announcement.state is ServerState.LEAVING
