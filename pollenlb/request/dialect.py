"""What differs between the protocols that an entry can speak.

The product has a protocol of its own; an adapter brings another one. Names
and formats stand behind this interface, decisions on either side of it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import aiohttp
import msgspec
from aiohttp import web

from ..clock import Deadline
from ..connection.backend_api import ProbeAnswer
from ..durable.batch_job_commands import BatchItem, BatchJobSpec
from ..durable.configuration_commands import Announcement
from ..ids import BackendServerName, BootId, RequestId, RequestKey, WeightVersion
from ..settings.cluster import RouteSettings
from ..settings.entry import EntrySettings
from .outcome import Refusal

if TYPE_CHECKING:
    from .attempt import Attempt
    from .caller_request import RequestClass


@dataclass(frozen=True)
class CallerTerms:
    """What a caller asks of the entry beside the request itself.

    Attributes
    ----------
    key : RequestKey or None
        Key of a request that must run at most once, unique over services.
    """

    request_id: RequestId
    deadline: Deadline
    request_class: RequestClass
    is_repeatable: bool
    key: RequestKey | None


class AnswerHead(msgspec.Struct, frozen=True):
    """What the head of a backend server's answer tells.

    Attributes
    ----------
    is_not_run : bool
        Whether the server says that it did not run the request.
    is_other_server : bool
        Whether another server than the one that was meant answered.
    is_for_request : bool
        Whether it answers this request and not an earlier one.
    boot : BootId or None
        Process that answered, when it tells.
    in_flight : int or None
        Requests that the server runs or holds in its queue, when it tells.
    slowness : float or None
        How many times longer than usual work takes there now, when it tells.
    version : WeightVersion or None
        Weight version that generates, when it tells.
    retry_after_s : float or None
        When the server asked to come back, in seconds.
    """

    is_not_run: bool = False
    is_other_server: bool = False
    is_for_request: bool = True
    boot: BootId | None = None
    in_flight: int | None = None
    slowness: float | None = None
    version: WeightVersion | None = None
    retry_after_s: float | None = None


class NumberedEvent(msgspec.Struct, frozen=True):
    """One event of a stream.

    Attributes
    ----------
    number : int
        Number of the event; a resumed stream goes on after it.
    version : WeightVersion or None
        Weight version from this event on, when it changed.
    """

    number: int
    data: str
    version: WeightVersion | None = None


class Dialect(Protocol):
    """Names and formats of one protocol.

    Attributes
    ----------
    private_headers : frozenset of str
        Headers, in lower case, that are not passed on.
    ready_path : str
        Path that tells a balancer whether the entry is ready.
    """

    private_headers: frozenset[str]
    ready_path: str

    def request_id_of(self, request: web.Request) -> RequestId:
        """Return the caller's request id, or a new one."""

    def read_terms(
        self, request: web.Request, route: RouteSettings, settings: EntrySettings
    ) -> CallerTerms:
        """Return what the caller asks; raises ``RefusedError``."""

    def refusal_response(self, refusal: Refusal, request_id: RequestId) -> web.Response:
        """Return the response for a refusal."""

    def answer_headers(
        self, request_id: RequestId, server: BackendServerName
    ) -> dict[str, str]:
        """Return the headers that the entry adds to an answer."""

    def attempt_headers(self, attempt: Attempt, server: Announcement) -> dict[str, str]:
        """Return the headers that the entry adds to a request."""

    def read_head(
        self, request_id: RequestId, status: int, headers: Mapping[str, str]
    ) -> AnswerHead:
        """Return what the head of an answer tells."""

    async def probe(
        self,
        session: aiohttp.ClientSession,
        server: Announcement,
        health_path: str,
        timeout_s: float,
    ) -> ProbeAnswer | None:
        """Ask a backend server how it is; None without an answer."""

    def read_batch_job(
        self,
        request: web.Request,
        body: bytes,
        route: RouteSettings,
        settings: EntrySettings,
    ) -> BatchJobSpec:
        """Return the batch job that a body holds; raises ``RefusedError``."""

    def batch_job_accepted(self, spec: BatchJobSpec) -> web.Response:
        """Return the response for a batch job that is kept."""

    def item_headers(self, item: BatchItem, spec: BatchJobSpec) -> dict[str, str]:
        """Return the headers of a request that runs an item."""

    def resume_headers(self, after: int) -> dict[str, str]:
        """Return the headers that ask for the events after a number."""

    def read_numbered_event(self, block: bytes) -> NumberedEvent:
        """Return the event that a block of a stream holds; raises ValueError."""
