"""Requests that an entry sends through another one, as it reaches no server."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web
from result import Err, Ok, Result

from ..clock import now, remaining_time_s
from ..connection.backend_api import (
    ATTEMPTS_LEFT_HEADER,
    RELAY_REFUSED_HEADER,
    REVISION_HEADER,
)
from ..connection.sessions import SendTracker
from ..durable.leases import EntryInfo
from ..process.context import EntryContext
from ..scheduling.relay_choice import choose_peers
from .attempt import (
    AUTOMATIC_HEADERS,
    SEND_ERRORS,
    AttemptFailure,
    classify_send_error,
    client_timeout,
    release_short_answer,
    request_url,
)
from .broken_answer import break_off
from .caller_request import CallerRequest
from .forwarding import HOP_BY_HOP, INNER_HEADERS, copy_body, forwarded_headers
from .outcome import Outcome, Refusal, RefusedError, unavailable
from .retries import Retries

_MAX_PEERS = 3
# Time for which a peer that could not take a request comes last.
_PEER_FAILURE_KEPT_S = 2.0


class RequestRelay:
    """Sends one request through another entry, at most once.

    A request that another entry relayed is never relayed again.

    Parameters
    ----------
    caller : CallerRequest
        The request; no answer to it was begun.
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, caller: CallerRequest, context: EntryContext) -> None:
        self._caller = caller
        self._context = context
        self._may_relay = not caller.is_relayed

    @property
    def has_peers(self) -> bool:
        """Whether the request may still be relayed, and there is a peer for it."""
        return self._may_relay and bool(self._peers())

    async def answer_at_start(self) -> web.StreamResponse | None:
        """Answer through a peer if this entry reaches no backend server.

        Returns
        -------
        StreamResponse or None
            None if it does, or if no peer takes the request.

        Raises
        ------
        RefusedError
            When a peer may have run the request but its answer was lost.
        """
        if not self._may_relay or not self._context.reachability.is_stranded:
            return None
        return await self._forward(None)

    async def answer_after(
        self,
        failure: AttemptFailure,
        retries: Retries,
        started_at: float,
        refused: RefusedError | None,
    ) -> web.StreamResponse | None:
        """Answer through a peer after a failed attempt, if the network may be cut.

        It may be if the connection failed, and this entry could otherwise only refuse
        the request, which certainly did not run. A request that may go on here, or may
        have run, is relayed only if this entry is taken to reach no backend server and
        has heard of none since the attempt began.

        Parameters
        ----------
        failure : AttemptFailure
            Failure of the attempt; it was handled by ``retries``.
        retries : Retries
            Attempts of the request.
        started_at : float
            Monotonic time in seconds at which the attempt began.
        refused : RefusedError or None
            The refusal without a peer; None if a further attempt here may follow.

        Returns
        -------
        StreamResponse or None
            None if the request is not relayed, or if no peer takes it.

        Raises
        ------
        RefusedError
            When a peer may have run the request but its answer was lost.
        """
        reachability = self._context.reachability
        is_cut = failure.is_connection_lost or failure.is_timeout
        if not self._may_relay or not is_cut or not retries.is_failure_settled:
            return None
        if not remaining_time_s(self._caller.deadline):
            return None
        if not self._caller.body.is_replayable:
            return None
        if refused is not None and not retries.may_have_run:
            return await self._forward(None)
        if reachability.contact_at >= started_at or not reachability.is_stranded:
            return None
        if not retries.may_have_run:
            return await self._forward(None)
        if retries.relayed_attempts < 1:
            return None
        return await self._forward(retries.relayed_attempts)

    async def _forward(self, attempts_left: int | None) -> web.StreamResponse | None:
        """Return the answer of the first peer that takes the request; None without.

        Parameters
        ----------
        attempts_left : int or None
            Attempts left of a request that may have run; None if it certainly did not.

        Raises
        ------
        RefusedError
            When the request may have run.
        """
        self._may_relay = False
        caller = self._caller
        for peer in self._peers():
            if not remaining_time_s(caller.deadline):
                break
            sent = await self._send(peer, attempts_left)
            if isinstance(sent, Ok):
                response = sent.ok_value
                if RELAY_REFUSED_HEADER not in response.headers:
                    return await self._stream_answer(peer, response)
                self._record(peer, "refused", f"status {response.status}")
                self._context.peer_failures[peer.boot] = now()
                await release_short_answer(response)
                if not caller.body.is_replayable:
                    reason = "neither this instance nor another can take the request"
                    if attempts_left is None:
                        raise unavailable(reason)
                    raise RefusedError(Refusal(502, Outcome.UNKNOWN, reason, 1))
                continue
            failure = sent.err_value
            self._context.peer_failures[peer.boot] = now()
            is_not_run = failure.outcome is Outcome.NOT_RUN
            self._record(peer, "unreached" if is_not_run else "lost", failure.reason)
            if is_not_run:
                continue
            # How many of its attempts the peer has used is not known.
            status = 504 if failure.is_timeout else 502
            raise RefusedError(Refusal(status, Outcome.UNKNOWN, failure.reason, 1))
        return None

    def _peers(self) -> list[EntryInfo]:
        context = self._context
        failed_since = now() - _PEER_FAILURE_KEPT_S
        for boot, failed_at in list(context.peer_failures.items()):
            if failed_at < failed_since:
                del context.peer_failures[boot]
        peers = choose_peers(
            context.live_entries.all,
            context.identity.boot,
            context.live_entries.stranded,
            set(context.peer_failures),
            context.rng,
        )
        return peers[:_MAX_PEERS]

    async def _send(
        self, peer: EntryInfo, attempts_left: int | None
    ) -> Result[aiohttp.ClientResponse, AttemptFailure]:
        caller, context = self._caller, self._context
        headers = forwarded_headers(caller, HOP_BY_HOP | INNER_HEADERS)
        headers.update(context.dialect.relay_headers(caller))
        headers[REVISION_HEADER] = str(context.configuration.revision)
        if attempts_left is not None:
            headers[ATTEMPTS_LEFT_HEADER] = str(attempts_left)
        session = context.session
        if not caller.is_repeatable:
            session = context.single_use_session
        tracker = SendTracker(caller.service_name)
        head_s = remaining_time_s(caller.deadline)
        try:
            async with asyncio.timeout(head_s):
                response = await session.request(
                    caller.http_request.method,
                    request_url(peer.relay, caller.target),
                    headers=headers,
                    data=caller.body.stream() or None,
                    allow_redirects=False,
                    timeout=client_timeout(caller.deadline, context.settings),
                    skip_auto_headers=AUTOMATIC_HEADERS,
                    trace_request_ctx=tracker,
                )
        except SEND_ERRORS as error:
            operation = f"request through {peer.instance} (timeout {head_s:.3f} s)"
            return Err(classify_send_error(error, tracker, operation))
        return Ok(response)

    async def _stream_answer(
        self, peer: EntryInfo, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Forward a peer's answer as it arrives; break off if it does."""
        caller = self._caller
        response = web.StreamResponse(status=answer.status)
        response.headers.clear()
        for name, value in answer.headers.items():
            if name.lower() not in HOP_BY_HOP:
                response.headers.add(name, value)
        try:
            await response.prepare(caller.http_request)
            await copy_body(answer, response, caller.deadline)
            await response.write_eof()
        except SEND_ERRORS as error:
            self._record(peer, "cut", str(error) or type(error).__name__)
            break_off(caller.http_request)
        except BaseException:
            break_off(caller.http_request)
            raise
        else:
            self._record(peer, "answered", f"status {answer.status}")
        finally:
            if answer.content.at_eof():
                answer.release()
            else:
                answer.close()
        return response

    def _record(self, peer: EntryInfo, result: str, reason: str) -> None:
        self._context.metrics.relayed.labels(result).inc()
        self._context.events.record(
            "request.relayed",
            request=self._caller.request_id,
            peer=peer.instance,
            result=result,
            reason=reason,
        )
