"""Orders to backend servers, in whichever protocol they take them."""

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
from .order_api import FencingNumber, Order, OrderKind, encode_order
from .swap_plan import SwapMode

ORDER_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)

_PROBE_TIMEOUT_S = 1.0
_ORDER_TIMEOUT_S = 2.0


class OrderOutcome(Enum):
    """What a backend server answered to an order."""

    ACCEPTED = "accepted"
    ALREADY_SERVED = "holds"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine tells of itself.

    Attributes
    ----------
    versions : dict
        Whole weight version that it serves, by model.
    orders : int or None
        Number of orders it has accepted; None when it does not count them.
    is_busy : bool
        Whether it carries out an order.
    """

    versions: dict[ModelName, WeightVersion]
    orders: int | None = None
    is_busy: bool = False


class SwapOrder(msgspec.Struct, frozen=True):
    """An order to change weights.

    Attributes
    ----------
    holder : InstanceName
        Control instance that gives it.
    fencing : int
        Higher than the number of any order before.
    expected_orders : int or None
        Number of orders that the engine must have accepted before this one.
    lifetime_s : float
        Seconds within which the order must be begun.
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
    """Asks engines for reports and gives them orders."""

    async def fetch_report(
        self, session: aiohttp.ClientSession, server: Announcement
    ) -> EngineReport | None:
        """Return what an engine tells of itself; None when it does not answer."""

    async def send_order(
        self, session: aiohttp.ClientSession, order: SwapOrder
    ) -> OrderOutcome:
        """Send an order and return what became of it."""


class NativeOrderChannel:
    """Orders in the product's own protocol."""

    async def fetch_report(
        self, session: aiohttp.ClientSession, server: Announcement
    ) -> EngineReport | None:
        """Return what an engine tells of itself; None when it does not answer."""
        answer = await probe_server(session, server.address, _PROBE_TIMEOUT_S)
        if answer is None:
            return None
        model = ModelName(server.service)
        versions = {} if answer.version is None else {model: answer.version}
        return EngineReport(versions)

    async def send_order(
        self, session: aiohttp.ClientSession, order: SwapOrder
    ) -> OrderOutcome:
        """Send an order and return what became of it."""
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
