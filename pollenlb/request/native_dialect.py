"""Names and formats of the product's native protocol."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from ..clock import remaining_time_s
from ..connection.backend_api import (
    BOOT_HEADER,
    IN_FLIGHT_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    TIMEOUT_MS_HEADER,
    WORKSPACE_HEADER,
    ProbeAnswer,
    ProcessCheck,
)
from ..connection.probe import probe_server
from ..durable.batch_job_commands import BatchItem, BatchJobSpec, RewardCall
from ..durable.configuration_commands import Announcement
from ..external_data import read_count
from ..ids import BackendServerName, BootId, RequestId, ServiceName
from ..settings.cluster import RouteSettings
from ..settings.entry import EntrySettings
from .caller_request import (
    CLASS_HEADER,
    REPEATABLE_HEADER,
    TIMEOUT_HEADER,
    CallerRequest,
    RequestClass,
    read_authorization,
    read_class,
    read_deadline,
    read_key,
    read_repeatable,
    request_id_of,
)
from .dialect import AnswerHead, CallerParameters, NumberedEvent, Resumption
from .outcome import (
    SERVER_HEADER,
    Outcome,
    Refusal,
    bad_request,
    parse_retry_after_s,
    refusal_response,
)

if TYPE_CHECKING:
    from .attempt import Attempt

_MILLISECONDS_PER_SECOND = 1000
_KEY_SCHEME = "Bearer"


class NativeDialect:
    """Dialect of the native protocol, as documented in ``docs/user-guide``."""

    ready_path = "/readyz"
    private_headers = frozenset(
        header.lower()
        for header in (
            REQUEST_ID_HEADER,
            OUTCOME_HEADER,
            BOOT_HEADER,
            CLASS_HEADER,
            REPEATABLE_HEADER,
            TIMEOUT_HEADER,
            SERVER_HEADER,
        )
    )

    workspace_headers = frozenset(("authorization", WORKSPACE_HEADER.lower()))

    def request_id_of(self, request: web.Request) -> RequestId:
        """Return the caller's request id, or a new one."""
        return request_id_of(request)

    def read_key(self, request: web.Request) -> str | None:
        """Return the key of a workspace that a request carries; None without one."""
        return read_authorization(request, _KEY_SCHEME)

    def read_parameters(
        self, request: web.Request, route: RouteSettings, settings: EntrySettings
    ) -> CallerParameters:
        """Return the caller's conditions.

        Raises
        ------
        RefusedError
            When a header is invalid.
        """
        return CallerParameters(
            request_id=request_id_of(request),
            deadline=read_deadline(request, settings, route.timeout_s),
            request_class=RequestClass(read_class(request, route.request_class)),
            is_repeatable=read_repeatable(request, route.repeatable),
            key=read_key(request, ServiceName(route.service)),
        )

    def refusal_response(self, refusal: Refusal, request_id: RequestId) -> web.Response:
        """Return the HTTP response for a refusal."""
        return refusal_response(refusal, request_id)

    def answer_headers(
        self, request_id: RequestId, server: BackendServerName
    ) -> dict[str, str]:
        """Return the headers that the entry adds to a forwarded answer."""
        return {
            REQUEST_ID_HEADER: request_id,
            OUTCOME_HEADER: Outcome.RAN.value,
            SERVER_HEADER: server,
        }

    def attempt_headers(self, attempt: Attempt, server: Announcement) -> dict[str, str]:
        """Return the headers that the entry adds to the request of an attempt."""
        timeout_ms = int(remaining_time_s(attempt.deadline) * _MILLISECONDS_PER_SECOND)
        headers = {
            REQUEST_ID_HEADER: attempt.request_id,
            TIMEOUT_MS_HEADER: str(timeout_ms),
        }
        if attempt.workspace is not None:
            headers[WORKSPACE_HEADER] = attempt.workspace
        return headers

    def relay_headers(self, caller: CallerRequest) -> dict[str, str]:
        """Return the headers that differ from the caller's in a relayed request."""
        remaining_s = max(0.001, remaining_time_s(caller.deadline))
        return {
            REQUEST_ID_HEADER: caller.request_id,
            TIMEOUT_HEADER: f"{remaining_s:.3f}",
        }

    def read_head(
        self, request_id: RequestId, status: int, headers: Mapping[str, str]
    ) -> AnswerHead:
        """Return the parsed status and headers of a backend server's answer."""
        boot = headers.get(BOOT_HEADER)
        named_request = headers.get(REQUEST_ID_HEADER)
        return AnswerHead(
            is_not_run=headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN.value,
            is_for_request=named_request == request_id,
            is_for_other_request=named_request not in (None, "", request_id),
            boot=BootId(boot) if boot is not None else None,
            in_flight=read_count(headers, IN_FLIGHT_HEADER),
            retry_after_s=parse_retry_after_s(headers.get("Retry-After")),
        )

    async def probe(
        self,
        session: aiohttp.ClientSession,
        server: Announcement,
        health_path: str,
        timeout_s: float,
    ) -> ProbeAnswer | None:
        """Return a backend server's answer to a probe, or None without an answer."""
        return await probe_server(session, server.address, timeout_s)

    async def check_process(
        self,
        session: aiohttp.ClientSession,
        server: Announcement,
        timeout_s: float,
    ) -> ProcessCheck:
        """Return whether the announced process answers the probe."""
        answer = await probe_server(session, server.address, timeout_s)
        if answer is None:
            return ProcessCheck.SILENT
        is_same = answer.boot == server.boot
        return ProcessCheck.SAME if is_same else ProcessCheck.OTHER

    def read_batch_job(
        self,
        request: web.Request,
        body: bytes,
        route: RouteSettings,
        settings: EntrySettings,
    ) -> BatchJobSpec:
        """Refuse: in this protocol trainers submit the steps of jobs instead.

        Raises
        ------
        RefusedError
            Always.
        """
        raise bad_request(
            "this route does not accept batch jobs; use the trainer API", None
        )

    def batch_job_accepted(self, request_id: RequestId) -> web.Response:
        """Return the response for a batch job that was accepted and stored."""
        return web.json_response({"batch_job": request_id}, status=202)

    def item_headers(self, item: BatchItem, spec: BatchJobSpec) -> dict[str, str]:
        """Return the headers of the request that runs an item of a batch job."""
        return dict(item.headers)

    def reward_call_headers(self, call: RewardCall) -> dict[str, str]:
        """Return the headers of the request of an item's reward call."""
        return {"Host": call.host}

    def read_score(self, headers: Mapping[str, str]) -> str | None:
        """Return None: scores are in the bodies of answers in this protocol."""
        return None

    def unknown_batch_job_fields(self, body: bytes) -> set[str]:
        """Return nothing, as there are no batch jobs in this protocol."""
        return set()

    def resume_headers(self, after: int) -> dict[str, str]:
        """Raise ``ValueError``: completions are resumed through their bodies."""
        raise ValueError("the native protocol does not support numbered events")

    def read_resumption(self, request: web.Request) -> Resumption | None:
        """Return None: callers cannot take up a completion."""
        return None

    def read_numbered_event(self, block: bytes) -> NumberedEvent:
        """Raise ``ValueError``: completions have an event format of their own."""
        raise ValueError("the native protocol does not support numbered events")
