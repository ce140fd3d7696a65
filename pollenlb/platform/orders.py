"""The platform's reports of engines and orders to them."""

from __future__ import annotations

import aiohttp
import msgspec

from ..durable.configuration_commands import Announcement
from ..version.order_channel import (
    ORDER_ERRORS,
    EngineReport,
    OrderOutcome,
    SwapOrder,
)
from .announcements import LoadedModel, loaded_versions
from .names import EXPECT_SERVER, ORDER_PATH, REPORT_PATH

_REPORT_TIMEOUT_S = 0.5
_ORDER_TIMEOUT_S = 1.0
_ACCEPTED_STATUS = 202
_HOLDS_STATUS = 200


class _Report(msgspec.Struct):
    models: list[LoadedModel]
    busy: bool  # an order is being carried out; requests do not count
    seq: int  # orders accepted since the start


class _Order(msgspec.Struct):
    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expected: int | None  # value of seq at which the order is carried out
    op: str = "version"


_decode = msgspec.json.Decoder(_Report).decode


class PlatformOrderChannel:
    """Reports and orders; satisfies ``version.order_channel.OrderChannel``."""

    async def fetch_report(
        self, session: aiohttp.ClientSession, server: Announcement
    ) -> EngineReport | None:
        """Return what an engine tells of itself; None when it does not answer."""
        timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S)
        url = f"http://{server.address}{REPORT_PATH}"
        headers = {EXPECT_SERVER: server.server}
        try:
            async with session.get(url, timeout=timeout, headers=headers) as response:
                if response.status != 200:
                    return None
                wire = _decode(await response.read())
        except (*ORDER_ERRORS, msgspec.MsgspecError):
            return None
        return EngineReport(loaded_versions(wire.models), wire.seq, wire.busy)

    async def send_order(
        self, session: aiohttp.ClientSession, order: SwapOrder
    ) -> OrderOutcome:
        """Send an order and return what became of it."""
        wire = _Order(
            model=order.model,
            version=order.version,
            mode=order.mode.value,
            holder=order.holder,
            fence=order.fencing,
            expected=order.expected_orders,
        )
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)
        headers = {
            EXPECT_SERVER: order.server.server,
            "Content-Type": "application/json",
        }
        url = f"http://{order.server.address}{ORDER_PATH}"
        try:
            async with session.post(
                url, data=msgspec.json.encode(wire), timeout=timeout, headers=headers
            ) as response:
                status = response.status
        except ORDER_ERRORS:
            return OrderOutcome.UNKNOWN
        if status == _ACCEPTED_STATUS:
            return OrderOutcome.ACCEPTED
        return (
            OrderOutcome.ALREADY_SERVED
            if status == _HOLDS_STATUS
            else OrderOutcome.REFUSED
        )
