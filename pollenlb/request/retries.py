"""The attempts of one request: which server next, and when to give up."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp

from ..clock import Deadline, deadline_in, remaining, sleep_until
from ..connection.backend import BackendServer
from ..durable.crash_commands import TrialEnd
from ..exceptions import ControlError, RequestCondemnedError
from ..ids import (
    BackendServerName,
    Fingerprint,
    RequestId,
    ServiceName,
    WeightVersion,
)
from ..process.context import EntryContext
from .admission import retry_after_s
from .attempt import AttemptFailure
from .caller_request import RequestClass
from .choice import is_slow, typical_latency_s
from .crash_trial import CrashTrial
from .outcome import CONDEMNED_STATUS, Outcome, Refusal, RefusedError

_PAUSE_S = 0.1
_RETRY_AFTER_S = 1.0


@dataclass
class RetryPolicy:
    """How a request may be tried again.

    Attributes
    ----------
    is_repeatable : bool
        Whether it may run more than once.
    least_version : WeightVersion or None
        Oldest weights that will do; None for a plain service.
    retry_share : float
        Retries that each request of the service allows, as a share.
    most_attempts : int
        Backend servers to which the request may be sent.
    may_return : bool
        Whether a server that failed may be tried again when all others have,
        as a stream that goes on where it broke off may.
    """

    deadline: Deadline
    request_class: RequestClass
    is_repeatable: bool
    least_version: WeightVersion | None = None
    retry_share: float = 0.1
    most_attempts: int = 4
    may_return: bool = False


class Retries:
    """Chooses a backend server for each attempt of one request.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    service : ServiceName
        The service that is asked.
    request_id : RequestId
        The request.
    fingerprint : Fingerprint
        What the request asks, the same for each resend.
    policy : RetryPolicy
        How it may be tried again.
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
        self._tried: set[BackendServerName] = set()
        self._silent: set[BackendServerName] = set()
        self._attempts = 0
        self._was_sent = False
        self._trial = CrashTrial(context, request_id, fingerprint)
        context.retry_budget(service).add_request(policy.retry_share)

    @property
    def attempts(self) -> int:
        """Attempts so far."""
        return self._attempts

    @property
    def is_on_trial(self) -> bool:
        """Whether the request runs as a suspect."""
        return self._trial.is_on_trial

    @property
    def session(self) -> aiohttp.ClientSession:
        """Connections for the next attempt; new ones after a silent one."""
        if self._silent or not self._policy.is_repeatable:
            return self._context.single_use_session
        return self._context.session

    async def next_server(self) -> BackendServer:
        """Return the backend server for the next attempt.

        Raises
        ------
        RefusedError
            When there is none in time, or when the request is refused for
            having crashed backend servers.
        """
        while True:
            server = self._choose()
            if server is not None and await self._may_run(server):
                self._attempts += 1
                return server
            if server is None and not self._may_wait():
                raise self._refusal(
                    503, f"no backend server of {self._service} is usable"
                )
            if not remaining(self._policy.deadline):
                raise self._refusal(
                    503, "the deadline passed before the request could run"
                )
            pause_s = min(_PAUSE_S, remaining(self._policy.deadline))
            await sleep_until(deadline_in(pause_s))

    async def record_success(self, server: BackendServer) -> None:
        """Take note that an attempt led to a whole answer."""
        self._context.metrics.attempts.labels(self._service, "whole").inc()
        await self._trial.end(TrialEnd.CLEARED)

    async def record_abandonment(self) -> None:
        """Take note that nobody waits for the answer any more."""
        await self._trial.end(TrialEnd.OPEN)

    async def handle_failure(
        self, server: BackendServer, failed: AttemptFailure
    ) -> None:
        """Take note of a failed attempt; return if another may follow.

        Raises
        ------
        RefusedError
            When the request is given up.
        """
        await self.record_failure(server, failed)
        await self._trial.end(TrialEnd.OPEN)
        self._check_may_retry(failed)

    async def record_failure(
        self, server: BackendServer, failed: AttemptFailure
    ) -> None:
        """Take note of a failed attempt beside which another one goes on.

        Raises
        ------
        RefusedError
            When the request is refused for having crashed backend servers.
        """
        self._tried.add(server.name)
        if failed.is_timeout:
            self._silent.add(server.name)
        is_sent = failed.outcome is not Outcome.NOT_RUN
        self._was_sent = self._was_sent or is_sent
        self._record(server, failed)
        if failed.is_other_server:
            server.record_failure()
        if failed.is_connection_lost and not is_sent:
            server.record_failure()
        elif failed.is_connection_lost:
            await self._note_lost_connection(server)

    def hedge_server(self, first: BackendServer) -> BackendServer | None:
        """Return the backend server for a hedge, or None without budget."""
        typical_s = typical_latency_s(self._context.usable_servers(self._service))
        servers = [
            each
            for each in self._candidates()
            if each.name != first.name
            and each.name not in self._tried
            and not is_slow(each, typical_s)
        ]
        entries = len(self._context.entries.all)
        servers = self._context.admit(servers, entries, self._policy.deadline)
        if not servers or self._attempts >= self._policy.most_attempts:
            return None
        if not self._context.retry_budget(self._service).try_spend():
            return None
        self._attempts += 1
        self._context.metrics.hedges.labels(self._service).inc()
        return self._context.choose(servers, self._context.rng)

    def _choose(self) -> BackendServer | None:
        servers = self._candidates()
        fresh = [each for each in servers if each.name not in self._tried]
        if not fresh:
            # The connection may have been silent while the server is well.
            fresh = [
                each for each in servers if each.name not in self._tried - self._silent
            ]
        if not fresh and self._policy.may_return:
            fresh = servers
        if not fresh:
            return None
        if self._policy.request_class is not RequestClass.LONG:
            entries = len(self._context.entries.all)
            admissible = self._context.admit(fresh, entries, self._policy.deadline)
            if not admissible:
                raise self._refusal(
                    503, f"{self._service} is overloaded", retry_after_s(fresh)
                )
            fresh = admissible
        return self._context.choose(fresh, self._context.rng)

    def _may_wait(self) -> bool:
        is_long = self._policy.request_class is RequestClass.LONG
        return (
            is_long
            and not self._tried
            and bool(self._context.usable_servers(self._service))
        )

    def _candidates(self) -> list[BackendServer]:
        if self._policy.request_class is RequestClass.LONG:
            servers = self._context.servers_with_long_slot(self._service)
        else:
            servers = self._context.usable_servers(self._service)
        least = self._policy.least_version
        if least is None:
            return servers
        return [
            each
            for each in servers
            if each.version is not None and each.version >= least
        ]

    async def _may_run(self, server: BackendServer) -> bool:
        try:
            return await self._trial.try_start(server)
        except RequestCondemnedError as error:
            raise self._condemned(error) from error
        except ControlError as error:
            raise self._refusal(503, str(error)) from error

    async def _note_lost_connection(self, server: BackendServer) -> None:
        try:
            await self._trial.handle_lost_connection(server)
        except RequestCondemnedError as error:
            raise self._condemned(error) from error
        except ControlError as error:
            raise self._refusal(503, "a crash could not be reported") from error

    def _check_may_retry(self, failed: AttemptFailure) -> None:
        policy = self._policy
        status = 504 if failed.is_timeout else 502 if self._was_sent else 503
        if not remaining(policy.deadline):
            raise self._refusal(status, failed.reason)
        if self._was_sent and not policy.is_repeatable:
            raise self._refusal(status, failed.reason)
        is_spent = self._attempts >= policy.most_attempts
        if is_spent or not self._context.retry_budget(self._service).try_spend():
            raise self._refusal(status, failed.reason, failed.retry_after_s)
        self._context.metrics.retries.labels(self._service).inc()

    def _record(self, server: BackendServer, failed: AttemptFailure) -> None:
        self._context.metrics.attempts.labels(self._service, "failed").inc()
        self._context.events.record(
            "attempt.failed",
            request=self._request_id,
            server=server.name,
            outcome=failed.outcome.value,
            reason=failed.reason,
        )

    def _refusal(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> RefusedError:
        outcome = Outcome.UNKNOWN if self._was_sent else Outcome.NOT_RUN
        return RefusedError(
            Refusal(status, outcome, reason, retry_after_s or _RETRY_AFTER_S)
        )

    def _condemned(self, error: RequestCondemnedError) -> RefusedError:
        outcome = Outcome.UNKNOWN if self._was_sent else Outcome.NOT_RUN
        return RefusedError(Refusal(CONDEMNED_STATUS, outcome, str(error)))
