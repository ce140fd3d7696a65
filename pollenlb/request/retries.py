"""Retries of one request: the server for each attempt, and when to stop."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp

from ..clock import Deadline, deadline_in, now, remaining_time_s, sleep_until
from ..connection.backend import BackendServer
from ..connection.request_limit import RequestLimit, expected_wait_s
from ..durable.crash_commands import TrialEnd
from ..exceptions import ControlError, RequestCondemnedError
from ..ids import (
    BackendServerName,
    Fingerprint,
    RequestId,
    ServiceName,
    SoftwareVersion,
    WeightVersion,
)
from ..process.caller_queue import QueuedRequest, TurnRefusedError
from ..process.context import EntryContext
from ..scheduling.admission import retry_after_s
from ..scheduling.choice import is_slow, typical_latency_s
from .attempt import AttemptFailure
from .caller_request import RequestClass
from .crash_trial import CrashTrial
from .outcome import CONDEMNED_STATUS, Outcome, Refusal, RefusedError

# Interval between checks for a free long slot or the end of a trial in the way.
_SERVER_POLL_INTERVAL_S = 0.1
_DEFAULT_RETRY_AFTER_S = 1.0
# A request waits at most this long for the limits that servers named.
_MAX_LIMIT_WAIT_S = 1.0
_LIMIT_POLL_INTERVAL_S = 0.02


@dataclass
class RetryPolicy:
    """How a request may be retried.

    Attributes
    ----------
    deadline : Deadline
        Deadline of the request; no retry follows after it.
    is_repeatable : bool
        Whether the request may run more than once.
    least_version : WeightVersion or None
        Oldest weight version that may serve the request; None for a plain
        service.
    retry_share : float
        Retry tokens that the request adds to the service's retry budget.
    max_attempts : int
        Attempts that the request may have in all, hedges included.
    may_reuse_failed_servers : bool
        Whether a server whose attempt failed may get the request again once
        all others have failed, too. A stream that resumes where it was
        interrupted may.
    queued : QueuedRequest or None
        The request in the queue of its service; None if it does not wait for its
        turn among workspaces.
    """

    deadline: Deadline
    request_class: RequestClass
    is_repeatable: bool
    least_version: WeightVersion | None = None
    retry_share: float = 0.1
    max_attempts: int = 4
    may_reuse_failed_servers: bool = False
    queued: QueuedRequest | None = None


class Retries:
    """Chooses a backend server for each attempt of one request.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    service : ServiceName
        Service whose backend servers may run the request.
    request_id : RequestId
        Id of the request, for events.
    fingerprint : Fingerprint
        Digest of the request's content, the same for each resend.
    policy : RetryPolicy
        How the request may be retried.
    """

    def __init__(
        self,
        context: EntryContext,
        service: ServiceName,
        request_id: RequestId,
        fingerprint: Fingerprint,
        policy: RetryPolicy,
    ) -> None:
        self._context = context
        self._service = service
        self._request_id = request_id
        self._policy = policy
        self._failed_servers: set[BackendServerName] = set()
        self._timed_out_servers: set[BackendServerName] = set()
        self._attempts = 0
        self._may_have_run = False
        self._sent_attempts = 0
        self._is_failure_settled = False
        self._last_failure: AttemptFailure | None = None
        self._exhausted_limits: list[RequestLimit] = []
        self._software: SoftwareVersion | None = None
        self._trial = CrashTrial(context, request_id, fingerprint)
        context.retry_budget(service).add_request(policy.retry_share)

    @property
    def attempts(self) -> int:
        """Number of attempts so far, hedges included."""
        return self._attempts

    @property
    def may_have_run(self) -> bool:
        """Whether a failed attempt may have run the request."""
        return self._may_have_run

    @property
    def is_failure_settled(self) -> bool:
        """Whether all that follows from the last failure, but a retry, was done.

        It was not if the request is condemned or a crash could not be reported.
        """
        return self._is_failure_settled

    @property
    def relayed_attempts(self) -> int:
        """Number of attempts that the request may still have at another entry.

        Attempts that certainly did not run do not count, since no server saw them. 0
        for a request that may have run and must not run twice.
        """
        if self._may_have_run and not self._policy.is_repeatable:
            return 0
        return self._policy.max_attempts - self._sent_attempts

    @property
    def is_on_trial(self) -> bool:
        """Whether the request runs as a suspect of crashing backend servers."""
        return self._trial.is_on_trial

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session for the next attempt.

        A request that must not run twice gets a new connection, and so does
        an attempt after a timeout, since idle connections may be dead.
        """
        if not self._policy.is_repeatable:
            return self._context.single_use_session
        if self._timed_out_servers:
            return self._context.after_timeout_session
        return self._context.session

    def require_software(self, software: SoftwareVersion) -> None:
        """Use only servers of one software version from now on.

        Output of one version must not be continued by another.
        """
        self._software = software

    async def next_server(self) -> BackendServer:
        """Return the backend server for the next attempt, and count the attempt.

        Long requests wait for a free slot, suspects for their trial. A request
        waits for a moment if the limits that the servers named soon allow it.

        Raises
        ------
        RefusedError
            When no backend server is usable, all are overloaded or have reached
            their limits, the deadline passes first, the trial of a suspect could
            not be started, or the request is condemned for crashing backend
            servers.
        """
        while True:
            await self._wait_for_turn()
            server = self._choose_server()
            if server is not None and await self._try_start(server):
                server.request_limit.spend()
                self._attempts += 1
                return server
            if server is None and self._exhausted_limits:
                await self._wait_for_limits(self._exhausted_limits)
                continue
            if server is None and not self._may_wait_for_slot():
                raise self._no_server_error()
            if not remaining_time_s(self._policy.deadline):
                raise self._refused_error(
                    503,
                    f"the deadline passed before a backend server of {self._service} "
                    "could start the request",
                )
            pause_s = min(
                _SERVER_POLL_INTERVAL_S, remaining_time_s(self._policy.deadline)
            )
            await sleep_until(deadline_in(pause_s))

    async def record_success(
        self, server: BackendServer, ends_with_connection: bool = False
    ) -> None:
        """Record that an attempt gave a whole answer, and clear a suspect.

        Parameters
        ----------
        server : BackendServer
            The server that gave it.
        ends_with_connection : bool
            Whether nothing but the end of the connection tells that it is whole. The
            server is asked then whether it still runs, without a wait for that.
        """
        self.record_head(server)
        await self.record_end(server, ends_with_connection)

    def record_head(self, server: BackendServer) -> None:
        """Record the head of an answer, which tells the load of the server."""
        if self._policy.queued is not None:
            load = server.load
            queue = self._context.caller_queue(self._service)
            queue.record_answer(load.in_flight_per_slot, load.slots)

    async def record_end(
        self, server: BackendServer, ends_with_connection: bool = False
    ) -> None:
        """Record the end of an answer whose head was recorded; clear a suspect.

        The parameters are those of ``record_success``.
        """
        self._context.metrics.attempts.labels(self._service, "whole").inc()
        if ends_with_connection:
            self._trial.handle_uncertain_end(server)
        else:
            await self._trial.end(TrialEnd.CLEARED)

    def record_cut(self, server: BackendServer, failure: AttemptFailure) -> None:
        """Record an answer that broke off once its caller had its head.

        A crash is reported in the background, since the caller's connection ends.
        """
        self._context.spawn(self._settle_cut(server, failure))

    async def _settle_cut(self, server: BackendServer, failure: AttemptFailure) -> None:
        try:
            await self.record_failure(server, failure)
        except RefusedError:
            pass  # the caller can be told no more; the events tell why
        await self.record_abandonment()

    async def record_abandonment(self) -> None:
        """Record that the caller no longer waits; a trial ends without a verdict."""
        await self._trial.end(TrialEnd.OPEN)

    async def handle_failure(
        self, server: BackendServer, failure: AttemptFailure
    ) -> None:
        """Record a failed attempt, and return only if a retry may follow.

        Raises
        ------
        RefusedError
            When no retry is allowed: the deadline has passed, the request may
            have run and is not repeatable, the attempts or the retry budget
            are used up, the request is condemned, or a crash could not be
            reported.
        """
        self._is_failure_settled = False
        try:
            await self.record_failure(server, failure)
        except asyncio.CancelledError:
            self._context.spawn(self._trial.end(TrialEnd.OPEN))
            raise
        await self._trial.end(TrialEnd.OPEN)
        self._is_failure_settled = True
        self._check_may_retry(failure)

    async def record_failure(
        self, server: BackendServer, failure: AttemptFailure
    ) -> None:
        """Record a failed attempt without deciding on a retry.

        Used instead of ``handle_failure`` for all but the last of concurrent
        attempts. A lost connection or a broken answer is reported as a crash if the
        server has crashed.

        Raises
        ------
        RefusedError
            When the request is condemned for crashing backend servers, or the
            crash could not be reported.
        """
        self._failed_servers.add(server.name)
        if failure.is_timeout:
            self._timed_out_servers.add(server.name)
        is_sent = failure.outcome is not Outcome.NOT_RUN
        self._may_have_run = self._may_have_run or is_sent
        self._sent_attempts += is_sent
        self._last_failure = failure
        self._record_failed_attempt(server, failure)
        if failure.is_refusal:
            self._record_full_server()
        if failure.is_other_server:
            server.record_failure()
        if failure.is_connection_lost and not is_sent:
            server.record_failure()
        elif failure.is_connection_lost or failure.is_answer_broken:
            await self._report_if_crashed(server, failure)

    @property
    def is_last_attempt(self) -> bool:
        """Whether no attempt may follow the current one."""
        return self._attempts >= self._policy.max_attempts

    def hedge_server(
        self, running: list[BackendServer], is_silent: bool
    ) -> BackendServer | None:
        """Return the backend server for a hedge, and count the attempt.

        None when no server is eligible or the attempts or the retry budget are used
        up.

        Parameters
        ----------
        running : list of BackendServer
            Servers of the attempts that are hedged; others are preferred.
        is_silent : bool
            Whether nothing was heard of them for the progress timeout. The
            connections may be dead then, so that the hedge gets a new one and, without
            another server, goes to one of the same.
        """
        if is_silent:
            self._timed_out_servers.update(server.name for server in running)
        typical_s = typical_latency_s(self._context.usable_servers(self._service))
        sound = [
            server
            for server in self._candidates()
            if server.name not in self._failed_servers
            and server.request_limit.may_send
            and (is_silent or not is_slow(server, typical_s))
        ]
        servers = [server for server in sound if server not in running]
        if is_silent and not servers:
            servers = sound
        if not is_silent and not self._is_worth_the_path(servers, running):
            return None
        entries = len(self._context.live_entries.all)
        servers = self._context.admit(servers, entries, self._policy.deadline)
        if not servers or self.is_last_attempt:
            return None
        if not self._context.retry_budget(self._service).try_spend():
            return None
        self._attempts += 1
        self._context.metrics.hedges.labels(self._service).inc()
        server = self._context.choose_server(self._service, servers)
        server.request_limit.spend()
        return server

    def _is_worth_the_path(
        self, servers: list[BackendServer], running: list[BackendServer]
    ) -> bool:
        """Return whether a hedge at some of the servers saves more than it costs.

        A hedge that has to leave the failure domain is worth it once the attempts
        that it hedges have taken as long as the path costs.
        """
        far_cost_s = self._context.far_cost_s(self._service)
        if not far_cost_s or not all(server.is_far for server in servers):
            return True
        waited_s = max(server.load.oldest_request_age_s for server in running)
        return waited_s >= far_cost_s

    async def _wait_for_turn(self) -> None:
        """Return once the request may be sent, which is at once without workspaces.

        Raises
        ------
        RefusedError
            When other requests are served before it for too long.
        """
        queued = self._policy.queued
        if queued is None or queued.has_turn:
            return
        if not self._context.usable_servers(self._service):
            return
        try:
            await self._context.caller_queue(self._service).wait_for_turn(queued)
        except TurnRefusedError as error:
            self._context.metrics.record_turn(queued.flow.workspace, "refused")
            reason = f"{self._service}: {error}"
            raise self._refused_error(503, reason, error.retry_after_s) from error
        turn = "share" if queued.is_within_share else "lent"
        self._context.metrics.record_turn(queued.flow.workspace, turn)

    def _record_full_server(self) -> None:
        if self._policy.queued is not None:
            queue = self._context.caller_queue(self._service)
            queue.record_full_server(self._policy.queued)

    def _retry_after_s(self, otherwise_s: float | None) -> float | None:
        """Return when a caller may come back that met full servers."""
        if self._policy.queued is None:
            return otherwise_s
        queue = self._context.caller_queue(self._service)
        return queue.retry_after_s(self._policy.queued)

    def _choose_server(self) -> BackendServer | None:
        self._exhausted_limits = []
        servers = self._candidates()
        eligible = [
            server for server in servers if server.name not in self._failed_servers
        ]
        if not eligible:
            # A timeout may come from a dead connection to a healthy server.
            eligible = [
                server
                for server in servers
                if server.name not in self._failed_servers - self._timed_out_servers
            ]
        if not eligible and self._policy.may_reuse_failed_servers:
            eligible = servers
        if not eligible:
            return None
        if self._policy.request_class is not RequestClass.LONG:
            entries = len(self._context.live_entries.all)
            admissible = self._context.admit(eligible, entries, self._policy.deadline)
            if not admissible:
                self._record_full_server()
                raise self._refused_error(
                    503,
                    f"every eligible backend server of {self._service} is overloaded",
                    self._retry_after_s(retry_after_s(eligible)),
                )
            eligible = admissible
        return self._choose_within_limits(eligible)

    def _choose_within_limits(
        self, eligible: list[BackendServer]
    ) -> BackendServer | None:
        for server in eligible:
            server.request_limit.record_demand()
        within = [server for server in eligible if server.request_limit.may_send]
        if not within:
            self._exhausted_limits = [server.request_limit for server in eligible]
            return None
        return self._context.choose_server(self._service, within)

    async def _wait_for_limits(self, limits: list[RequestLimit]) -> None:
        """Return once one of the limits allows a request.

        Raises
        ------
        RefusedError
            When that takes too long, at once if this is known beforehand.
        """
        waiting = self._context.limit_waiting
        if expected_wait_s(limits, waiting[self._service]) > _MAX_LIMIT_WAIT_S:
            raise self._limit_error(limits)
        deadline = min(self._policy.deadline, deadline_in(_MAX_LIMIT_WAIT_S))
        waiting[self._service] += 1
        try:
            while not any(limit.may_send for limit in limits):
                if now() >= deadline:
                    raise self._limit_error(limits)
                await sleep_until(
                    Deadline(min(deadline, deadline_in(_LIMIT_POLL_INTERVAL_S)))
                )
        finally:
            waiting[self._service] -= 1

    def _limit_error(self, limits: list[RequestLimit]) -> RefusedError:
        self._record_full_server()
        return self._refused_error(
            503,
            f"every eligible backend server of {self._service} has reached the limit "
            "that it named",
            expected_wait_s(limits, self._context.limit_waiting[self._service]),
        )

    def _may_wait_for_slot(self) -> bool:
        is_long = self._policy.request_class is RequestClass.LONG
        return (
            is_long
            and not self._failed_servers
            and bool(self._context.usable_servers(self._service))
        )

    def _candidates(self) -> list[BackendServer]:
        software = self._software
        if software is not None and not self._context.knows_software_versions:
            return []
        if self._policy.request_class is RequestClass.LONG:
            servers = [
                server
                for server in self._context.servers_with_long_slot(self._service)
                if software in (None, server.software)
            ]
        else:
            servers = self._context.usable_servers(self._service, software)
        min_version = self._policy.least_version
        if min_version is None:
            return servers
        return [
            server
            for server in servers
            if server.version is not None and server.version >= min_version
        ]

    async def _try_start(self, server: BackendServer) -> bool:
        try:
            return await self._trial.try_start(server)
        except RequestCondemnedError as error:
            raise self._condemned_error(error) from error
        except ControlError as error:
            raise self._refused_error(503, str(error)) from error

    async def _report_if_crashed(
        self, server: BackendServer, failure: AttemptFailure
    ) -> None:
        try:
            if failure.is_answer_broken:
                await self._trial.handle_broken_answer(server)
            else:
                await self._trial.handle_lost_connection(server)
        except RequestCondemnedError as error:
            raise self._condemned_error(error) from error
        except ControlError as error:
            raise self._refused_error(
                503, f"reporting a crash of {server.name} failed: {error}"
            ) from error

    def _check_may_retry(self, failure: AttemptFailure) -> None:
        policy = self._policy
        status = self._failure_status(failure)
        if not remaining_time_s(policy.deadline):
            raise self._refused_error(status, failure.reason)
        if self._may_have_run and not policy.is_repeatable:
            raise self._refused_error(status, failure.reason)
        is_exhausted = self._attempts >= policy.max_attempts
        if is_exhausted or not self._context.retry_budget(self._service).try_spend():
            after_s = failure.retry_after_s
            if failure.is_refusal:
                after_s = self._retry_after_s(after_s)
            raise self._refused_error(status, failure.reason, after_s)
        self._context.metrics.retries.labels(self._service).inc()

    def _failure_status(self, failure: AttemptFailure) -> int:
        if not self._may_have_run:
            return 503
        return 504 if failure.is_timeout else 502

    def _no_server_error(self) -> RefusedError:
        """Return the refusal without a server; an attempt before it tells why."""
        reason = f"no backend server of {self._service} is usable"
        if self._software is not None:
            reason += f" that has the software version {self._software}"
        failure = self._last_failure
        if failure is None:
            return self._refused_error(503, reason)
        status = self._failure_status(failure)
        return self._refused_error(status, f"{failure.reason}; then {reason}")

    def _record_failed_attempt(
        self, server: BackendServer, failure: AttemptFailure
    ) -> None:
        self._context.metrics.attempts.labels(self._service, "failed").inc()
        self._context.events.record(
            "attempt.failed",
            request=self._request_id,
            server=server.name,
            outcome=failure.outcome.value,
            reason=failure.log_text,
        )

    def _refused_error(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> RefusedError:
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return RefusedError(
            Refusal(status, outcome, reason, retry_after_s or _DEFAULT_RETRY_AFTER_S)
        )

    def _condemned_error(self, error: RequestCondemnedError) -> RefusedError:
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return RefusedError(Refusal(CONDEMNED_STATUS, outcome, str(error)))
