"""What the platform's trainers ask of an entry beside handing in batch jobs."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from ..ids import BatchJobId, ItemId, RequestId
from ..process.context import EntryContext
from ..process.entry import EntryProtocol
from ..request.batch_job import end_batch_job, read_batch_job, read_item
from ..request.item import RequestItemRunner
from ..request.outcome import RefusedError, bad_request
from .batch_jobs import batch_job_page
from .dialect import PlatformDialect
from .names import BATCH_JOB_PATH, ITEM_PATH, REQUEST_ID, WAIT_MS

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_MOST_WAIT_S = 1.0
_MILLISECONDS = 1000


class BatchJobApi:
    """HTTP handlers of batch jobs.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the handlers to a server's router."""
        router.add_get(BATCH_JOB_PATH, self._refusing(self.read))
        router.add_delete(BATCH_JOB_PATH, self._refusing(self.end))
        router.add_get(ITEM_PATH, self._refusing(self.read_item))

    async def read(self, request: web.Request) -> web.Response:
        """Return results from a position on."""
        text = request.query.get("after", "0")
        if not text.isdigit():
            raise bad_request("after must be a position", "after")
        after = int(text)
        wait_ms = request.headers.get(WAIT_MS, "0")
        wait_s = int(wait_ms) / _MILLISECONDS if wait_ms.isdigit() else 0.0
        name = BatchJobId(request.match_info["batch_job"])
        wait_s = min(wait_s, _MOST_WAIT_S)
        found = await read_batch_job(name, after, wait_s, self._context)
        body = batch_job_page(found, after)
        return web.Response(body=body, content_type="application/json")

    async def read_item(self, request: web.Request) -> web.Response:
        """Return the body of an item."""
        name = BatchJobId(request.match_info["batch_job"])
        item = ItemId(request.query.get("id", ""))
        body = await read_item(name, item, self._context)
        return web.Response(body=body, content_type="application/octet-stream")

    async def end(self, request: web.Request) -> web.Response:
        """End a batch job."""
        name = BatchJobId(request.match_info["batch_job"])
        await end_batch_job(name, self._context)
        return web.Response()

    def _refusing(self, handler: Handler) -> Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            try:
                return await handler(request)
            except RefusedError as error:
                request_id = RequestId(request.headers.get(REQUEST_ID, ""))
                return self._context.dialect.refusal_response(error.refusal, request_id)

        return handle


def platform_protocol() -> EntryProtocol:
    """Return what an entry speaks on the platform."""
    return EntryProtocol(PlatformDialect(), RequestItemRunner(), _add_routes)


def _add_routes(router: web.UrlDispatcher, context: EntryContext) -> None:
    BatchJobApi(context).add_routes(router)
