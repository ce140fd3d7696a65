"""Streams of numbered events, resumed at another backend server after a failure."""

from __future__ import annotations

import asyncio

from aiohttp import web
from result import Err

from ..clock import Deadline, deadline_in, now, remaining_time_s
from ..connection.backend import BackendServer
from ..connection.bodies import read_body
from ..connection.stream_origins import Knowledge, StreamOrigin
from ..ids import InWorkspace, RequestId, SoftwareVersion, WorkspaceName
from ..process.context import EntryContext
from .attempt import (
    SEND_ERRORS,
    Answer,
    Attempt,
    AttemptFailure,
    error_detail,
    error_kind,
    send_attempt,
)
from .broken_answer import break_off
from .caller_request import CallerRequest
from .dialect import Resumption
from .event_blocks import (
    MAX_OUTPUT_BYTES,
    EventOrder,
    check_event_stream,
    iter_event_blocks,
)
from .outcome import Outcome, RefusedError, unavailable
from .passthrough import answer_headers, request_headers
from .process_check import check_process
from .relay import RequestRelay
from .retries import Retries, RetryPolicy
from .turns import queue_request

_EVENT_END = b"\n\n"


class EventStream:
    """Answer to one caller, forwarded from one or several backend servers in turn.

    Parameters
    ----------
    caller : CallerRequest
        The request.
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, caller: CallerRequest, context: EntryContext) -> None:
        self._caller = caller
        self._context = context
        self._answer: Answer | None = None
        self._response: web.StreamResponse | None = None
        self._last_event_number: int | None = None
        self._order = EventOrder()
        self._software: SoftwareVersion | None = None
        self._usage = context.usage.start_request(caller.workspace)
        self._retries = Retries(
            context,
            caller.service_name,
            caller.request_id,
            caller.fingerprint,
            RetryPolicy(
                caller.deadline,
                caller.request_class,
                caller.is_repeatable,
                retry_share=caller.route.retry_share,
                max_attempts=caller.max_attempts,
                may_reuse_failed_servers=caller.route.resumable,
                queued=queue_request(caller, context),
            ),
        )

    async def answer(self) -> web.StreamResponse:
        """Forward events as they arrive, up to the last one.

        If the stream cannot be completed after its head was sent, the caller's
        connection is closed.

        Raises
        ------
        RefusedError
            When the request fails before the head of the answer was sent, or takes
            up a stream that a software version began which is not known.
        """
        relay = RequestRelay(self._caller, self._context)
        relayed = await relay.answer_at_start()
        if relayed is not None:
            return relayed
        resumption = self._context.dialect.read_resumption(self._caller.http_request)
        if resumption is not None:
            self._last_event_number = resumption.last_event
            self._continue_at(await self._find_origin(resumption))
        while True:
            try:
                server = await self._retries.next_server()
                started_at = now()
                failure = await self._run_attempt(server)
                if failure is None:
                    assert self._response is not None and self._answer is not None
                    await self._retries.record_success(
                        server, self._answer.ends_with_connection
                    )
                    return self._response
                refused: RefusedError | None = None
                try:
                    await self._retries.handle_failure(server, failure)
                except RefusedError as error:
                    refused = error
                if self._response is None:
                    relayed = await relay.answer_after(
                        failure, self._retries, started_at, refused
                    )
                    if relayed is not None:
                        return relayed
                if refused is not None:
                    raise refused
            except asyncio.CancelledError:
                if self._response is not None:
                    break_off(self._caller.http_request)
                await self._retries.record_abandonment()
                raise
            except RefusedError as error:
                if self._response is None:
                    raise
                return self._abort(error)

    async def _find_origin(self, resumption: Resumption) -> SoftwareVersion:
        """Return the software version that began the stream that is taken up."""
        origin = StreamOrigin(Knowledge.UNKNOWN)
        if resumption.began_as is not None:
            origin = await self._context.stream_origins.find(
                self._in_workspace(resumption.began_as),
                self._caller.deadline,
            )
        self._context.events.record(
            "stream.taken_up",
            request=self._caller.request_id,
            began_as=resumption.began_as,
            software=origin.software,
            knowledge=origin.knowledge.value,
        )
        if origin.software is not None:
            return origin.software
        if origin.knowledge is Knowledge.UNANSWERED:
            raise unavailable(
                "the software version that began the stream is not known yet, since "
                "too few control instances have answered"
            )
        raise unavailable(
            "the software version that began the stream is not known, so that it "
            "cannot be continued"
        )

    def _continue_at(self, software: SoftwareVersion) -> None:
        self._software = software
        self._retries.require_software(software)

    async def _run_attempt(self, server: BackendServer) -> AttemptFailure | None:
        # Counted from here on, so that streams that begin meanwhile go elsewhere.
        with server.load.track_request(is_long=True):
            if self._caller.route.resumable:
                # The origin of the stream is recorded for those who continue it.
                failure = await check_process(server, True, self._context)
                if failure is not None:
                    return failure
            return await self._send(server)

    async def _send(self, server: BackendServer) -> AttemptFailure | None:
        caller, context = self._caller, self._context
        headers = request_headers(caller, context.dialect)
        if self._last_event_number is not None:
            headers.update(context.dialect.resume_headers(self._last_event_number))
        attempt = Attempt(
            request_id=caller.request_id,
            method=caller.http_request.method,
            target=caller.target,
            headers=headers,
            body=caller.body.stream() or None,
            deadline=caller.deadline,
            workspace=caller.workspace,
            usage=self._usage,
        )
        started_at = now()
        sent = await send_attempt(
            attempt,
            server,
            self._retries.session,
            context.settings,
            context.dialect,
            self._head_deadline(),
        )
        if isinstance(sent, Err):
            return sent.err_value
        answer = self._answer = sent.ok_value
        self._record_start(server)
        progress_timeout_s = self._progress_timeout_s()
        try:
            await self._forward(answer, progress_timeout_s)
        except (*SEND_ERRORS, ValueError) as error:
            is_timeout = isinstance(error, TimeoutError)
            reason = (
                f"stream from {server.name} (progress timeout "
                f"{progress_timeout_s:.3g} s) failed: "
                f"{error_kind(error)}"
            )
            return AttemptFailure(
                Outcome.UNKNOWN,
                reason,
                error_detail(error),
                is_connection_lost=not is_timeout,
                is_timeout=is_timeout,
            )
        finally:
            answer.response.close()
        server.record_answer(now() - started_at)
        return None

    def _record_start(self, server: BackendServer) -> None:
        self._context.events.record(
            "stream.started",
            request=self._caller.request_id,
            server=server.name,
            software=server.software,
            after_event=self._last_event_number,
        )

    def _head_deadline(self) -> Deadline:
        # A stream that cannot be resumed waits for its head up to the deadline; a
        # resumable one abandons a server that makes no progress.
        if not self._caller.route.resumable:
            return self._caller.deadline
        progress_s = self._context.settings.progress_timeout_s
        return Deadline(min(self._caller.deadline, deadline_in(progress_s)))

    def _progress_timeout_s(self) -> float:
        """Return the longest time without an event, in seconds.

        A stream that cannot be resumed has nothing to gain from an early end.
        """
        left_s = remaining_time_s(self._caller.deadline)
        if not self._caller.route.resumable:
            return left_s
        return min(left_s, self._context.settings.progress_timeout_s)

    async def _forward(self, answer: Answer, progress_timeout_s: float) -> None:
        if answer.response.status != 200:
            await self._forward_error(answer)
            return
        check_event_stream(answer.response)
        response = await self._start_response(answer)
        content = answer.response.content
        order = self._order
        order.begin_run(self._last_event_number)
        async for block in iter_event_blocks(content, progress_timeout_s):
            event = self._context.dialect.read_numbered_event(block)
            order.check_next(event.number)
            if self._software is None:
                await self._record_origin(answer.server)
            await response.write(block + _EVENT_END)
            self._last_event_number = event.number
            if not remaining_time_s(self._caller.deadline):
                raise TimeoutError("the deadline passed before the end of the stream")
        order.check_end()
        await response.write_eof()

    async def _record_origin(self, server: BackendServer) -> None:
        """Record which software version begins the stream, before its first event."""
        self._continue_at(server.software)
        if self._caller.route.resumable and self._context.knows_software_versions:
            await self._context.stream_origins.record(
                self._in_workspace(self._caller.request_id), server.software
            )

    def _in_workspace(self, request: RequestId) -> InWorkspace[RequestId]:
        """Return the key of a stream; streams of former releases have none."""
        workspace = self._caller.workspace
        if workspace is None and self._caller.hides_credentials:
            workspace = WorkspaceName("")
        return InWorkspace(workspace, request)

    async def _forward_error(self, answer: Answer) -> None:
        """Forward an answer other than a stream, once it is complete."""
        if self._response is not None:
            raise ValueError(
                f"the resumed stream was answered with HTTP status "
                f"{answer.response.status}"
            )
        async with asyncio.timeout(remaining_time_s(self._caller.deadline)):
            body = await read_body(answer.response.content, MAX_OUTPUT_BYTES)
        response = await self._start_response(answer)
        await response.write(body)
        await response.write_eof()

    async def _start_response(self, answer: Answer) -> web.StreamResponse:
        if self._response is not None:
            return self._response
        response = web.StreamResponse(status=answer.response.status)
        response.headers.clear()
        dialect = self._context.dialect
        for name, value in answer_headers(answer.response, dialect):
            if name.lower() != "content-length":
                response.headers.add(name, value)
        server = answer.server.name
        response.headers.update(dialect.answer_headers(self._caller.request_id, server))
        await response.prepare(self._caller.http_request)
        self._response = response
        return response

    def _abort(self, error: RefusedError) -> web.StreamResponse:
        """Close the connection, so that the caller sees the stream is incomplete."""
        assert self._response is not None
        self._context.events.record(
            "answer.cut",
            request=self._caller.request_id,
            events=self._last_event_number,
            reason=error.refusal.reason,
        )
        break_off(self._caller.http_request)
        return self._response
