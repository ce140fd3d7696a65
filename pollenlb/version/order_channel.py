"""Interface for orders to backend servers, and its native implementation."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import aiohttp
import msgspec

from ..connection.backend_api import ORDER_PATH
from ..connection.probe import probe_server
from ..connection.sessions import ConnectionLostError
from ..durable.configuration_commands import Announcement
from ..ids import InstanceName, ModelName, Term, WeightVersion
from ..scheduling.swap_plan import SwapMode
from .order_api import FencingNumber, Order, OrderKind, encode_order

# Errors after which it is not known whether a backend server got a request.
ORDER_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)

_PROBE_TIMEOUT_S = 1.0
_ORDER_TIMEOUT_S = 2.0


class OrderOutcome(Enum):
    """How a backend server responded to an order.

    ``ACCEPTED`` means that it carries the order out, ``ALREADY_SERVED`` that it
    serves the version already, ``REFUSED`` that it rejected the order, and
    ``UNKNOWN`` that no response arrived, so the order may still take effect.
    """

    ACCEPTED = "accepted"
    ALREADY_SERVED = "holds"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineReport(msgspec.Struct, frozen=True):
    """State that an engine reports about itself.

    Attributes
    ----------
    versions : dict
        Version of the complete weights that it serves, by model.
    orders : int or None
        Number of orders that it has accepted; None if it does not count them.
    is_busy : bool
        Whether it is carrying out an order.
    """

    versions: dict[ModelName, WeightVersion]
    orders: int | None = None
    is_busy: bool = False


class SwapOrder(msgspec.Struct, frozen=True):
    """An order to change weights.

    Attributes
    ----------
    server : Announcement
        Backend server that receives the order.
    holder : InstanceName
        Control instance that issues the order.
    term : Term
        Raft term of that instance as leader.
    fencing : int
        Fencing number, higher than that of any earlier order.
    expected_orders : int or None
        Number of orders that the engine must have accepted before this one;
        None if it does not count them.
    lifetime_s : float
        Seconds within which the engine must start to carry out the order.
    """

    server: Announcement
    model: ModelName
    version: WeightVersion
    mode: SwapMode
    holder: InstanceName
    term: Term
    fencing: int
    expected_orders: int | None
    lifetime_s: float


class OrderChannel(Protocol):
    """Fetches reports from engines and sends them orders."""

    async def fetch_report(
        self, session: aiohttp.ClientSession, server: Announcement
    ) -> EngineReport | None:
        """Return an engine's report, or None if it does not answer."""

    async def send_order(
        self, session: aiohttp.ClientSession, order: SwapOrder
    ) -> OrderOutcome:
        """Send an order and return how the backend server responded."""


class NativeOrderChannel:
    """Order channel in the native protocol."""

    async def fetch_report(
        self, session: aiohttp.ClientSession, server: Announcement
    ) -> EngineReport | None:
        """Return an engine's report, or None if it does not answer."""
        answer = await probe_server(session, server.address, _PROBE_TIMEOUT_S)
        if answer is None:
            return None
        model = ModelName(server.service)
        versions = {} if answer.version is None else {model: answer.version}
        return EngineReport(versions)

    async def send_order(
        self, session: aiohttp.ClientSession, order: SwapOrder
    ) -> OrderOutcome:
        """Send an order and return how the backend server responded."""
        body = Order(
            OrderKind.SWAP,
            order.version,
            FencingNumber(order.term, order.fencing),
            int(1000 * order.lifetime_s),
        )
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)
        url = f"http://{order.server.address}{ORDER_PATH}"
        try:
            async with session.post(
                url, data=encode_order(body), timeout=timeout
            ) as response:
                is_accepted = response.status < 400
        except ORDER_ERRORS:
            return OrderOutcome.UNKNOWN
        return OrderOutcome.ACCEPTED if is_accepted else OrderOutcome.REFUSED
