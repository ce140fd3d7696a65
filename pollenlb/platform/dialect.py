"""Protocol that entries speak with the platform's callers and backend servers."""

from __future__ import annotations

from collections.abc import Mapping

import aiohttp
import msgspec
from aiohttp import web

from ..clock import Deadline, deadline_in, remaining_time_s
from ..connection.backend_api import ProbeAnswer, ProcessCheck
from ..connection.bodies import read_body
from ..connection.sessions import ConnectionLostError
from ..durable.batch_job_commands import BatchItem, BatchJobSpec, RewardCall
from ..durable.configuration_commands import Announcement
from ..external_data import Integer, json_decoder, parse_count, read_count
from ..ids import BackendServerName, RequestId, WeightVersion
from ..request.attempt import Attempt
from ..request.caller_request import CallerRequest, RequestClass, read_authorization
from ..request.dialect import (
    AnswerHead,
    CallerParameters,
    NumberedEvent,
    Resumption,
)
from ..request.outcome import Outcome, Refusal, bad_request, parse_retry_after_s
from ..settings.cluster import RouteSettings
from ..settings.entry import EntrySettings
from .batch_jobs import parse_batch_job, unknown_fields
from .names import (
    AUTHORIZATION_HEADER,
    DEADLINE_MS_HEADER,
    EXPECTED_SERVER_HEADER,
    KEY_SCHEME,
    LAST_EVENT_ID_HEADER,
    LOAD_REPORT_HEADER,
    MISDIRECTED_STATUS,
    NOT_EXECUTED_HEADER,
    READY_PATH,
    REPORT_PATH,
    REQUEST_ID_HEADER,
    RESUMES_HEADER,
    SERVER_ID_HEADER,
    SERVER_LEAVING_HEADER,
    SERVER_PROOF_HEADER,
    WEIGHT_VERSION_HEADER,
    WORKSPACE_HEADER,
    close_answer_of_request,
    parse_in_flight,
    parse_probe_answer,
    parse_request_limit,
    parse_slowness,
)

_PROBE_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)
_MAX_REPORT_BYTES = 65_536
_MS_PER_S = 1000
_MAX_QUOTED_CHARACTERS = 40
# On the platform these statuses mean that the request has not run and never will.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class _Start(msgspec.Struct):
    """Start of a backend server's process, as its report names it.

    Attributes
    ----------
    born : int or None
        Milliseconds since the epoch.
    """

    born: Integer | None = None


_decode_start = json_decoder(_Start)


class PlatformDialect:
    """Names and formats of the platform; satisfies ``request.dialect.Dialect``."""

    ready_path = READY_PATH
    private_headers = frozenset(
        header.lower()
        for header in (
            REQUEST_ID_HEADER,
            DEADLINE_MS_HEADER,
            EXPECTED_SERVER_HEADER,
            NOT_EXECUTED_HEADER,
            LOAD_REPORT_HEADER,
            SERVER_ID_HEADER,
        )
    )

    workspace_headers = frozenset(
        (AUTHORIZATION_HEADER.lower(), WORKSPACE_HEADER.lower())
    )

    def request_id_of(self, request: web.Request) -> RequestId:
        """Return the caller's request id; empty when the header is missing."""
        return RequestId(request.headers.get(REQUEST_ID_HEADER, ""))

    def read_key(self, request: web.Request) -> str | None:
        """Return the key of a workspace that a request carries; None without one."""
        return read_authorization(request, KEY_SCHEME)

    def read_parameters(
        self, request: web.Request, route: RouteSettings, settings: EntrySettings
    ) -> CallerParameters:
        """Return the terms on which the caller wants its request handled.

        The platform's callers have no request classes and no idempotency keys;
        the route determines whether a request is repeatable.

        Raises
        ------
        RefusedError
            With status 400, when the request id is missing.
        """
        request_id = self.request_id_of(request)
        if not request_id:
            raise bad_request(
                f"header {REQUEST_ID_HEADER} is missing", REQUEST_ID_HEADER
            )
        return CallerParameters(
            request_id=request_id,
            deadline=_request_deadline(request, route),
            request_class=RequestClass.INTERACTIVE,
            is_repeatable=route.repeatable,
            key=None,
        )

    def refusal_response(self, refusal: Refusal, request_id: RequestId) -> web.Response:
        """Return the response for a refusal, with the reason as JSON.

        Statuses 408, 421, 429 and 503, and the header ``Retry-After``, are sent
        only if the request did not run; otherwise the status is 502. Status 422
        becomes 503 if the request did not run, else 502.
        """
        status = refusal.status
        is_not_run = refusal.outcome is Outcome.NOT_RUN
        if not is_not_run and status in (*_NOT_RUN_STATUSES, 422):
            status = 502
        elif is_not_run and status == 422:
            status = 503
        headers: dict[str, str] = {REQUEST_ID_HEADER: request_id}
        if is_not_run and refusal.retry_after_s is not None:
            headers["Retry-After"] = f"{refusal.retry_after_s:.2f}"
        body = msgspec.json.encode({"error": refusal.reason})
        return web.Response(
            status=status, body=body, content_type="application/json", headers=headers
        )

    def answer_headers(
        self, request_id: RequestId, server: BackendServerName
    ) -> dict[str, str]:
        """Return the headers that the entry adds to the answer to a caller."""
        return {REQUEST_ID_HEADER: request_id}

    def attempt_headers(self, attempt: Attempt, server: Announcement) -> dict[str, str]:
        """Return the headers that the entry adds to a request to a backend server."""
        remaining_ms = max(1, int(remaining_time_s(attempt.deadline) * _MS_PER_S))
        headers = {
            REQUEST_ID_HEADER: attempt.request_id,
            DEADLINE_MS_HEADER: str(remaining_ms),
            EXPECTED_SERVER_HEADER: server.server,
        }
        if attempt.workspace is not None:
            headers[WORKSPACE_HEADER] = attempt.workspace
        return headers

    def relay_headers(self, caller: CallerRequest) -> dict[str, str]:
        """Return the headers that differ from the caller's in a relayed request."""
        remaining_ms = max(1, int(remaining_time_s(caller.deadline) * _MS_PER_S))
        return {
            REQUEST_ID_HEADER: caller.request_id,
            DEADLINE_MS_HEADER: str(remaining_ms),
        }

    def read_head(
        self, request_id: RequestId, status: int, headers: Mapping[str, str]
    ) -> AnswerHead:
        """Return what status and headers of a backend server's answer report."""
        is_other_server = status == MISDIRECTED_STATUS
        version = read_count(headers, WEIGHT_VERSION_HEADER)
        named_request = headers.get(REQUEST_ID_HEADER)
        return AnswerHead(
            is_not_run=is_other_server or NOT_EXECUTED_HEADER in headers,
            is_other_server=is_other_server,
            is_for_request=named_request == request_id,
            is_for_other_request=named_request not in (None, "", request_id),
            in_flight=parse_in_flight(headers),
            slowness=parse_slowness(headers),
            version=WeightVersion(version) if version is not None else None,
            retry_after_s=parse_retry_after_s(headers.get("Retry-After")),
            request_limit_per_s=parse_request_limit(headers),
            is_leaving=not is_other_server and _says_it_leaves(headers),
        )

    async def probe(
        self,
        session: aiohttp.ClientSession,
        server: Announcement,
        health_path: str,
        timeout_s: float,
    ) -> ProbeAnswer | None:
        """Request the health path of a backend server.

        Returns
        -------
        ProbeAnswer or None
            None when the connection fails, when no answer comes within
            ``timeout_s`` seconds, or when the answer does not name the server
            that gave it.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"http://{server.address}{health_path}"
        try:
            async with session.get(url, timeout=timeout) as response:
                if close_answer_of_request(response):
                    return None
                return parse_probe_answer(server, response.status, response.headers)
        except _PROBE_ERRORS:
            return None

    async def check_process(
        self,
        session: aiohttp.ClientSession,
        server: Announcement,
        timeout_s: float,
    ) -> ProcessCheck:
        """Return whether the report of a backend server names the announced start.

        Plain services have no report, and older ones do not name their start.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"http://{server.address}{REPORT_PATH}"
        headers = {EXPECTED_SERVER_HEADER: server.server}
        try:
            async with session.get(url, timeout=timeout, headers=headers) as response:
                if close_answer_of_request(response):
                    return ProcessCheck.SILENT
                if response.status == MISDIRECTED_STATUS:
                    return ProcessCheck.OTHER
                if _says_it_leaves(response.headers):
                    return ProcessCheck.LEAVING
                if response.status != 200:
                    return ProcessCheck.UNKNOWN
                body = await read_body(response.content, _MAX_REPORT_BYTES)
        except _PROBE_ERRORS:
            return ProcessCheck.SILENT
        try:
            started_at_ms = _decode_start(body).born
        except msgspec.MsgspecError:
            return ProcessCheck.UNKNOWN
        if started_at_ms is None or not server.started_at_ms:
            return ProcessCheck.UNKNOWN
        is_same = started_at_ms == server.started_at_ms
        return ProcessCheck.SAME if is_same else ProcessCheck.OTHER

    def read_batch_job(
        self,
        request: web.Request,
        body: bytes,
        route: RouteSettings,
        settings: EntrySettings,
    ) -> BatchJobSpec:
        """Return the specification of a submitted batch job.

        Raises
        ------
        RefusedError
            With status 400, when the body is not a valid batch job.
        """
        name = self.request_id_of(request)
        try:
            return parse_batch_job(name, request.host, body, route, settings)
        except msgspec.MsgspecError as error:
            raise bad_request(f"batch job {name} is invalid: {error}") from error

    def batch_job_accepted(self, request_id: RequestId) -> web.Response:
        """Return the response for a batch job that is committed."""
        return web.Response(status=202, headers={REQUEST_ID_HEADER: request_id})

    def item_headers(self, item: BatchItem, spec: BatchJobSpec) -> dict[str, str]:
        """Return the headers of the request to an engine that runs an item."""
        return {**item.headers, "Host": spec.host}

    def reward_call_headers(self, call: RewardCall) -> dict[str, str]:
        """Return the headers of the request of an item's reward call."""
        return {"Host": call.host}

    def read_score(self, headers: Mapping[str, str]) -> str | None:
        """Return the proof that a backend server adds to its answer."""
        return headers.get(SERVER_PROOF_HEADER)

    def unknown_batch_job_fields(self, body: bytes) -> set[str]:
        """Return the names of fields of a valid batch job that have no effect here."""
        return unknown_fields(body)

    def resume_headers(self, after: int) -> dict[str, str]:
        """Return the headers that resume a stream after the event with this number."""
        return {LAST_EVENT_ID_HEADER: str(after)}

    def read_resumption(self, request: web.Request) -> Resumption | None:
        """Return what a caller takes up; None for a request that starts anew."""
        if LAST_EVENT_ID_HEADER not in request.headers:
            return None
        began_as = request.headers.get(RESUMES_HEADER)
        return Resumption(
            RequestId(began_as) if began_as else None,
            read_count(request.headers, LAST_EVENT_ID_HEADER),
        )

    def read_numbered_event(self, block: bytes) -> NumberedEvent:
        """Return the event in a block of a stream.

        A block is what lies between two empty lines, as in server-sent events.
        The platform adds the field ``x-weight-versions``, which holds the weight
        version from this event on.

        Raises
        ------
        ValueError
            When the block is not UTF-8, has no ``id`` field, or its ``id`` or
            version is not a count.
        """
        number: int | None = None
        version: WeightVersion | None = None
        data: list[str] = []
        for line in block.decode().split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                number = _event_count(value)
            elif name == "data":
                data.append(value)
            elif name == WEIGHT_VERSION_HEADER.lower():
                version = WeightVersion(_event_count(value))
        if number is None:
            raise ValueError("stream event has no id field")
        return NumberedEvent(number, "\n".join(data), version)


def _event_count(text: str) -> int:
    count = parse_count(text)
    if count is None:
        raise ValueError(f"{text[:_MAX_QUOTED_CHARACTERS]!r} is not a count")
    return count


def _says_it_leaves(headers: Mapping[str, str]) -> bool:
    return headers.get(SERVER_LEAVING_HEADER) == "1"


def _request_deadline(request: web.Request, route: RouteSettings) -> Deadline:
    """Return the earlier of the caller's deadline and the route's timeout."""
    requested_ms = read_count(request.headers, DEADLINE_MS_HEADER)
    if requested_ms is None:
        return deadline_in(route.timeout_s)
    return deadline_in(min(requested_ms / _MS_PER_S, route.timeout_s))
