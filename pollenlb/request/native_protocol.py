"""The native protocol of entry processes: its dialect, items and HTTP handlers."""

from __future__ import annotations

from aiohttp import web

from ..process.context import EntryContext
from ..process.entry import EntryProtocol
from .announce_api import AnnounceApi
from .native_dialect import NativeDialect
from .operator_api import OperatorApi
from .sample import SampleItemRunner
from .trainer_api import TrainerApi


def native_protocol() -> EntryProtocol:
    """Return the protocol of an entry process that has no adapter."""
    return EntryProtocol(NativeDialect(), SampleItemRunner(), _add_routes)


def _add_routes(router: web.UrlDispatcher, context: EntryContext) -> None:
    AnnounceApi(context).add_routes(router)
    TrainerApi(context).add_routes(router)
    OperatorApi(context).add_routes(router)
