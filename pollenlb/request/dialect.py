"""Interface to the protocol that an entry process speaks.

The product has a native protocol, and an adapter can supply another one. A
dialect implements the names and formats of a protocol; it makes no routing or
retry decisions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import aiohttp
import msgspec
from aiohttp import web

from ..clock import Deadline
from ..connection.backend_api import ProbeAnswer, ProcessCheck
from ..durable.batch_job_commands import BatchItem, BatchJobSpec, RewardCall
from ..durable.configuration_commands import Announcement
from ..ids import BackendServerName, BootId, RequestId, RequestKey, WeightVersion
from ..settings.cluster import RouteSettings
from ..settings.entry import EntrySettings
from .outcome import Refusal

if TYPE_CHECKING:
    from .attempt import Attempt
    from .caller_request import CallerRequest, RequestClass


@dataclass(frozen=True)
class CallerParameters:
    """Conditions under which a caller wants its request to be run.

    Attributes
    ----------
    request_id : RequestId
        The caller's id of the request, or a generated one.
    is_repeatable : bool
        Whether the request may run more than once.
    key : RequestKey or None
        Key of a request that must run at most once, unique over all services.
    """

    request_id: RequestId
    deadline: Deadline
    request_class: RequestClass
    is_repeatable: bool
    key: RequestKey | None


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of a backend server's answer, parsed.

    Fields that the server does not report are None.

    Attributes
    ----------
    is_not_run : bool
        Whether the server reports that it did not run the request.
    is_other_server : bool
        Whether another server than the intended one answered.
    is_for_request : bool
        Whether it names this request.
    is_for_other_request : bool
        Whether it names another one, as a late copy of an earlier answer does. Nothing
        else in it is about this request.
    boot : BootId or None
        Boot id of the process that answered.
    in_flight : int or None
        Requests that the server runs or holds in its queue.
    slowness : float or None
        Factor by which work takes longer than usual at the server now.
    version : WeightVersion or None
        Weight version with which the answer is generated.
    retry_after_s : float or None
        Seconds after which the server asked for a retry.
    request_limit_per_s : float or None
        Requests a second that the server takes from all entries together at
        present.
    is_leaving : bool
        Whether the process that answered says that it takes no new work.
    """

    is_not_run: bool = False
    is_other_server: bool = False
    is_for_request: bool = True
    is_for_other_request: bool = False
    boot: BootId | None = None
    in_flight: int | None = None
    slowness: float | None = None
    version: WeightVersion | None = None
    retry_after_s: float | None = None
    request_limit_per_s: float | None = None
    is_leaving: bool = False


class NumberedEvent(msgspec.Struct, frozen=True):
    """One numbered event of a stream.

    Attributes
    ----------
    number : int
        Number of the event; a stream can be resumed after it.
    data : str
        Content of the event.
    version : WeightVersion or None
        Weight version from this event on, when it has changed.
    """

    number: int
    data: str
    version: WeightVersion | None = None


class Resumption(msgspec.Struct, frozen=True):
    """A caller's wish to take up a stream that was interrupted.

    Attributes
    ----------
    began_as : RequestId or None
        Request that brought the first event; None when the caller does not name it.
    last_event : int or None
        Number of the last event that the caller has; None if it is unreadable.
    """

    began_as: RequestId | None
    last_event: int | None = None


class Dialect(Protocol):
    """Names and formats of one protocol.

    Attributes
    ----------
    private_headers : frozenset of str
        Protocol headers in lower case, which are not forwarded in either direction.
    workspace_headers : frozenset of str
        Headers in lower case that name a key or a workspace. Those of callers are not
        forwarded where keys are required.
    ready_path : str
        Path at which a load balancer reads whether the entry process is ready.
    """

    private_headers: frozenset[str]
    workspace_headers: frozenset[str]
    ready_path: str

    def request_id_of(self, request: web.Request) -> RequestId:
        """Return the caller's request id.

        Without one, a protocol returns a new or an empty id.
        """

    def read_key(self, request: web.Request) -> str | None:
        """Return the key of a workspace that a request carries; None without one."""

    def read_parameters(
        self, request: web.Request, route: RouteSettings, settings: EntrySettings
    ) -> CallerParameters:
        """Return the caller's conditions.

        Raises
        ------
        RefusedError
            When a header is missing or invalid.
        """

    def refusal_response(self, refusal: Refusal, request_id: RequestId) -> web.Response:
        """Return the HTTP response for a refusal."""

    def answer_headers(
        self, request_id: RequestId, server: BackendServerName
    ) -> dict[str, str]:
        """Return the headers that the entry adds to a forwarded answer."""

    def attempt_headers(self, attempt: Attempt, server: Announcement) -> dict[str, str]:
        """Return the headers that the entry adds to the request of an attempt."""

    def relay_headers(self, caller: CallerRequest) -> dict[str, str]:
        """Return the headers that differ from the caller's in a relayed request.

        They name the request and the time that is left of its deadline.
        """

    def read_head(
        self, request_id: RequestId, status: int, headers: Mapping[str, str]
    ) -> AnswerHead:
        """Return the parsed status and headers of a backend server's answer."""

    async def probe(
        self,
        session: aiohttp.ClientSession,
        server: Announcement,
        health_path: str,
        timeout_s: float,
    ) -> ProbeAnswer | None:
        """Return a backend server's answer to a probe, or None without an answer.

        Parameters
        ----------
        session : aiohttp.ClientSession
            Connections to use.
        server : Announcement
            The server to probe.
        health_path : str
            Path of the service's health check, if the protocol uses it.
        timeout_s : float
            Timeout of the probe in seconds.
        """

    async def check_process(
        self,
        session: aiohttp.ClientSession,
        server: Announcement,
        timeout_s: float,
    ) -> ProcessCheck:
        """Return whether the announced process still runs at a backend server.

        Parameters
        ----------
        session : aiohttp.ClientSession
            Connections to use.
        server : Announcement
            The server and its process.
        timeout_s : float
            Timeout of the call in seconds.
        """

    def read_batch_job(
        self,
        request: web.Request,
        body: bytes,
        route: RouteSettings,
        settings: EntrySettings,
    ) -> BatchJobSpec:
        """Return the batch job in a request body.

        Raises
        ------
        RefusedError
            When the body is invalid or the protocol has no batch jobs.
        """

    def batch_job_accepted(self, request_id: RequestId) -> web.Response:
        """Return the response for a batch job that was accepted and stored."""

    def item_headers(self, item: BatchItem, spec: BatchJobSpec) -> dict[str, str]:
        """Return the headers of the request that runs an item of a batch job."""

    def reward_call_headers(self, call: RewardCall) -> dict[str, str]:
        """Return the headers of the request of an item's reward call."""

    def read_score(self, headers: Mapping[str, str]) -> str | None:
        """Return the score in the headers of a reward call's answer.

        None when the headers bring none.
        """

    def unknown_batch_job_fields(self, body: bytes) -> set[str]:
        """Return the names of fields of a valid batch job that have no effect here."""

    def resume_headers(self, after: int) -> dict[str, str]:
        """Return the request headers that resume a stream after an event number.

        Raises
        ------
        ValueError
            When the protocol has no numbered events.
        """

    def read_resumption(self, request: web.Request) -> Resumption | None:
        """Return what a caller takes up; None for a request that starts anew."""

    def read_numbered_event(self, block: bytes) -> NumberedEvent:
        """Return the event in a block of a stream.

        Raises
        ------
        ValueError
            When the block is no numbered event.
        """
