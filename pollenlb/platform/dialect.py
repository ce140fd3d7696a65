"""The platform's protocol towards callers and backend servers."""

from __future__ import annotations

from collections.abc import Mapping

import aiohttp
import msgspec
from aiohttp import web

from ..clock import Deadline, deadline_in, remaining
from ..connection.backend_api import ProbeAnswer
from ..connection.sessions import ConnectionLostError
from ..durable.batch_job_commands import BatchItem, BatchJobSpec
from ..durable.configuration_commands import Announcement
from ..ids import BackendServerName, RequestId, WeightVersion
from ..request.attempt import Attempt
from ..request.caller_request import RequestClass
from ..request.dialect import AnswerHead, CallerTerms, NumberedEvent
from ..request.outcome import Outcome, Refusal, bad_request, parse_retry_after_s
from ..settings.cluster import RouteSettings
from ..settings.entry import EntrySettings
from .batch_jobs import read_batch_job
from .names import (
    DEADLINE_MS,
    EXPECT_SERVER,
    LAST_EVENT_ID,
    LOAD_REPORT,
    MISDIRECTED_STATUS,
    NOT_EXECUTED,
    READY_PATH,
    REQUEST_ID,
    SERVER_ID,
    WEIGHT_VERSION,
    in_flight_of,
    probe_answer,
    slowness_of,
)

_PROBE_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)
_MILLISECONDS = 1000
# These statuses tell a caller that its request has not run and never will.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class PlatformDialect:
    """Names and formats of the platform; satisfies ``request.dialect.Dialect``."""

    ready_path = READY_PATH
    private_headers = frozenset(
        each.lower()
        for each in (
            REQUEST_ID,
            DEADLINE_MS,
            EXPECT_SERVER,
            NOT_EXECUTED,
            LOAD_REPORT,
            SERVER_ID,
        )
    )

    def request_id_of(self, request: web.Request) -> RequestId:
        """Return the caller's request id."""
        return RequestId(request.headers.get(REQUEST_ID, ""))

    def read_terms(
        self, request: web.Request, route: RouteSettings, settings: EntrySettings
    ) -> CallerTerms:
        """Return what the caller asks; raises ``RefusedError``."""
        request_id = self.request_id_of(request)
        if not request_id:
            raise bad_request(f"{REQUEST_ID} is missing", REQUEST_ID)
        return CallerTerms(
            request_id=request_id,
            deadline=_deadline(request, route),
            request_class=RequestClass.INTERACTIVE,
            is_repeatable=route.repeatable,
            key=None,
        )

    def refusal_response(self, refusal: Refusal, request_id: RequestId) -> web.Response:
        """Return the response for a refusal."""
        status = refusal.status
        is_not_run = refusal.outcome is Outcome.NOT_RUN
        if not is_not_run and status in (*_NOT_RUN_STATUSES, 422):
            status = 502
        elif is_not_run and status == 422:
            status = 503
        headers: dict[str, str] = {REQUEST_ID: request_id}
        if is_not_run and refusal.retry_after_s is not None:
            headers["Retry-After"] = f"{refusal.retry_after_s:.2f}"
        body = msgspec.json.encode({"error": refusal.reason})
        return web.Response(
            status=status, body=body, content_type="application/json", headers=headers
        )

    def answer_headers(
        self, request_id: RequestId, server: BackendServerName
    ) -> dict[str, str]:
        """Return the headers that the entry adds to an answer."""
        return {REQUEST_ID: request_id}

    def attempt_headers(self, attempt: Attempt, server: Announcement) -> dict[str, str]:
        """Return the headers that the entry adds to a request."""
        left_ms = max(1, int(remaining(attempt.deadline) * _MILLISECONDS))
        return {
            REQUEST_ID: attempt.request_id,
            DEADLINE_MS: str(left_ms),
            EXPECT_SERVER: server.server,
        }

    def read_head(
        self, request_id: RequestId, status: int, headers: Mapping[str, str]
    ) -> AnswerHead:
        """Return what the head of an answer tells."""
        is_other_server = status == MISDIRECTED_STATUS
        version = headers.get(WEIGHT_VERSION, "")
        return AnswerHead(
            is_not_run=is_other_server or NOT_EXECUTED in headers,
            is_other_server=is_other_server,
            is_for_request=headers.get(REQUEST_ID) == request_id,
            in_flight=in_flight_of(headers),
            slowness=slowness_of(headers),
            version=WeightVersion(int(version)) if version.isdigit() else None,
            retry_after_s=parse_retry_after_s(headers.get("Retry-After")),
        )

    async def probe(
        self,
        session: aiohttp.ClientSession,
        server: Announcement,
        health_path: str,
        timeout_s: float,
    ) -> ProbeAnswer | None:
        """Ask a backend server how it is; None without an answer."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"http://{server.address}{health_path}"
        try:
            async with session.get(url, timeout=timeout) as response:
                return probe_answer(server, response.status, response.headers)
        except _PROBE_ERRORS:
            return None

    def read_batch_job(
        self,
        request: web.Request,
        body: bytes,
        route: RouteSettings,
        settings: EntrySettings,
    ) -> BatchJobSpec:
        """Return the batch job that a body holds; raises ``RefusedError``."""
        name = self.request_id_of(request)
        try:
            return read_batch_job(name, request.host, body, route, settings)
        except msgspec.MsgspecError as error:
            raise bad_request(f"the batch job cannot be read: {error}") from error

    def batch_job_accepted(self, spec: BatchJobSpec) -> web.Response:
        """Return the response for a batch job that is kept."""
        return web.Response(status=202, headers={REQUEST_ID: spec.batch_job})

    def item_headers(self, item: BatchItem, spec: BatchJobSpec) -> dict[str, str]:
        """Return the headers of a request that runs an item."""
        return {**item.headers, "Host": spec.host}

    def resume_headers(self, after: int) -> dict[str, str]:
        """Return the headers that ask for the events after a number."""
        return {LAST_EVENT_ID: str(after)}

    def read_numbered_event(self, block: bytes) -> NumberedEvent:
        """Return the event that a block of a stream holds; raises ValueError."""
        number: int | None = None
        version: WeightVersion | None = None
        data: list[str] = []
        for line in block.decode().split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                number = int(value)
            elif name == "data":
                data.append(value)
            elif name == WEIGHT_VERSION.lower():
                version = WeightVersion(int(value))
        if number is None:
            raise ValueError("an event has no number")
        return NumberedEvent(number, "\n".join(data), version)


def _deadline(request: web.Request, route: RouteSettings) -> Deadline:
    """Return the sooner of the caller's deadline and the route's timeout."""
    text = request.headers.get(DEADLINE_MS, "")
    asked_s = int(text) / _MILLISECONDS if text.isdigit() else route.timeout_s
    return deadline_in(min(asked_s, route.timeout_s))
