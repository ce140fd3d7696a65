"""Quarantine of requests that may crash backend servers, as one request sees it.

A request that was running when a backend server crashed becomes a suspect. A
suspect runs only in a trial, with no other suspect at its server; a crash in its
trial condemns it, and an answer clears it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from ..clock import deadline_in, now
from ..connection.backend import BackendServer
from ..connection.backend_api import ProcessCheck
from ..durable.command_base import Refused
from ..durable.commands import AnyResult
from ..durable.crash_commands import (
    CrashReported,
    EndTrial,
    ReportCrash,
    StartTrial,
    TrialEnd,
    TrialStarted,
)
from ..exceptions import ControlError, RequestCondemnedError
from ..ids import CommandId, Fingerprint, RequestId, new_id
from ..process.context import EntryContext
from .contact import is_cut_off

# Deadline of each command about a suspect to the control instances.
_COMMAND_TIMEOUT_S = 10.0


class CrashTrial:
    """Starts and ends the trial of a suspect, and reports crashes to the quarantine.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    request_id : RequestId
        Id of the request, for events.
    fingerprint : Fingerprint
        Digest of the request's content, the same for each resend.
    """

    def __init__(
        self, context: EntryContext, request_id: RequestId, fingerprint: Fingerprint
    ) -> None:
        self._context = context
        self._request_id = request_id
        self._fingerprint = fingerprint
        self._is_on_trial = False
        self._report: asyncio.Task | None = None

    @property
    def is_on_trial(self) -> bool:
        """Whether a trial of the request was started and has not ended."""
        return self._is_on_trial

    async def try_start(self, server: BackendServer) -> bool:
        """Return whether the request may run now, and start its trial if needed.

        A suspect may not run while it or another suspect has a trial that is
        in the way.

        Parameters
        ----------
        server : BackendServer
            Server at which the request is to run.

        Raises
        ------
        RequestCondemnedError
            When the request is condemned.
        ControlError
            When the request is a suspect and the control instances did not
            answer the command that starts its trial.
        """
        is_condemned = self._context.quarantine.suspects.get(self._fingerprint)
        if is_condemned is None:
            return True
        if is_condemned:
            raise RequestCondemnedError()
        claimant = self._context.identity.claimant
        started = await self._propose(
            StartTrial(self._fingerprint, server.name, claimant)
        )
        if isinstance(started, TrialStarted):
            self._is_on_trial = started.is_needed
            return True
        assert isinstance(started, Refused)
        return False

    async def handle_lost_connection(self, server: BackendServer) -> None:
        """Probe the backend server of a lost connection, and report a crash.

        The server gets no new work for a while in any case. Without an answer to the
        probe, it has crashed only if another server can be reached. The report is made
        even if the request is cancelled meanwhile.

        Raises
        ------
        RequestCondemnedError
            When the crash condemned the request.
        ControlError
            When the crash could not be reported.
        """
        server.record_failure()
        await asyncio.shield(self._start_report(self._report_if_crashed(server)))

    async def handle_broken_answer(self, server: BackendServer) -> None:
        """Do the same for an answer that broke off after its head.

        A server that has not crashed goes on to get work: it was able to answer.

        Raises
        ------
        RequestCondemnedError
            When the crash condemned the request.
        ControlError
            When the crash could not be reported.
        """
        await asyncio.shield(self._start_report(self._report_if_crashed(server)))

    def handle_uncertain_end(self, server: BackendServer) -> None:
        """Clear the suspect in the background, unless the server has crashed.

        For an answer that ended with its connection, as the operating system of a
        crashed process may end it, too.
        """
        self._start_report(self._clear_if_running(server))

    async def end(self, end: TrialEnd) -> None:
        """End the trial, if one is running; failures are only recorded as events.

        A crash that is being reported comes first, since it may condemn the request.

        Parameters
        ----------
        end : TrialEnd
            Whether the suspect is cleared or ends without a verdict.
        """
        if self._report is not None:
            await asyncio.wait({self._report})
        await self._end(end)

    async def _end(self, end: TrialEnd) -> None:
        if not self._is_on_trial:
            return
        self._is_on_trial = False
        command = EndTrial(self._fingerprint, self._context.identity.claimant, end)
        try:
            await self._propose(command)
        except ControlError as error:
            # The trial ends at the latest when this entry's lease ends.
            self._context.events.record(
                "trial.not_ended", request=self._request_id, reason=str(error)
            )

    def _start_report(self, report: Coroutine[Any, Any, Any]) -> asyncio.Task:
        self._report = self._context.spawn(report)
        return self._report

    async def _clear_if_running(self, server: BackendServer) -> None:
        try:
            check = await self._report_if_crashed(server)
        except (RequestCondemnedError, ControlError):
            await self._end(TrialEnd.OPEN)
        else:
            is_running = check is ProcessCheck.SAME
            await self._end(TrialEnd.CLEARED if is_running else TrialEnd.OPEN)

    async def _report_if_crashed(self, server: BackendServer) -> ProcessCheck:
        """Probe a backend server, report a crash, and return what the probe told.

        Raises
        ------
        RequestCondemnedError
            When the crash condemned the request.
        ControlError
            When the crash could not be reported.
        """
        boot, lost_at = server.boot, now()
        check = await server.check_boot(boot)
        if check is ProcessCheck.SAME:
            return check
        if check is ProcessCheck.UNKNOWN:
            self._context.events.record(
                "server.not_confirmed", server=server.name, check=check.value
            )
            return check
        is_silent = check is ProcessCheck.SILENT
        if is_silent and await is_cut_off(server, lost_at, self._context):
            self._context.events.record(
                "server.not_reached", server=server.name, request=self._request_id
            )
            return check
        if server.is_usable:
            server.record_failure()
        self._context.events.record(
            "server.crashed", server=server.name, boot=boot, request=self._request_id
        )
        try:
            reported = await self._propose(
                ReportCrash(self._fingerprint, server.name, boot)
            )
        except ControlError as error:
            self._context.events.record(
                "crash.not_reported", request=self._request_id, reason=str(error)
            )
            raise
        assert isinstance(reported, CrashReported)
        self._is_on_trial = self._is_on_trial and not reported.is_condemned
        if reported.is_condemned:
            self._context.events.record("request.condemned", request=self._request_id)
            raise RequestCondemnedError()
        return check

    async def _propose(self, command: ReportCrash | StartTrial | EndTrial) -> AnyResult:
        command_id = CommandId(new_id("trial"))
        deadline = deadline_in(_COMMAND_TIMEOUT_S)
        return await self._context.control.propose(command, command_id, deadline)
