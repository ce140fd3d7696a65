"""Interface for calls to the infrastructure's API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import aiohttp

from ..durable.duties import Counts
from ..durable.duty_commands import ReplicaSubject
from ..ids import Address, InstanceName, UsageWindow


@dataclass(frozen=True)
class DutyHolder:
    """Who makes a call.

    Attributes
    ----------
    name : InstanceName
        Control instance that holds the duties.
    fencing : int
        Its fencing number.
    """

    name: InstanceName
    fencing: int


@dataclass(frozen=True)
class DutyResponse:
    """Response to a call.

    Attributes
    ----------
    status : int
        HTTP status; 0 when no response arrived, so that the call may have taken
        effect.
    retry_after_s : float or None
        Seconds after which the API asked for the next call.
    reason : str
        Error without a response.
    """

    status: int
    retry_after_s: float | None = None
    reason: str = ""

    @property
    def is_refused(self) -> bool:
        """Whether the API will not carry the call out, also when it is repeated."""
        return 400 <= self.status < 500 and self.status not in (408, 425, 429)

    @property
    def is_accepted(self) -> bool:
        """Whether the API has accepted the call."""
        return 200 <= self.status < 300


class DutyChannel(Protocol):
    """Makes the calls of the duties."""

    async def send_usage(
        self,
        session: aiohttp.ClientSession,
        address: Address,
        holder: DutyHolder,
        window: UsageWindow,
        counts: Counts,
    ) -> DutyResponse:
        """Report the requests of a window by workspace."""

    async def order_replicas(
        self,
        session: aiohttp.ClientSession,
        address: Address,
        holder: DutyHolder,
        subject: ReplicaSubject,
        count: int,
    ) -> DutyResponse:
        """Order the number of backend servers of one kind in a failure domain."""
