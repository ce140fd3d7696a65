"""HTTP calls with which the platform's trainers read and end batch jobs.

Batch jobs (the platform's lots) are submitted like callers' requests, on routes
that take batch jobs.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from ..external_data import parse_count, read_count
from ..ids import BatchJobId, ItemId, RequestId
from ..process.context import EntryContext
from ..process.entry import EntryProtocol
from ..request.batch_job import end_batch_job, read_batch_job, read_item
from ..request.item import RequestItemRunner
from ..request.outcome import RefusedError, bad_request, unavailable
from ..request.workspace_access import identify_workspace, scope_batch_job
from .batch_jobs import encode_results_page
from .dialect import PlatformDialect
from .names import BATCH_JOB_PATH, ITEM_PATH, REQUEST_ID_HEADER, WAIT_MS_HEADER

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_MAX_WAIT_S = 1.0
_MS_PER_S = 1000


class BatchJobApi:
    """HTTP handlers that read and end batch jobs.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the handlers to a server's router."""
        router.add_get(BATCH_JOB_PATH, self._respond_to_refusals(self.read_results))
        router.add_delete(BATCH_JOB_PATH, self._respond_to_refusals(self.end_batch_job))
        router.add_get(ITEM_PATH, self._respond_to_refusals(self.read_item))

    async def read_results(self, request: web.Request) -> web.Response:
        """Return the results of a batch job from position ``after`` on, as JSON.

        The header ``X-Wait-Ms`` asks the entry to wait for new results, at most
        for a second.

        Raises
        ------
        RefusedError
            When ``after`` is no position, when there is no such batch job, or
            when the leader of the control instances cannot be reached.
        """
        after = parse_count(request.query.get("after", "0"))
        if after is None:
            raise bad_request(
                "query parameter after must be a position (0, 1, ...)", "after"
            )
        wait_s = (read_count(request.headers, WAIT_MS_HEADER) or 0) / _MS_PER_S
        name = self._batch_job_of(request)
        wait_s = min(wait_s, _MAX_WAIT_S)
        results = await read_batch_job(name, after, wait_s, self._context)
        body = encode_results_page(results, after)
        return web.Response(body=body, content_type="application/json")

    async def read_item(self, request: web.Request) -> web.Response:
        """Return the request body of an item.

        Raises
        ------
        RefusedError
            When there is no such item, or when the leader of the control
            instances cannot be reached.
        """
        name = self._batch_job_of(request)
        item = ItemId(request.query.get("id", ""))
        body = await read_item(name, item, self._context)
        return web.Response(body=body, content_type="application/octet-stream")

    async def end_batch_job(self, request: web.Request) -> web.Response:
        """End a batch job, so that its items are no longer run.

        Raises
        ------
        RefusedError
            When there is no such batch job, or when the control instances did not
            confirm the end in time.
        """
        name = self._batch_job_of(request)
        await end_batch_job(name, self._context)
        return web.Response()

    def _batch_job_of(self, request: web.Request) -> BatchJobId:
        """Return the batch job that a request names, of the workspace of its key.

        Raises
        ------
        RefusedError
            When the key is unknown, or missing and no batch job needs none.
        """
        context = self._context
        if not context.configuration.is_received:
            raise unavailable("no configuration from the control instances yet")
        routes = context.configuration.settings.routes.values()
        is_public = any(route.batch_jobs and route.public for route in routes)
        workspace = identify_workspace(request, is_public, context)
        name = BatchJobId(request.match_info["batch_job"])
        return scope_batch_job(name, workspace, context)

    def _respond_to_refusals(self, handler: Handler) -> Handler:
        """Return a handler that turns a ``RefusedError`` into its response."""

        async def handle(request: web.Request) -> web.StreamResponse:
            try:
                return await handler(request)
            except RefusedError as error:
                request_id = RequestId(request.headers.get(REQUEST_ID_HEADER, ""))
                return self._context.dialect.refusal_response(error.refusal, request_id)

        return handle


def platform_protocol() -> EntryProtocol:
    """Return the protocol of an entry on the platform."""
    return EntryProtocol(PlatformDialect(), RequestItemRunner(), _add_routes)


def _add_routes(router: web.UrlDispatcher, context: EntryContext) -> None:
    BatchJobApi(context).add_routes(router)
