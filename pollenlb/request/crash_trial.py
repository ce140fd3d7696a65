"""What a request has to do with backend servers that crashed."""

from __future__ import annotations

from ..clock import deadline_in
from ..connection.backend import BackendServer
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

_REPORT_TIMEOUT_S = 10.0


class CrashTrial:
    """Lets a suspect run alone, and reports a crash during a request.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    request_id : RequestId
        The request.
    fingerprint : Fingerprint
        What the request asks, the same for each resend.
    """

    def __init__(
        self, context: EntryContext, request_id: RequestId, fingerprint: Fingerprint
    ) -> None:
        self._context = context
        self._request_id = request_id
        self._fingerprint = fingerprint
        self._is_on_trial = False

    @property
    def is_on_trial(self) -> bool:
        """Whether the request runs as a suspect."""
        return self._is_on_trial

    async def try_start(self, server: BackendServer) -> bool:
        """Whether the request may run at a backend server now.

        Raises
        ------
        RequestCondemnedError
            When it is not to be run again.
        ControlError
            When it is a suspect and no trial could be started.
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
        """Report a crash if the process at the other end is gone.

        Raises
        ------
        RequestCondemnedError
            When the request is not to be run again.
        ControlError
            When the crash could not be reported.
        """
        boot = server.boot
        server.record_failure()
        if not await server.has_crashed(boot):
            return
        self._context.events.record(
            "server.crashed", server=server.name, boot=boot, request=self._request_id
        )
        reported = await self._propose(
            ReportCrash(self._fingerprint, server.name, boot)
        )
        assert isinstance(reported, CrashReported)
        self._is_on_trial = self._is_on_trial and not reported.is_condemned
        if reported.is_condemned:
            self._context.events.record("request.condemned", request=self._request_id)
            raise RequestCondemnedError()

    async def end(self, end: TrialEnd) -> None:
        """End the trial, if there is one."""
        if not self._is_on_trial:
            return
        self._is_on_trial = False
        command = EndTrial(self._fingerprint, self._context.identity.claimant, end)
        try:
            await self._propose(command)
        except ControlError as error:
            # The trial ends with this entry's lease at the latest.
            self._context.events.record(
                "trial.not_ended", request=self._request_id, reason=str(error)
            )

    async def _propose(self, command: ReportCrash | StartTrial | EndTrial) -> AnyResult:
        command_id = CommandId(new_id("trial"))
        deadline = deadline_in(_REPORT_TIMEOUT_S)
        return await self._context.control.propose(command, command_id, deadline)
