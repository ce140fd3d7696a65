"""Calls to the API of the platform's infrastructure."""

from __future__ import annotations

from typing import Any

import aiohttp
import msgspec

from ..connection.sessions import ConnectionLostError
from ..durable.duties import Counts
from ..durable.duty_commands import ReplicaSubject
from ..ids import Address, UsageWindow
from ..process.duty_channel import DutyHolder, DutyResponse
from ..request.outcome import parse_retry_after_s
from .names import FENCING_HEADER, HOLDER_HEADER, SCALE_PATH, USAGE_PATH

# The API may be 50 times slower than usual.
_CALL_TIMEOUT_S = 2.0
# A call must leave soon after the quorum was confirmed, so that it is not sent when
# another instance may hold the duties.
_CONNECT_TIMEOUT_S = 0.25
_CALL_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)


class _UsageReport(msgspec.Struct):
    """Requests that began to run in a window, by workspace."""

    window: int
    counts: dict[str, int]


class _ScaleOrder(msgspec.Struct, omit_defaults=True):
    """The number of servers of one kind that a service should have.

    Attributes
    ----------
    zone : str
        Failure domain of the servers.
    spot : bool
        Whether the infrastructure may reclaim the servers.
    """

    service: str
    zone: str
    group_count: int
    spot: bool = False


class PlatformDutyChannel:
    """Makes calls in the platform's format; satisfies ``DutyChannel``."""

    async def send_usage(
        self,
        session: aiohttp.ClientSession,
        address: Address,
        holder: DutyHolder,
        window: UsageWindow,
        counts: Counts,
    ) -> DutyResponse:
        """Report the requests of a window by workspace."""
        report = _UsageReport(window, dict(sorted(counts.items())))
        return await self._post(session, address, USAGE_PATH, holder, report)

    async def order_replicas(
        self,
        session: aiohttp.ClientSession,
        address: Address,
        holder: DutyHolder,
        subject: ReplicaSubject,
        count: int,
    ) -> DutyResponse:
        """Order the number of backend servers of one kind in a failure domain."""
        order = _ScaleOrder(
            subject.service, subject.failure_domain, count, subject.is_reclaimable
        )
        return await self._post(session, address, SCALE_PATH, holder, order)

    async def _post(
        self,
        session: aiohttp.ClientSession,
        address: Address,
        path: str,
        holder: DutyHolder,
        body: Any,
    ) -> DutyResponse:
        headers = {
            HOLDER_HEADER: holder.name,
            FENCING_HEADER: str(holder.fencing),
            "Content-Type": "application/json",
        }
        timeout = aiohttp.ClientTimeout(
            total=_CALL_TIMEOUT_S, sock_connect=_CONNECT_TIMEOUT_S
        )
        try:
            async with session.post(
                f"http://{address}{path}",
                data=msgspec.json.encode(body),
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                retry_after = response.headers.get("Retry-After")
                return DutyResponse(response.status, parse_retry_after_s(retry_after))
        except _CALL_ERRORS as error:
            return DutyResponse(0, reason=str(error) or type(error).__name__)
