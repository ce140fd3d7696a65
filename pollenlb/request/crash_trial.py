"""Quarantine of requests that may crash backend servers, as one request sees it.

A request that was running when a backend server crashed becomes a suspect. A
suspect runs only in a trial, with no other suspect at its server; a crash in its
trial condemns it, and an answer clears it.
"""

from __future__ import annotations

import asyncio

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
from .process_check import ask_for_contact

# Deadline of each command about a suspect to the control instances.
_COMMAND_TIMEOUT_S = 10.0
# Other servers that are asked, and how long, before a crash is reported.
_ASKED_SERVERS = 3
_CONTACT_TIMEOUT_S = 0.5


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

        The server gets no new work for a while in any case. A crash is not reported
        if this entry reaches no other server, either, unless the request is on trial.

        Raises
        ------
        RequestCondemnedError
            When the crash condemned the request.
        ControlError
            When the crash could not be reported.
        """
        boot = server.boot
        lost_at = now()
        server.record_failure()
        if not await server.has_crashed(boot):
            return
        if not self._is_on_trial and not await self._reaches_others(server, lost_at):
            self._context.events.record(
                "server.crash_in_doubt", server=server.name, request=self._request_id
            )
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
        """End the trial, if one is running; failures are only recorded as events.

        Parameters
        ----------
        end : TrialEnd
            Whether the suspect is cleared or ends without a verdict.
        """
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

    async def _reaches_others(self, server: BackendServer, since: float) -> bool:
        """Return whether this entry reaches another server, or knows no other.

        Otherwise the network may be cut between this entry and all of them.
        """
        context = self._context
        others = [
            each for each in context.directory.servers.values() if each is not server
        ]
        if not others or context.reachability.contact_at > since:
            return True
        asked = context.rng.sample(others, min(_ASKED_SERVERS, len(others)))
        checks = await asyncio.gather(
            *(ask_for_contact(each, context, _CONTACT_TIMEOUT_S) for each in asked)
        )
        return any(check is not ProcessCheck.SILENT for check in checks)

    async def _propose(self, command: ReportCrash | StartTrial | EndTrial) -> AnyResult:
        command_id = CommandId(new_id("trial"))
        deadline = deadline_in(_COMMAND_TIMEOUT_S)
        return await self._context.control.propose(command, command_id, deadline)
