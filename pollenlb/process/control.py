"""The control process: one replica of the log and what its leader does."""

from __future__ import annotations

import asyncio
import time

from ..connection.control_api import (
    PROPOSE,
    RENEW,
    STATUS,
    CallStatus,
    EntriesView,
    LedgerView,
    ProposeAnswer,
    ProposeRequest,
    RenewAnswer,
    RenewRequest,
    StatusAnswer,
    StatusRequest,
)
from ..connection.rpc import RpcServer
from ..durable.commands import AnyCommand, AnyResult, Proposal
from ..durable.configuration_commands import ConfigurationChanged, ForgetServer
from ..durable.crash_commands import CrashReported
from ..durable.job_commands import LoseHolders
from ..durable.leadership import Leadership
from ..durable.leases import InForceAt, LeaseTable
from ..durable.machine import Machine, encode_proposal
from ..durable.replica import Replica
from ..durable.storage import Storage
from ..durable.views import (
    configuration_view,
    directory_view,
    ledger_view,
    quarantine_view,
)
from ..exceptions import CommitInDoubtError, ControlError, LogError, NotLeaderError
from ..ids import Address, BackendServerName, CommandId, Term
from ..settings.control import ControlSettings
from ..version.orders import OrderIssuer
from .clock import deadline_in, now, sleep_until
from .events import EventLog

_IN_FORCE_TIMEOUT_S = 30.0
_CARE_INTERVAL_S = 0.5
_VERSIONS_PER_TERM = 1_000_000


class TermDuties:
    """What a leader keeps in memory for one term.

    Parameters
    ----------
    settings : ControlSettings
        Length of leases and their drift.
    leadership : Leadership
        The term.
    """

    def __init__(self, settings: ControlSettings, leadership: Leadership) -> None:
        self.leadership = leadership
        self.leases = LeaseTable(
            settings.lease_s, settings.clock_drift, leadership.started_at
        )
        self.announced_at: dict[BackendServerName, float] = {}

    @property
    def term(self) -> Term:
        """The term."""
        return self.leadership.term


class ControlProcess:
    """Serves entries and keeps the replicated state in order.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the instance.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._events = EventLog(settings.name, settings.data_folder)
        self._machine = Machine()
        self._storage = Storage(settings.data_folder)
        self._storage.open()
        self._replica = Replica(settings, self._storage, self._machine, self._events)
        self._server = RpcServer(Address(settings.listen), self._events)
        self._duties: TermDuties | None = None
        self._entries_version = 0
        self._latest_ledger = LedgerView(-1, {})
        self._applied = asyncio.Condition()
        self._orders = OrderIssuer(settings, self._replica, self._machine, self._events)

    @property
    def replica(self) -> Replica:
        """The replica of the log."""
        return self._replica

    @property
    def machine(self) -> Machine:
        """The replicated state."""
        return self._machine

    async def start(self) -> None:
        """Start to listen and to take part in the log."""
        self._replica.offer(self._server)
        self._server.offer(PROPOSE, self._propose)
        self._server.offer(RENEW, self._renew)
        self._server.offer(STATUS, self._status)
        await self._server.start()
        self._replica.start()
        self._replica.spawn(self._take_care())
        self._replica.spawn(self._orders.run())

    async def stop(self) -> None:
        """Stop serving and close the files."""
        self._replica.step_down("the process stops")
        await self._server.stop()
        await self._replica.stop()
        await self._orders.close()
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
        proposal = Proposal(command_id, time.time_ns() // 1_000_000, command)
        result = await self._replica.propose(encode_proposal(proposal))
        async with self._applied:
            self._applied.notify_all()
        return result

    def _current_duties(self) -> TermDuties:
        leadership = self._replica.current_leadership()
        if self._duties is None or self._duties.leadership is not leadership:
            self._duties = TermDuties(self._settings, leadership)
        return self._duties

    async def _propose(self, request: ProposeRequest) -> ProposeAnswer:
        try:
            duties = self._current_duties()
            result = await self.execute(request.command, request.command_id)
            await self._wait_in_force(duties, result)
        except NotLeaderError as error:
            return ProposeAnswer(CallStatus.NOT_LEADER, Address(error.leader))
        except (CommitInDoubtError, ControlError):
            return ProposeAnswer(CallStatus.IN_DOUBT)
        return ProposeAnswer(CallStatus.DONE, result=result)

    async def _wait_in_force(self, duties: TermDuties, result: AnyResult) -> None:
        if isinstance(result, ConfigurationChanged):
            change = InForceAt(revision=result.revision)
        elif isinstance(result, CrashReported):
            change = InForceAt(quarantine=self._machine.version_of("quarantine"))
        else:
            return
        self._events.record("change.accepted", result=str(result))
        await duties.leases.wait_in_force(change, deadline_in(_IN_FORCE_TIMEOUT_S))
        self._events.record("change.in_force", result=str(result))

    async def _renew(self, request: RenewRequest) -> RenewAnswer:
        try:
            duties = self._current_duties()
            if request.revision < 0 or not duties.leadership.is_ready:
                await self._replica.confirm_reads()
        except NotLeaderError as error:
            return RenewAnswer(CallStatus.NOT_LEADER, Address(error.leader))
        await self._note_entry(duties, request)
        await self._wait_for_news(request)
        return await self._renewed(duties, request)

    async def _note_entry(self, duties: TermDuties, request: RenewRequest) -> None:
        known = {lease.entry for lease in duties.leases.live()}
        contact_at = duties.leadership.quorum_contact_at
        await duties.leases.renew(request.entry, _in_force_at(request), contact_at)
        for server in request.announced:
            duties.announced_at[server] = now()
        if request.entry not in known:
            self._events.record("entry.joined", entry=request.entry.instance)
            await self._entries_changed(duties)

    async def _wait_for_news(self, request: RenewRequest) -> None:
        try:
            async with asyncio.timeout(request.wait_s):
                async with self._applied:
                    while not self._has_news(request):
                        await self._applied.wait()
        except TimeoutError:
            return

    def _has_news(self, request: RenewRequest) -> bool:
        return (
            request.revision < self._machine.state.configuration.revision
            or request.directory < self._machine.version_of("directory")
            or request.ledger < self._machine.version_of("ledger")
            or request.quarantine < self._machine.version_of("quarantine")
            or request.entries < self._entries_version
        )

    async def _renewed(self, duties: TermDuties, request: RenewRequest) -> RenewAnswer:
        if self._replica.leadership is not duties.leadership:
            return RenewAnswer(CallStatus.NOT_LEADER, self._replica.leader_address)
        contact_at = duties.leadership.quorum_contact_at
        in_force = _in_force_at(request)
        lease_s = await duties.leases.renew(request.entry, in_force, contact_at)
        machine = self._machine
        revision = machine.state.configuration.revision
        return RenewAnswer(
            CallStatus.DONE,
            leader=Address(self._settings.listen),
            lease_s=lease_s,
            configuration=(
                configuration_view(machine) if request.revision < revision else None
            ),
            directory=(
                directory_view(machine)
                if request.directory < machine.version_of("directory")
                else None
            ),
            ledger=(
                self._ledger_view()
                if request.ledger < machine.version_of("ledger")
                else None
            ),
            quarantine=(
                quarantine_view(machine)
                if request.quarantine < machine.version_of("quarantine")
                else None
            ),
            entries=(
                self._entries_view(duties)
                if request.entries < self._entries_version
                else None
            ),
        )

    def _ledger_view(self) -> LedgerView:
        version = self._machine.version_of("ledger")
        if self._latest_ledger.version != version:
            self._latest_ledger = ledger_view(self._machine)
        return self._latest_ledger

    def _entries_view(self, duties: TermDuties) -> EntriesView:
        entries = [lease.entry for lease in duties.leases.live()]
        return EntriesView(self._entries_version, entries)

    async def _entries_changed(self, duties: TermDuties) -> None:
        least = duties.term * _VERSIONS_PER_TERM
        self._entries_version = max(self._entries_version + 1, least)
        async with self._applied:
            self._applied.notify_all()

    async def _status(self, request: StatusRequest) -> StatusAnswer:
        status = CallStatus.DONE
        if request.is_confirmed:
            try:
                await self._replica.confirm_reads()
            except NotLeaderError:
                status = CallStatus.NOT_LEADER
        state = self._machine.state
        hard_state = self._storage.hard_state
        is_leading = self._replica.leadership is not None
        leases = self._current_duties().leases.live() if is_leading else []
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
            jobs=self._ledger_view().jobs,
            suspects=quarantine_view(self._machine).suspects,
        )

    async def _take_care(self) -> None:
        while True:
            await sleep_until(deadline_in(_CARE_INTERVAL_S))
            leadership = self._replica.leadership
            if leadership is None or not leadership.is_ready:
                continue
            try:
                duties = self._current_duties()
                await self._lose_ended_entries(duties)
                await self._forget_servers(duties)
            except LogError:
                continue

    async def _lose_ended_entries(self, duties: TermDuties) -> None:
        expired = duties.leases.forget_expired()
        for entry in expired:
            self._events.record("entry.lost", entry=entry.instance, boot=entry.boot)
        if expired:
            await self._entries_changed(duties)
        if now() < duties.leases.unknown_until:
            return
        live = {lease.entry.boot for lease in duties.leases.live()}
        state = self._machine.state
        named = state.keys.boots() | state.ledger.boots() | state.quarantine.boots()
        ended = named - live
        if ended:
            await self.execute(LoseHolders(sorted(ended)))

    async def _forget_servers(self, duties: TermDuties) -> None:
        for announcement in list(self._machine.state.directory.servers.values()):
            last = duties.announced_at.get(
                announcement.server, duties.leadership.started_at
            )
            if now() > last + self._settings.forget_after_s:
                self._events.record("server.forgotten", server=announcement.server)
                await self.execute(ForgetServer(announcement.server, announcement.boot))


def _in_force_at(request: RenewRequest) -> InForceAt:
    return InForceAt(request.revision, request.quarantine)
