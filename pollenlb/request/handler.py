"""Handling of a caller's request in the entry process, from parsing to the answer."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from ..clock import Deadline, deadline_in, now
from ..connection.backend_api import (
    ATTEMPTS_LEFT_HEADER,
    RELAY_REFUSED_HEADER,
    REVISION_HEADER,
)
from ..connection.engine_api import COMPLETIONS_PATH
from ..external_data import read_count
from ..ids import RequestId, ServiceName
from ..process.context import EntryContext
from ..settings.cluster import RouteSettings
from .at_most_once import run_at_most_once
from .batch_job import submit_batch_job
from .caller_request import CallerRequest, RequestBody, RequestClass, path_of
from .completion import answer_completion
from .outcome import (
    Outcome,
    Refusal,
    RefusedError,
    bad_request,
    unavailable,
)
from .passthrough import pass_through
from .stream import EventStream
from .workspace_access import identify_workspace, scope_key

# A leader election among the control instances takes about this long; the caller
# may retry after it.
_CONTROL_RETRY_AFTER_S = 0.4
# New connections reach other entries while this one stops.
_STOPPING_RETRY_AFTER_S = 0.05
# A backend server ends its work at its deadline; its answer takes a moment.
_STOPPING_MARGIN_S = 0.4
# Expected duration of requests of which not enough have ended yet.
_UNKNOWN_DURATION_S = 1.0


class RequestHandler:
    """Routes callers' requests to the handler of their kind, and records their ends.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    is_relayed : bool
        Whether the requests are those that other entries relay.
    """

    def __init__(self, context: EntryContext, is_relayed: bool = False) -> None:
        self._context = context
        self._is_relayed = is_relayed

    @property
    def _last_end(self) -> Deadline:
        """When requests have to end, so that they are answered before a stop."""
        return Deadline(self._context.drain_deadline - _STOPPING_MARGIN_S)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request of a caller.

        Refusals and unexpected errors become responses; a disconnected caller
        (``asyncio.CancelledError``, ``ConnectionError``) and ``HTTPException``
        are passed on to aiohttp.
        """
        received_at = now()
        request_id = self._context.dialect.request_id_of(request)
        service = ServiceName("none")
        request_class = "none"
        outcome = Outcome.RAN
        metrics = self._context.metrics
        metrics.in_flight.inc()
        reason = ""
        status = 0
        caller: CallerRequest | None = None
        try:
            caller = await self._read_request(request, received_at)
            service = caller.service_name
            request_class = caller.request_class.value
            response = await self._dispatch(caller)
            status = response.status
            self._context.recent_durations(service, caller.request_class).add(
                now() - received_at
            )
            return response
        except RefusedError as error:
            outcome = error.refusal.outcome
            status = error.refusal.status
            reason = error.refusal.reason
            if self._is_relayed:
                return self._refuse_relayed(request, error.refusal, request_id)
            return self._context.dialect.refusal_response(error.refusal, request_id)
        except asyncio.CancelledError:
            outcome = Outcome.UNKNOWN
            reason = "the caller disconnected"
            if self._context.is_draining:
                reason += " or the instance stopped"
            raise
        except web.HTTPException:
            raise
        except ConnectionError:
            outcome = Outcome.UNKNOWN
            raise
        except Exception as error:
            self._context.events.record(
                "request.error", request=request_id, reason=repr(error)
            )
            outcome = Outcome.UNKNOWN
            reason = "internal error of the entry; whether the request ran is not known"
            refusal = Refusal(500, outcome, reason)
            return self._context.dialect.refusal_response(refusal, request_id)
        finally:
            self._context.events.record(
                "request.ended",
                request=request_id,
                service=service,
                status=status,
                outcome=outcome.value,
                reason=reason,
                revision=self._context.configuration.revision,
                ms=round(1000 * (now() - received_at), 1),
            )
            metrics.in_flight.dec()
            if caller is not None and caller.hides_credentials:
                metrics.record_workspace_request(caller.workspace, outcome.value)
            metrics.requests.labels(service, request_class, outcome.value).inc()
            metrics.record_latency(f"{service}/{request_class}", now() - received_at)

    async def _read_request(
        self, request: web.Request, received_at: float
    ) -> CallerRequest:
        context = self._context
        self._check_may_take_work()
        if self._is_relayed:
            self._check_same_configuration(request)
        cluster = context.configuration.settings
        path = path_of(request)
        route = cluster.route_for(request.host, path, request.method)
        if route is None:
            raise bad_request(f"no route matches {request.method} {path}", "path", 404)
        workspace = identify_workspace(request, route.public, context)
        limits = context.settings
        body = RequestBody(request, limits.replay_body_bytes, limits.max_body_bytes)
        self._check_content_length(request)
        terms = context.dialect.read_parameters(request, route, limits)
        service = self._choose_service(route)
        self._check_can_end(service, terms.request_class)
        caller = CallerRequest(
            request_id=terms.request_id,
            route=route,
            service_name=service,
            service=cluster.services[service],
            request_class=terms.request_class,
            deadline=Deadline(min(terms.deadline, self._last_end)),
            is_repeatable=terms.is_repeatable,
            key=scope_key(terms.key, workspace, context),
            http_request=request,
            body=body,
            received_at=received_at,
            workspace=workspace,
            priority=cluster.priority_of(route, workspace),
            hides_credentials=cluster.requires_keys,
            is_relayed=self._is_relayed,
            attempts_left=self._attempts_left(request),
        )
        await body.read_replayable_start()
        return caller

    def _attempts_left(self, request: web.Request) -> int | None:
        if not self._is_relayed:
            return None
        return read_count(request.headers, ATTEMPTS_LEFT_HEADER)

    def _refuse_relayed(
        self, request: web.Request, refusal: Refusal, request_id: RequestId
    ) -> web.Response:
        """Return a refusal that tells whether another entry may do better."""
        context = self._context
        is_own = (
            context.reachability.has_failures
            or context.is_draining
            or not context.accepts_requests
            or not self._has_configuration_of(request)
        )
        is_refused_here = is_own and refusal.outcome is Outcome.NOT_RUN
        if self._attempts_left(request) is not None:
            # An attempt of the entry that relays the request may have run.
            refusal = msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)
        response = context.dialect.refusal_response(refusal, request_id)
        if is_refused_here:
            response.headers[RELAY_REFUSED_HEADER] = "yes"
        return response

    def _choose_service(self, route: RouteSettings) -> ServiceName:
        names, weights = zip(*route.service_weights.items())
        return ServiceName(self._context.rng.choices(names, weights)[0])

    def _check_may_take_work(self) -> None:
        if not self._context.accepts_requests:
            reason = "no valid lease or configuration from the control instances"
            raise unavailable(reason, _CONTROL_RETRY_AFTER_S)
        if self._is_relayed and self._context.reachability.is_stranded:
            raise unavailable("this instance reaches no backend server, either")

    def _check_same_configuration(self, request: web.Request) -> None:
        """Refuse a relayed request that its own entry handles in another way.

        The caller would see the effects of two revisions in turn.
        """
        if not self._has_configuration_of(request):
            raise unavailable("this instance has another configuration")

    def _has_configuration_of(self, request: web.Request) -> bool:
        revision = read_count(request.headers, REVISION_HEADER)
        return revision == self._context.configuration.revision

    def _check_can_end(self, service: ServiceName, request_class: RequestClass) -> None:
        """Refuse a request that is not expected to end before a planned stop."""
        recent = self._context.recent_durations(service, request_class)
        expected_s = recent.quantile_s
        if expected_s is None:
            expected_s = _UNKNOWN_DURATION_S
        if deadline_in(expected_s) > self._last_end:
            reason = "the instance is about to stop; another one can serve the request"
            raise unavailable(reason, _STOPPING_RETRY_AFTER_S)

    def _check_content_length(self, request: web.Request) -> None:
        max_bytes = self._context.settings.max_body_bytes
        if request.content_length is not None and request.content_length > max_bytes:
            raise bad_request(
                f"the request body is larger than {max_bytes} bytes", "body", 413
            )

    async def _dispatch(self, caller: CallerRequest) -> web.StreamResponse:
        if caller.route.batch_jobs:
            return await submit_batch_job(caller, self._context)
        if caller.route.streaming:
            return await EventStream(caller, self._context).answer()
        is_completion = caller.http_request.path.endswith(COMPLETIONS_PATH)
        if caller.service.kind == "engine" and is_completion:
            return await answer_completion(caller, self._context)
        if caller.key is not None and not caller.is_repeatable:
            # Shielded so that the key is settled even if the caller disconnects.
            return await asyncio.shield(run_at_most_once(caller, self._context))
        return await pass_through(caller, self._context)
